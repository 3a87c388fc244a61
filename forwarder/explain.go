package forwarder

import (
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/pipeliner"
	"poplarwind/placer"
	"poplarwind/router"
)

// Query describes a request to explain.
type Query struct {
	Host, Path string
	// Key is the digest of the key of a customer, nil if the request has none.
	Key *router.Digest
	// Timeout is the timeout of the caller, 0 if it states none.
	Timeout time.Duration
}

// The outcomes of an Explanation.
const (
	// OutcomeSent means that the request would be sent to an upstream at once.
	OutcomeSent = "sent"
	// OutcomeQueued means that it would wait in the admission queue.
	OutcomeQueued = "queued"
	// OutcomeRejected means that it would be rejected at once.
	OutcomeRejected = "rejected"
	// OutcomeRelayed means that it would be relayed to another entry.
	OutcomeRelayed = "relayed"
)

// Explanation is what would become of a request that arrives now, by present figures. Before a real
// request is sent, the upstreams are probed for their load.
type Explanation struct {
	// Entry is the name of the entry, and Domain its failure domain.
	Entry  string `json:"entry"`
	Domain string `json:"domain"`
	// Outcome is one of the outcomes. Status, Cause and RetryAfter describe a rejection.
	Outcome    string        `json:"outcome"`
	Status     int           `json:"status,omitempty"`
	Cause      string        `json:"cause,omitempty"`
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
	// Refreshes is set if the entry would read the newest configuration before it rejects the
	// request.
	Refreshes bool `json:"refreshes,omitempty"`
	// Version is the version of the configuration, 0 if none is known.
	Version    int64  `json:"version"`
	Route      string `json:"route,omitempty"`
	Prefix     string `json:"prefix,omitempty"`
	Idempotent bool   `json:"idempotent,omitempty"`
	// Customer is the customer that has the key, empty if there is none. HasCustomers is set if
	// the configuration has customers, and Anonymous if the route needs no key.
	Customer     string `json:"customer,omitempty"`
	HasCustomers bool   `json:"has_customers,omitempty"`
	Anonymous    bool   `json:"anonymous,omitempty"`
	Rank         int    `json:"rank"`
	// Timeout is the time until the deadline, and Objective the time until the response is late.
	Timeout   time.Duration `json:"timeout_ns,omitempty"`
	Objective time.Duration `json:"objective_ns,omitempty"`
	// Split holds the targets of the traffic split, and Service the one of the next request.
	Split   []router.SplitTarget `json:"split,omitempty"`
	Service string               `json:"service,omitempty"`
	// Quota is the decision of the customer's quota, nil if there is none.
	Quota *QuotaExplanation `json:"quota,omitempty"`
	// Cut is set if the entry is cut off from the upstreams, and Relays are the addresses of the
	// entries that it would ask to take the request.
	Cut    bool     `json:"cut,omitempty"`
	Relays []string `json:"relays,omitempty"`
	// Queue is the state of the admission queue, nil if the service is not known.
	Queue *QueueExplanation `json:"queue,omitempty"`
	// Chosen is the ID of the upstream that would be chosen if load probes found the present
	// figures, empty if none. Unprobed is set if it would be chosen without a load probe.
	Chosen   string `json:"chosen,omitempty"`
	Unprobed bool   `json:"unprobed,omitempty"`
	// Hedge describes whether the request could be hedged, nil if it is not sent.
	Hedge *HedgeExplanation `json:"hedge,omitempty"`
	// Upstreams holds those of the service in the order in which they would be probed, then
	// those that would not be.
	Upstreams []UpstreamExplanation `json:"upstreams,omitempty"`
}

// QuotaExplanation is the decision of a customer's quota, as apportioner.Decision.
type QuotaExplanation struct {
	Admitted bool    `json:"admitted"`
	Level    float64 `json:"level"`
	Portion  float64 `json:"portion"`
	Fraction float64 `json:"fraction"`
	Demand   float64 `json:"demand"`
	Total    float64 `json:"total"`
	Isolated bool    `json:"isolated,omitempty"`
}

// QueueExplanation is the state of the admission queue of a service.
type QueueExplanation struct {
	// Waiting is the number of requests in the queue, Ahead the number of those before the request,
	// and Wait the estimate of how long it would wait.
	Waiting int           `json:"waiting"`
	Ahead   int           `json:"ahead"`
	Wait    time.Duration `json:"wait_ns"`
	// Slots is the number of slots that the entry can expect, and Latency the average latency.
	Slots   float64       `json:"slots"`
	Latency time.Duration `json:"latency_ns"`
}

// HedgeExplanation describes whether a request could be hedged.
type HedgeExplanation struct {
	// Allowed is set if the request would be hedged after the delay by present figures.
	Allowed bool          `json:"allowed"`
	Delay   time.Duration `json:"delay_ns,omitempty"`
	// Cause is why not.
	Cause string `json:"cause,omitempty"`
}

// UpstreamExplanation is what the choice of an upstream follows from.
type UpstreamExplanation struct {
	ID     string `json:"id"`
	Domain string `json:"domain"`
	// Order is the position in which the upstream would be probed, from 1, 0 if it would not be.
	// Probed is set if it would be among those that are probed for the request.
	Order  int  `json:"order,omitempty"`
	Probed bool `json:"probed,omitempty"`
	// Obstacle is why no request may be sent to it, empty if one may.
	Obstacle  string  `json:"obstacle,omitempty"`
	Cost      float64 `json:"cost"`
	ProbeCost float64 `json:"probe_cost"`
	Slots     int     `json:"slots"`
	Load      Load    `json:"load"`
}

// Explain returns what would become of a request that arrives now. It takes the decisions of Handle by
// the same code and changes nothing. Quarantined requests are not considered, since they are known by
// their whole content.
func (f *Forwarder) Explain(q Query) *Explanation {
	now := time.Now()
	x := &exchange{forwarder: f, call: &pipeliner.Call{ArrivedAt: now}}
	e := &Explanation{Domain: f.options.Domain, Outcome: OutcomeSent}
	t, err := x.checkEntry()
	if t == nil {
		// The rest can be explained if the entry rejects all requests for another reason.
		t = f.table.Load()
	}
	x.reject(e, err)
	if t == nil || !x.explainRoute(e, t, q) {
		return e
	}
	f.mu.Lock()
	x.service = f.services[e.Service]
	f.mu.Unlock()
	if x.service == nil {
		if !x.explainRelay(e, now, f.options.Reach.Cut()) {
			x.retryAfter = noSlotsWait
			x.reject(e, errNoUpstream)
		}
		return e
	}
	x.explainService(e, now)
	return e
}

// reject makes the explanation one of a rejection, unless it is already or err is nil.
func (x *exchange) reject(e *Explanation, err error) {
	if err == nil || e.Outcome == OutcomeRejected {
		return
	}
	e.Outcome, e.Status, e.Cause = OutcomeRejected, x.status(err), err.Error()
	if e.Status == fasthttp.StatusServiceUnavailable || e.Status == fasthttp.StatusTooManyRequests {
		e.RetryAfter = max(x.retryAfter, minRetryAfter)
	}
}

// explainRoute explains the route and the customer, and reports whether there is a route.
func (x *exchange) explainRoute(e *Explanation, t *router.Table, q Query) bool {
	refresh := x.forwarder.options.Refresh != nil
	err := x.findRoute(t, q.Host, q.Path)
	e.Version, e.HasCustomers = x.version, x.hasCustomers
	if err != nil {
		e.Refreshes = refresh && e.Outcome != OutcomeRejected
		x.reject(e, err)
		return false
	}
	if x.hasCustomers && q.Key != nil {
		x.customer = t.CustomerOf(*q.Key)
	}
	if x.hasCustomers {
		err = x.checkCustomer(q.Key != nil)
	}
	e.Refreshes = refresh && errors.Is(err, errNoCustomer) && e.Outcome != OutcomeRejected
	x.reject(e, err)
	if x.customer != nil {
		e.Customer = x.customer.Name
	}
	timeout := q.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	x.setTimeout(timeout)
	x.flow = x.queueFlow()
	e.Route, e.Prefix, e.Idempotent, e.Anonymous, e.Rank = x.route.Name, x.route.Prefix, x.route.Idempotent, x.route.Anonymous, x.rank()
	e.Timeout, e.Objective = x.deadline.Sub(x.call.ArrivedAt), x.due.Sub(x.call.ArrivedAt)
	e.Split, e.Service = x.route.Targets, x.route.UpcomingService()
	return true
}

// explainService explains what would become of a request for a known service.
func (x *exchange) explainService(e *Explanation, now time.Time) {
	s := x.service
	s.mu.Lock()
	if x.serviceTime = s.serviceTimes[x.route.Name]; x.serviceTime == nil {
		x.serviceTime = &placer.ServiceTime{}
	}
	s.mu.Unlock()
	x.reject(e, x.checkEnd())
	relayed := x.explainRelay(e, now, x.cutOff())
	s.mu.Lock()
	defer s.mu.Unlock()
	chosen := x.explainUpstreams(e, now)
	err := x.checkService(now)
	p := x.queuePriority()
	ahead := s.queue.Ahead(now, p)
	if waits := ahead > 0 || chosen == nil; waits {
		if waitErr := x.checkWait(now, p); err == nil {
			err = waitErr
		}
		if e.Outcome == OutcomeSent {
			e.Outcome = OutcomeQueued
		}
	} else {
		x.estimateWait(now, ahead)
		x.explainHedge(e, now, chosen)
	}
	if !relayed {
		x.reject(e, err)
	}
	e.Queue = &QueueExplanation{Waiting: s.queue.Len(), Ahead: ahead, Wait: x.estimate.Wait, Slots: x.estimate.Slots, Latency: x.estimate.Latency}
}

// explainRelay explains the quota and whether the request would be relayed, which it reports. A relayed
// request is counted by the entry that serves it; without another entry, this one does.
func (x *exchange) explainRelay(e *Explanation, now time.Time, cut bool) bool {
	if e.Cut = cut; cut && x.forwarder.options.Relays != nil {
		e.Relays = x.forwarder.options.Relays(e.Service)
	}
	relayed := len(e.Relays) > 0 && e.Outcome != OutcomeRejected
	if relayed {
		e.Outcome = OutcomeRelayed
	}
	if x.hasQuota() {
		x.explainQuota(e, now, relayed)
	}
	return relayed
}

func (x *exchange) explainQuota(e *Explanation, now time.Time, relayed bool) {
	d, ok := x.forwarder.options.Quota.Preview(now, x.customer.Name)
	if !ok {
		return
	}
	e.Quota = &QuotaExplanation{Admitted: d.Admitted, Level: d.Level, Portion: d.Portion, Fraction: d.Fraction, Demand: d.Demand, Total: d.Total, Isolated: d.Isolated}
	if !d.Admitted && !relayed {
		x.retryAfter = d.RetryAfter
		x.reject(e, errOverQuota)
	}
}

// explainUpstreams explains the upstreams and returns the one that would be chosen, nil if none. The
// lock of the service must be held.
func (x *exchange) explainUpstreams(e *Explanation, now time.Time) *placer.Upstream {
	f := &x.service.fleet
	list := f.Explain(now, parallelProbes)
	chosen := f.SelectFresh(now, false, x.tried)
	e.Unprobed = chosen != nil
	lastScope := placer.ScopeLocal
	var probed []*placer.Upstream
	for scope := placer.ScopeLocal; scope < placer.Scopes && chosen == nil; scope++ {
		for _, v := range list {
			if v.Probed && v.Scope == scope {
				probed = append(probed, v.Upstream)
			}
		}
		lastScope = scope
		chosen = x.choose(now, probed, scope == placer.ScopeRemote)
	}
	for _, v := range list {
		u := UpstreamExplanation{
			ID: v.Upstream.ID(), Domain: v.Upstream.Spec().Domain, Order: v.Order, Probed: v.Probed && !e.Unprobed && v.Scope <= lastScope,
			Cost: v.Cost, ProbeCost: v.ProbeCost, Slots: v.Upstream.Slots(), Load: loadOf(v.Upstream, now),
		}
		if v.Obstacle != placer.NoObstacle {
			u.Obstacle = v.Obstacle.String()
		}
		e.Upstreams = append(e.Upstreams, u)
	}
	if chosen != nil {
		e.Chosen = chosen.ID()
	}
	return chosen
}

// explainHedge explains whether the request could be hedged. The lock of the service must be held.
func (x *exchange) explainHedge(e *Explanation, now time.Time, chosen *placer.Upstream) {
	e.Hedge = &HedgeExplanation{}
	s := x.service
	times := s.hedges.times[x.route.Name]
	if times == nil {
		times = &placer.ResponseTimes{}
	}
	if !x.mayHedge() {
		e.Hedge.Cause = "off, or route not idempotent"
		return
	}
	if e.Hedge.Delay = hedgeDelay(times, s.fleet.ExpectedDuration(s.fleet.Prospect(now, chosen), x.serviceTime)); e.Hedge.Delay == 0 {
		e.Hedge.Cause = "too few responses of the route"
		return
	}
	in := x.hedgeInput(now, e.Hedge.Delay, x.serviceTime.Average(), false)
	in.attemptsLeft--
	in.left -= e.Hedge.Delay
	verdict := deniedUpstream
	for _, u := range s.fleet.List() {
		if u != chosen && s.fleet.MayHedge(now, u) {
			verdict = s.hedges.decide(in, times)
			break
		}
	}
	if e.Hedge.Allowed = verdict == hedgeAllowed; !e.Hedge.Allowed {
		e.Hedge.Cause = verdict.String()
	}
}
