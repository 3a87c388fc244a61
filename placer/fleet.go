package placer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Fleet is one entry's view of the upstreams of a service. Its zero value is
// empty.
type Fleet struct {
	// Domain is the failure domain of the entry. Upstreams in it are preferred.
	Domain string
	// ProbeRates is the maximum rate of load probes from this entry to one
	// upstream, per second and by scope; 0 means unlimited.
	ProbeRates [Scopes]float64
	// Rand breaks ties; nil selects the shared source.
	Rand *rand.Rand

	// upstreams holds each upstream once, in insertion order.
	upstreams []*Upstream
	// removedProcesses holds the state of processes whose records were removed, by ID.
	removedProcesses map[string]removedProcess
	// avgLatency is the moving average of the time from send to response.
	avgLatency time.Duration
	// saturationFactor is the factor by which a request takes longer at a
	// saturated upstream, whose slots are nearly all taken. It is 0 before the
	// first measurement.
	saturationFactor float64
	// evacuated holds the failure domains whose upstreams are not usable.
	evacuated map[string]bool
	// warmupRate and warmupTime are those of SetWarmup.
	warmupRate float64
	warmupTime time.Duration
}

// List returns the upstreams. The caller must not modify the slice.
func (f *Fleet) List() []*Upstream { return f.upstreams }

// Find returns the upstream with the given ID, or nil.
func (f *Fleet) Find(id string) *Upstream {
	for _, u := range f.upstreams {
		if u.spec.ID == id {
			return u
		}
	}
	return nil
}

// Put adds or updates an upstream. If its process was restarted under the same
// ID, or its address changed, its previous state is discarded, except for what the
// same process has said about itself.
func (f *Fleet) Put(now time.Time, s Spec) {
	u := f.Find(s.ID)
	if u == nil || u.spec.StartedAt != s.StartedAt || u.spec.Addr != s.Addr {
		f.Remove(now, s.ID)
		u = &Upstream{process: f.takeProcess(s)}
		f.upstreams = append(f.upstreams, u)
	}
	u.spec = s
	u.evacuated = f.evacuated[s.Domain]
	f.registerWarmup(now, u, s.Warmup)
	u.warmUntil = now.Add(s.Warmup)
}

// Remove deletes an upstream. Finish must still be called for its requests in
// flight.
func (f *Fleet) Remove(now time.Time, id string) {
	i := slices.IndexFunc(f.upstreams, func(u *Upstream) bool { return u.spec.ID == id })
	if i < 0 {
		return
	}
	f.keepProcess(now, f.upstreams[i])
	f.upstreams[i].removed = true
	f.upstreams = slices.Delete(f.upstreams, i, i+1)
}

// Slots returns the total number of slots of all usable upstreams that state no rate
// limit and are not cold.
func (f *Fleet) Slots(now time.Time) int {
	n := 0
	for _, u := range f.upstreams {
		if u.Usable(now) && !u.limit.stated.Limited && !f.IsCold(now, u) {
			n += u.Slots()
		}
	}
	return n
}

// highLoad is the fraction of slots in use above which an upstream counts as
// saturated and a further request may take longer.
const highLoad = 0.8

// saturated reports whether one more request would take one of the last slots.
func (u *Upstream) saturated(now time.Time) bool { return u.load(now)+1 > highLoad*float64(u.Slots()) }

// Cost estimates how long one more request takes at the upstream, relative to
// the typical duration of its work. It is the product of the current slowness,
// which applies to the whole request, the saturation factor if the request
// would take one of the last slots, and a factor for the wait for a slot.
func (f *Fleet) Cost(now time.Time, u *Upstream) float64 {
	factor := u.slowness(now)
	if u.saturated(now) && f.saturationFactor > 1 {
		factor *= f.saturationFactor
	}
	slots := float64(u.Slots())
	return factor * (1 + max(0, u.load(now)+1-slots)/slots)
}

// crossDomainCost is the cost of leaving the failure domain, relative to the
// typical duration of a request's work: cross-domain traffic is slower and is
// billed by the byte.
const crossDomainCost = 0.35

const (
	// tieBreakJitter spreads probes over upstreams of equal cost.
	tieBreakJitter = 0.1
	// unansweredProbeCost is the cost added for each unanswered probe.
	unansweredProbeCost = 0.5
)

// effectiveCost returns the cost of a request at the upstream, including the
// costs of its failure rate and of leaving the failure domain.
func (f *Fleet) effectiveCost(now time.Time, u *Upstream) float64 {
	c := f.Cost(now, u) + failureCost*u.recentFailureRate(now)
	if u.spec.Domain != f.Domain {
		c += crossDomainCost
	}
	if u.process.departure == ReportedLeaving {
		c += leavingCost
	}
	if f.WarmupTrialDue(now, u) {
		c -= warmupTrialDiscount
	}
	return c
}

// candidate is an upstream with the cost of sending to it.
type candidate struct {
	upstream *Upstream
	cost     float64
}

// rank returns the upstreams to probe before a request that skip does not exclude, cheapest first.
func (f *Fleet) rank(now time.Time, skip func(*Upstream) bool) []candidate {
	out := make([]candidate, 0, len(f.upstreams))
	for _, u := range f.upstreams {
		if !f.probeable(now, u) || skip != nil && skip(u) {
			continue
		}
		out = append(out, candidate{upstream: u, cost: f.probeCost(now, u) + tieBreakJitter*f.randFloat()})
	}
	slices.SortFunc(out, byCost)
	return out
}

// probeCost returns the cost by which the upstreams to probe are ordered, without the jitter.
func (f *Fleet) probeCost(now time.Time, u *Upstream) float64 {
	c := f.effectiveCost(now, u) + unansweredProbeCost*float64(u.unansweredProbes)
	if !f.available(now, u) {
		c += assumedColdCost
	}
	return c
}

func byCost(a, b candidate) int { return cmp.Compare(a.cost, b.cost) }

// inScope reports whether a load probe of the scope may be sent to the upstream, which is not
// estimated to be full.
func (f *Fleet) inScope(now time.Time, u *Upstream, scope Scope) bool {
	return (u.spec.Domain == f.Domain) == (scope == ScopeLocal) && u.hasRoom(now)
}

func (f *Fleet) randFloat() float64 {
	if f.Rand == nil {
		return rand.Float64()
	}
	return f.Rand.Float64()
}

// Scope selects the failure domains whose upstreams are probed.
type Scope int

// The scopes of load probes.
const (
	// ScopeLocal is the failure domain of the entry.
	ScopeLocal Scope = iota
	// ScopeRemote is all other failure domains.
	ScopeRemote
	// Scopes is the number of scopes.
	Scopes
)

// SelectProbes appends to dst the upstreams of the scope to probe for their
// load before a request is sent: the n with the lowest cost. It excludes
// upstreams for which skip returns true and those whose probe budget is
// exhausted. Upstreams that are estimated to be full are excluded until the
// estimate leaves room for one more request: under overload, most probes would
// otherwise go to upstreams that are full, and none would be left for those of
// uncertain load. When few probes are left, fewer than n are selected: one
// report is enough for a request, and later requests without a probe would wait
// although slots are free.
func (f *Fleet) SelectProbes(dst []*Upstream, now time.Time, n int, scope Scope, skip func(*Upstream) bool) []*Upstream {
	rate := f.ProbeRates[scope]
	ranked := f.rank(now, skip)
	tokens := 0.0
	ranked = slices.DeleteFunc(ranked, func(c candidate) bool {
		if !f.inScope(now, c.upstream, scope) {
			return true
		}
		tokens += c.upstream.probeTokensLeft(now, rate)
		return false
	})
	n = probeCount(n, tokens)
	for _, c := range ranked {
		if len(dst) == n {
			break
		}
		if c.upstream.takeProbeToken(now, rate) {
			dst = append(dst, c.upstream)
		}
	}
	return dst
}

// probeCount returns how many of n load probes are sent if so many are left in a scope.
func probeCount(n int, left float64) int { return min(n, max(1, int(left/probeReserve))) }

// probeReserve is the number of requests, including the current one, that the
// remaining probes must suffice for.
const probeReserve = 2

// SelectUnprobed selects the upstream for an unprobed send, for a request that
// waits while no probe is left. It returns the cheapest of the upstreams that
// had more than one free slot according to their last report, whatever its age,
// and are not reported to be slow. It returns nil if there is none, or if most
// slots are taken according to the last reports: the others may have been taken
// since.
func (f *Fleet) SelectUnprobed(now time.Time, skip func(*Upstream) bool) *Upstream {
	slots, taken := 0, 0
	for _, u := range f.upstreams {
		if f.available(now, u) {
			slots, taken = slots+u.Slots(), taken+u.reportedLoad()
		}
	}
	if float64(taken) > maxUnprobedUtilization*float64(slots) {
		return nil
	}
	for _, c := range f.rank(now, skip) {
		if u := c.upstream; f.available(now, u) && u.reportedLoad()+1 < u.Slots() && u.slowness(now) <= maxTypicalSlowness && f.warmupConfirmed(now, u) {
			return u
		}
	}
	return nil
}

// maxUnprobedUtilization is the fraction of all slots in use up to which an
// unprobed send is likely to find a free slot.
const maxUnprobedUtilization = 0.5

// freshReportAge is the age up to which a report replaces a probe. It must be
// small compared with the time for which an upstream stays slow or a slot stays
// taken; at 0, only a report received at the same instant counts.
const freshReportAge = 0 * time.Millisecond

// SelectFresh returns an upstream that has just reported its load and that a probe
// could hardly improve on, or nil. When all slots are taken, the response that
// frees one carries a report, so the next request can use the slot without a
// probe. While requests wait, a free slot of any upstream of typical speed is
// accepted.
func (f *Fleet) SelectFresh(now time.Time, waiting bool, skip func(*Upstream) bool) *Upstream {
	var fresh []*Upstream
	for _, u := range f.upstreams {
		if !u.report.At.IsZero() && now.Sub(u.report.At) <= freshReportAge && f.warmupConfirmed(now, u) && (skip == nil || !skip(u)) {
			fresh = append(fresh, u)
		}
	}
	best := f.SelectBest(now, fresh)
	switch {
	case best == nil:
		return nil
	case waiting && best.slowness(now) <= maxTypicalSlowness:
		return best
	case best.spec.Domain == f.Domain && f.Ideal(now, best):
		return best
	}
	return nil
}

// Ideal reports whether other upstreams of the same scope could hardly be
// better than u, whose report must be recent: it does not leave, works at its typical
// speed, seldom fails, and is not saturated.
func (f *Fleet) Ideal(now time.Time, u *Upstream) bool {
	return u.Usable(now) && f.warmupAllows(now, u) && u.process.departure == Staying && u.slowness(now) <= maxTypicalSlowness && !u.saturated(now) && u.recentFailureRate(now) < maxTypicalFailureRate
}

// LocalSuffices reports whether no upstream of another failure domain can be
// better than u by more than the cost of leaving the domain. The report of u
// must be recent.
func (f *Fleet) LocalSuffices(now time.Time, u *Upstream) bool {
	return u != nil && f.effectiveCost(now, u) <= 1+crossDomainCost
}

const (
	// maxTypicalSlowness is the slowness up to which an upstream's speed counts
	// as typical.
	maxTypicalSlowness = 1.1
	// maxTypicalFailureRate bounds the failure rate that is attributed to chance.
	maxTypicalFailureRate = 0.1
)

// loadMargin is the number of requests by which the load estimate may exceed the
// slots: the decaying load of an old report may still add a fraction of a request.
const loadMargin = 0.5

// hasRoom reports whether the upstream has room for one more request.
func (u *Upstream) hasRoom(now time.Time) bool { return u.load(now)+1 <= float64(u.Slots())+loadMargin }

// SelectBest returns the upstream of the lowest cost among those probed, or nil if
// none has a free slot. Of several concurrent requests the first takes the
// slot: the estimate includes the entry's own requests in flight.
func (f *Fleet) SelectBest(now time.Time, probed []*Upstream) *Upstream {
	var best *Upstream
	lowest := 0.0
	for _, u := range probed {
		if !f.available(now, u) || !u.hasRoom(now) {
			continue
		}
		c := f.effectiveCost(now, u)
		if best == nil || c < lowest {
			best, lowest = u, c
		}
	}
	return best
}

// deferCost is the cost at or above which a request should wait for another
// upstream: a slow phase ends sooner than a request sent during it.
const deferCost = 2.2

// ShouldSend reports whether a request should be sent to the upstream now rather
// than wait for a better one: either the cost is low, or the response is
// expected by due, the time until which it has its full value.
func (f *Fleet) ShouldSend(now time.Time, u *Upstream, serviceTime *ServiceTime, due time.Time) bool {
	cost := f.Cost(now, u)
	return cost < deferCost || !now.Add(time.Duration(cost*float64(serviceTime.Average()))).After(due)
}

// RecordReport records a load report of an upstream.
func (f *Fleet) RecordReport(u *Upstream, r Report) { u.recordReport(r) }

// AverageLatency returns the moving average of the time from send to response,
// or 0 before the first response.
func (f *Fleet) AverageLatency() time.Duration { return f.avgLatency }

// Exclude marks an upstream as unusable for good, for use when another one
// responds at its address.
func (f *Fleet) Exclude(u *Upstream) { u.removed = true }
