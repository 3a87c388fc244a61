package runner

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"poplarwind/announcer"
	"poplarwind/apportioner"
	"poplarwind/internal/guarder"
	"poplarwind/internal/sleeper"
	"poplarwind/router"
)

// pathQuotas is the path of messages with what entries have admitted of the quotas of customers.
const pathQuotas = "/peer/quotas"

const (
	// quotaInterval is how often an entry with requests of customers exchanges reports with
	// another one, and urgentQuotaInterval how often while a quota is nearly used up. They are
	// prolonged if there are more than quotaPeers others, up to maxQuotaInterval, so that the
	// cost of an entry is bounded and it does not count as silent.
	quotaInterval       = 500 * time.Millisecond
	urgentQuotaInterval = 200 * time.Millisecond
	quotaPeers          = 12
	maxQuotaInterval    = 800 * time.Millisecond
	// idleQuotaInterval is the interval of an entry that may receive requests and has none of
	// customers, so that it knows the others when the first ones arrive.
	idleQuotaInterval = maxQuotaInterval
	// quotaPollInterval is how often an entry checks whether an exchange is due.
	quotaPollInterval = 50 * time.Millisecond
	// quotaTimeout bounds the wait for a reply.
	quotaTimeout = 300 * time.Millisecond
	// quotaPatience is the multiple of the interval for which an entry waits for a report of
	// one with a lower name, so that one message serves both.
	quotaPatience = 1.4
	// quotaSlackFraction is the fraction of the tolerance of quotas by which buckets are
	// enlarged, so that requests within a quota are not rejected because entries differ. The
	// rest is for requests that entries admit before they know of each other's.
	quotaSlackFraction = 0.25
	// peakTime is how long an entry remembers how many entries were live.
	peakTime = 15 * time.Second
)

// quotaExchange exchanges what entries have admitted of the quotas of customers.
type quotaExchange struct {
	table *apportioner.Table

	mu sync.Mutex
	// limited is set if a customer has a quota.
	limited bool
	// exchangedAt is when reports were last exchanged with an entry, by name, whoever began.
	exchangedAt map[string]time.Time
	// isolated is whether the entry was last cut off from most others.
	isolated bool
	// peak is the most entries that were live lately, as of peakAt.
	peak   int
	peakAt time.Time
}

func newQuotaExchange(t *apportioner.Table) *quotaExchange {
	return &quotaExchange{table: t, exchangedAt: make(map[string]time.Time)}
}

// configure applies the quotas of a configuration.
func (q *quotaExchange) configure(now time.Time, s *router.Spec) {
	limits := make(map[string]apportioner.Limit)
	for i := range s.Customers {
		if c := &s.Customers[i]; c.Limited() {
			limits[c.Name] = apportioner.Limit{Rate: c.Rate, Burst: c.Burst}
		}
	}
	q.table.Configure(now, limits)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limited = len(limits) > 0
}

// active reports whether a customer has a quota.
func (q *quotaExchange) active() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.limited
}

// few records the number of live entries and reports whether they are fewer than half of those that
// were live lately.
func (q *quotaExchange) few(now time.Time, live int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if live >= q.peak || now.Sub(q.peakAt) > peakTime {
		q.peak, q.peakAt = live, now
	}
	return 2*live < q.peak
}

// due returns the entries with which an exchange is due, and records it.
func (q *quotaExchange) due(now time.Time, self string, others []announcer.Member, interval time.Duration) []announcer.Member {
	q.mu.Lock()
	defer q.mu.Unlock()
	maps.DeleteFunc(q.exchangedAt, func(_ string, at time.Time) bool { return now.Sub(at) > peakTime })
	var out []announcer.Member
	for _, m := range others {
		wait := interval
		if m.Name < self {
			wait = time.Duration(quotaPatience * float64(interval))
		}
		if now.Sub(q.exchangedAt[m.Name]) >= wait {
			q.exchangedAt[m.Name] = now
			out = append(out, m)
		}
	}
	return out
}

// record records an exchange with an entry.
func (q *quotaExchange) record(now time.Time, name string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.exchangedAt[name] = now
}

// receiving returns the entries that receive nearly all requests: those assigned to a service of the
// configuration. The slice is new.
func (s *membership) receiving(services []router.Service) []announcer.Member {
	seen := make(map[string]bool)
	var out []announcer.Member
	for i := range services {
		for _, m := range s.assignedAll(services[i].Name) {
			if !seen[m.Name] {
				seen[m.Name] = true
				out = append(out, m)
			}
		}
	}
	return out
}

// exchangeQuotas exchanges reports with the entries that receive requests until ctx ends.
func (g *Gateway) exchangeQuotas(ctx context.Context) error {
	for ctx.Err() == nil {
		if g.quotas.active() {
			g.exchangeDueQuotas(ctx, time.Now())
		}
		sleeper.Sleep(ctx, quotaPollInterval)
	}
	return nil
}

// exchangeDueQuotas exchanges reports with the entries with which it is due.
func (g *Gateway) exchangeDueQuotas(ctx context.Context, now time.Time) {
	q, t := g.quotas, g.forwarder.Table()
	if t == nil {
		return
	}
	receiving := g.membership().receiving(t.Spec().Services)
	others := slices.DeleteFunc(receiving, func(m announcer.Member) bool { return m.Name == g.process.Name() })
	isReceiving := len(others) < len(receiving)
	live := g.table.Live(now)
	q.table.SetMembership(now, apportioner.Membership{Alone: len(others) == 0, Few: q.few(now, len(live)), Idle: idle(live, others)})
	g.logIsolation(len(live), len(receiving))
	interval := quotaInterval
	demand := q.table.HasDemand(now)
	switch {
	case q.table.Urgent(now):
		interval = urgentQuotaInterval
	case !demand && isReceiving:
		interval = idleQuotaInterval
	case !demand:
		return
	}
	if scaled := time.Duration(float64(interval) * float64(len(others)) / quotaPeers); scaled > interval {
		interval = max(interval, min(scaled, maxQuotaInterval))
	}
	due := q.due(now, g.process.Name(), others, interval)
	if len(due) > 0 || len(others) == 0 {
		g.sendQuotas(ctx, now, due)
	}
}

// logIsolation logs when this entry begins or ends to be cut off from most others, by which its portions
// of quotas change.
func (g *Gateway) logIsolation(live, receiving int) {
	q := g.quotas
	isolated := q.table.Isolated()
	q.mu.Lock()
	changed, peak := isolated != q.isolated, q.peak
	q.isolated = isolated
	q.mu.Unlock()
	switch {
	case !changed:
	case isolated:
		g.log.Warn("quota portions reduced", "cause", "reports come from less than half of the entries", "live", live, "peak", peak, "receiving", receiving)
	default:
		g.log.Info("quota portions restored", "live", live, "peak", peak, "receiving", receiving)
	}
}

// idle returns a function that reports whether an entry is live and receives no requests.
func idle(live, receiving []announcer.Member) func(name string) bool {
	return func(name string) bool {
		named := func(m announcer.Member) bool { return m.Name == name }
		return slices.ContainsFunc(live, named) && !slices.ContainsFunc(receiving, named)
	}
}

// sendQuotas sends a report to entries and applies their replies.
func (g *Gateway) sendQuotas(ctx context.Context, now time.Time, to []announcer.Member) {
	q := g.quotas
	m := q.table.Report(now, false)
	report, err := announcer.Pack(m)
	if err != nil {
		g.log.Error("report of quotas can't be encoded", "error", err.Error())
		return
	}
	var wg sync.WaitGroup
	for _, m := range to {
		wg.Go(func() {
			defer guarder.Contain(g.log, "exchange of quotas", nil)
			g.exchangeWith(ctx, m, report)
		})
	}
	wg.Wait()
	q.table.Exchanged()
}

// exchangeWith sends a report to one entry and applies its reply.
func (g *Gateway) exchangeWith(ctx context.Context, m announcer.Member, report announcer.Packed) {
	limited, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	var reply apportioner.Message
	err := g.announcer.Send(limited, m, pathQuotas, report, &reply)
	if err == nil {
		err = g.quotas.table.Receive(time.Now(), reply)
	}
	if err != nil {
		g.log.Debug("quotas not exchanged with peer", "to", m.Name, "error", err.Error())
		return
	}
	g.quotas.record(time.Now(), m.Name)
}

// receiveQuotas applies a report of another entry and returns that of this one. A malformed one has
// no effect; the error then satisfies errors.Is(err, errors.NotValid).
func (g *Gateway) receiveQuotas(body []byte) (any, error) {
	var m apportioner.Message
	if err := json.Unmarshal(body, &m); err != nil {
		return nil, errors.WithType(err, errors.NotValid)
	}
	now := time.Now()
	if err := g.quotas.table.Receive(now, m); err != nil {
		return nil, errors.Trace(err)
	}
	g.quotas.record(now, m.From)
	return g.quotas.table.Report(now, false), nil
}

// leaveQuotas tells the others that this entry admits no further requests, so that they use its
// portions.
func (g *Gateway) leaveQuotas(ctx context.Context) {
	t := g.forwarder.Table()
	if t == nil || !g.quotas.active() {
		return
	}
	g.quotas.table.SetLeaving()
	others := slices.DeleteFunc(g.membership().receiving(t.Spec().Services), func(m announcer.Member) bool { return m.Name == g.process.Name() })
	g.sendQuotas(ctx, time.Now(), others)
}
