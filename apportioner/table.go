package apportioner

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// silenceTime is the time without a report after which an entry counts as silent.
	silenceTime = 2 * time.Second
	// holdTime is how long the portion of a silent entry is left to it: it may be cut off
	// from the others and still serve callers.
	holdTime = 10 * time.Second
	// isolationTime is the time in which the portion of an entry that is cut off falls to
	// isolatedFraction of what it was. At that fraction the quotas are kept even if a third
	// of a flood arrives at entries that are cut off, and a customer whose quota is 1.6
	// times its usual rate is still served.
	isolationTime    = 2 * time.Second
	isolatedFraction = 0.6
	// startTime is the time after its start in which an entry learns of the others. Until
	// then it has at most startFraction of a quota, and unheardFraction while it has heard
	// from none: all entries may have been restarted, and 30 of them get requests.
	startTime       = 3500 * time.Millisecond
	startFraction   = 1.0 / 8
	unheardFraction = 1.0 / 32
	// minRetryAfter and maxRetryAfter bound the time after which a rejected request may come
	// again, and retryJitter is the greatest fraction by which it is prolonged at random.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	retryJitter   = 0.5
)

// peer is another entry.
type peer struct {
	name  string
	epoch int64
	// index is that of the peer in customer.peers. No other peer has it.
	index int
	// heardAt is when the last report was received.
	heardAt time.Time
	// idle is set if the last report stated no demand.
	idle bool
}

// Table holds the quotas of all customers at one entry. Use New to create one. It is safe for
// concurrent use.
type Table struct {
	self  string
	epoch int64
	// slack is the number of requests by which the capacity of each bucket is raised.
	slack float64

	mu        sync.Mutex
	startedAt time.Time
	// limits holds the quotas of the configuration, and customers the state of those of them
	// that have had requests at any entry.
	limits    map[string]Limit
	customers map[string]*customer
	// peers holds the entries that have reported and may still admit requests.
	peers map[string]*peer
	// list holds the peers in any order.
	list []*peer
	// free holds the indexes of peers that were dropped.
	free []int
	// alone is set if no other entry receives requests, and few if fewer than half of the
	// entries that were live are.
	alone, few bool
	// heard is set once another entry has reported.
	heard bool
	// isolatedAt is when this entry was cut off from most others, zero if it is not.
	isolatedAt time.Time
	leaving    bool
	totals     Totals
}

// Totals counts the decisions on requests of customers with a quota since the start of the entry.
type Totals struct {
	Admitted int64 `json:"admitted"`
	Rejected int64 `json:"rejected"`
	// Returned counts the admissions of requests that were sent to no upstream.
	Returned int64 `json:"returned"`
}

// New returns the table of the entry named self that was started at epoch, with no quotas. The
// capacity of each bucket is raised by slack requests, which the entries may differ by.
func New(now time.Time, self string, epoch int64, slack float64) *Table {
	return &Table{
		self: self, epoch: epoch, slack: slack, startedAt: now,
		limits: make(map[string]Limit), customers: make(map[string]*customer), peers: make(map[string]*peer),
	}
}

// Configure replaces the quotas by those of a configuration, by the name of the customer.
func (t *Table) Configure(now time.Time, limits map[string]Limit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits = maps.Clone(limits)
	for name, c := range t.customers {
		l, ok := limits[name]
		switch {
		case !ok:
			delete(t.customers, name)
		case l != c.limit:
			t.settle(now, c)
			c.setLimit(l, t.slack)
		}
	}
}

// Membership is what is known of other entries, apart from their reports.
type Membership struct {
	// Alone is set if no other entry receives requests, and Few if fewer than half of the
	// entries that were live a while ago still are.
	Alone, Few bool
	// Idle reports whether an entry is live and receives no requests. Nil means that none is.
	Idle func(name string) bool
}

// SetMembership records what is known of other entries.
func (t *Table) SetMembership(now time.Time, m Membership) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.alone, t.few = m.Alone, m.Few
	for _, p := range slices.Clone(t.list) {
		// An entry that got a few requests, and none any more, sends no reports.
		if now.Sub(p.heardAt) > silenceTime && m.Idle != nil && m.Idle(p.name) {
			t.drop(p)
		}
	}
	t.dropSilent(now)
}

// others returns the demand at other entries.
func (c *customer) others(t *Table) float64 {
	sum := 0.0
	for _, p := range t.list {
		sum += c.demandOf(p.index)
	}
	return sum
}

// find returns the state of a customer, nil if it has no quota. The lock must be held.
func (t *Table) find(now time.Time, name string) *customer {
	if c := t.customers[name]; c != nil {
		return c
	}
	c := t.create(now, name)
	if c != nil {
		t.customers[name] = c
	}
	return c
}

// create returns the initial state of a customer, nil if it has no quota. The lock must be held.
func (t *Table) create(now time.Time, name string) *customer {
	l, ok := t.limits[name]
	if !ok {
		return nil
	}
	c := &customer{limit: l, levelAt: now, portionAt: now, portion: 1, level: l.capacity(t.slack)}
	if t.starting(now) {
		// Others may have used up the quota just before.
		c.level = 1
	}
	return c
}

// starting reports whether this entry may not know all others yet. The lock must be held.
func (t *Table) starting(now time.Time) bool { return now.Sub(t.startedAt) < startTime }

// knowsOthers reports whether this entry has heard from others that receive requests, or there are
// none. The lock must be held.
func (t *Table) knowsOthers(now time.Time) bool { return t.heard || t.alone && !t.starting(now) }

// isolated reports whether this entry is cut off from most others. The lock must be held.
func (t *Table) isolated() bool { return !t.isolatedAt.IsZero() }

// updateIsolation determines whether this entry is cut off from most others. The lock must be
// held.
func (t *Table) updateIsolation(now time.Time) {
	silent, active := 0, 0
	for _, p := range t.list {
		if p.idle {
			continue
		}
		active++
		if now.Sub(p.heardAt) > silenceTime {
			silent++
		}
	}
	switch isolated := t.few || 2*silent > active; {
	case isolated && t.isolatedAt.IsZero():
		t.isolatedAt = now
	case !isolated:
		t.isolatedAt = time.Time{}
	}
}

// dropSilent drops the peers that have been silent for too long, unless it is this entry that is
// cut off. The lock must be held.
func (t *Table) dropSilent(now time.Time) {
	t.updateIsolation(now)
	if t.few {
		return
	}
	for _, p := range slices.Clone(t.list) {
		if now.Sub(p.heardAt) > holdTime {
			t.drop(p)
		}
	}
	t.updateIsolation(now)
}

// drop forgets a peer. The lock must be held.
func (t *Table) drop(p *peer) {
	delete(t.peers, p.name)
	t.list = slices.DeleteFunc(t.list, func(other *peer) bool { return other == p })
	for _, c := range t.customers {
		if p.index < len(c.peers) {
			c.peers[p.index] = peerCount{}
			c.fractionAt = time.Time{}
		}
	}
	t.free = append(t.free, p.index)
}

// updateFraction updates the fraction of a customer's demand that arrives at this entry. It stays
// while this entry is cut off. The lock must be held.
func (t *Table) updateFraction(now time.Time, c *customer) {
	if !c.fractionAt.IsZero() && now.Sub(c.fractionAt) < fractionTTL {
		return
	}
	t.updateIsolation(now)
	if t.isolated() && !c.fractionAt.IsZero() {
		return
	}
	own := c.decayed(now)
	others := c.others(t)
	c.total = own + others
	c.fraction = (own + minDemand) / (c.total + minDemand*float64(1+len(t.peers)))
	switch {
	case !t.knowsOthers(now):
		c.fraction = unheardFraction
	case t.starting(now):
		c.fraction = min(c.fraction, startFraction)
	}
	c.fractionAt = now
}

// share returns the fraction of the quota that this entry may use now. The lock must be held.
func (t *Table) share(now time.Time, c *customer) float64 {
	if !t.isolated() {
		return c.fraction
	}
	passed := min(1, float64(now.Sub(t.isolatedAt))/float64(isolationTime))
	return c.fraction * (1 - (1-isolatedFraction)*passed)
}

// unreported returns what other entries are expected to have admitted since their last reports,
// for silent ones until they became silent: as much in the same time as before. It also returns the
// rate of what silent ones are expected to admit. The lock must be held.
func (t *Table) unreported(now time.Time, c *customer) (sum, silentRate float64) {
	for _, p := range t.list {
		if p.index >= len(c.peers) {
			continue
		}
		rate, age := c.peers[p.index].rate, now.Sub(p.heardAt)
		sum += rate * max(0, min(age, silenceTime).Seconds())
		if age > silenceTime {
			silentRate += rate
		}
	}
	return sum, silentRate
}

// settle updates the buckets of a customer to now and returns the level of the shared one after
// what other entries may have admitted since their last reports. The lock must be held.
func (t *Table) settle(now time.Time, c *customer) float64 {
	unreported, silentRate := t.unreported(now, c)
	// The portion is refilled at the fraction that was valid until now.
	before := c.fraction
	c.fraction = t.share(now, c)
	c.settle(now, t.slack, unreported, silentRate)
	c.fraction = before
	t.updateFraction(now, c)
	return c.level - unreported
}

// Decision is the decision on a request of a customer, with what it was based on.
type Decision struct {
	Admitted bool
	// RetryAfter is the time after which a rejected request will be admitted, with jitter, so
	// that requests do not come again all at once.
	RetryAfter time.Duration
	// Level is the estimated level of the shared bucket, and Portion that of this entry's own.
	Level, Portion float64
	// Fraction is the fraction of the quota that this entry may use, and Demand and Total the
	// requests per second here and at all entries.
	Fraction, Demand, Total float64
	// Isolated is set if this entry is cut off from most others.
	Isolated bool
}

// portionDebt is the time in which the quota refills what portions may be used in excess of the
// level: the level is an estimate, and portions alone are within the quota.
const portionDebt = 200 * time.Millisecond

// Admit decides on a request of a customer. It addresses a flood of one customer, which arrives at
// many entries at the same time. A customer without a quota is always admitted.
func (t *Table) Admit(now time.Time, name string) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.find(now, name)
	if c == nil {
		return Decision{Admitted: true}
	}
	d := t.decide(now, c)
	if d.Admitted {
		t.totals.Admitted++
	} else {
		t.totals.Rejected++
	}
	return d
}

// Preview returns the decision that Admit would make now, with what it is based on, and changes
// nothing. It reports false if the customer has no quota.
func (t *Table) Preview(now time.Time, name string) (Decision, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	isolatedAt := t.isolatedAt
	defer func() { t.isolatedAt = isolatedAt }()
	var c customer
	if known := t.customers[name]; known != nil {
		c = *known
	} else if created := t.create(now, name); created != nil {
		c = *created
	} else {
		return Decision{Admitted: true}, false
	}
	before := c
	d := t.decide(now, &c)
	if d.Admitted {
		level := t.settle(now, &before)
		d.Level, d.Portion, d.Fraction, d.Demand, d.Total, d.Isolated = level, before.portion, t.share(now, &before), c.demand, c.total, t.isolated()
	}
	return d, true
}

// decide decides on a request of a customer and counts it for the customer. The lock must be held.
func (t *Table) decide(now time.Time, c *customer) Decision {
	c.arrive(now)
	level := t.settle(now, c)
	isolated := t.isolated()
	switch {
	case c.portion >= 1 && (level >= 1-portionDebt.Seconds()*c.limit.Rate || isolated):
		c.portion--
	case level >= 1 && !isolated && t.knowsOthers(now) && float64(c.spare) < max(1, t.share(now, c)*level):
		c.spare++
	default:
		c.rejected++
		return t.rejection(now, c, level)
	}
	c.level--
	c.admitted++
	return Decision{Admitted: true}
}

// rejection returns the decision to reject a request. The lock must be held.
func (t *Table) rejection(now time.Time, c *customer, level float64) Decision {
	return Decision{
		RetryAfter: t.retryAfter(now, c, level), Level: level, Portion: c.portion, Fraction: t.share(now, c),
		Demand: c.demand, Total: c.total, Isolated: t.isolated(),
	}
}

// retryAfter returns the time until both buckets have room, with jitter. The lock must be held.
func (t *Table) retryAfter(now time.Time, c *customer, level float64) time.Duration {
	wait := max((1-c.portion)/(max(t.share(now, c), idleDemand)*c.limit.Rate), (1-level)/c.limit.Rate)
	bounded := min(max(time.Duration(min(wait, maxRetryAfter.Seconds())*float64(time.Second)), minRetryAfter), maxRetryAfter)
	return bounded + time.Duration(retryJitter*rand.Float64()*float64(bounded))
}

// Return returns the admission of a request that was sent to no upstream.
func (t *Table) Return(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.customers[name]
	if c == nil || c.admitted == 0 {
		return
	}
	t.settle(now, c)
	c.admitted--
	c.returned++
	t.totals.Returned++
	c.level++
	c.portion = min(c.portion+1, c.portionCapacity())
}

// Urgent reports whether a quota is so nearly used up that reports should be exchanged at a
// shorter interval.
func (t *Table) Urgent(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.customers {
		if t.urgent(now, c) {
			return true
		}
	}
	return false
}

// HasDemand reports whether this entry has had requests of customers lately.
func (t *Table) HasDemand(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.customers {
		if c.decayed(now) >= idleDemand {
			return true
		}
	}
	return false
}

const (
	// urgentLevel and urgentDemand are the fractions of the capacity and of the rate at which
	// a quota is nearly used up.
	urgentLevel  = 0.5
	urgentDemand = 0.8
)

func (t *Table) urgent(now time.Time, c *customer) bool {
	if c.decayed(now) < idleDemand {
		return false
	}
	level := t.settle(now, c)
	return level < urgentLevel*c.limit.capacity(t.slack) || c.total > urgentDemand*c.limit.Rate
}

// Report returns the counters of this entry to send to others: those of customers whose quotas
// are nearly used up if partial is set, else those of all that have requests here. An exchange
// with all other entries begins with it.
func (t *Table) Report(now time.Time, partial bool) Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := Message{From: t.self, Epoch: t.epoch, Settled: !t.starting(now), Leaving: t.leaving, Partial: partial}
	for name, c := range t.customers {
		demand := c.decayed(now)
		if demand < idleDemand || partial && !t.urgent(now, c) {
			continue
		}
		level := t.settle(now, c)
		m.Counts = append(m.Counts, Count{Customer: name, Admitted: c.admitted, Demand: round(demand), Level: round(min(max(level, -maxFigure), maxFigure))})
	}
	return m
}

// round rounds to two decimals, so that messages are short.
func round(v float64) float64 { return float64(int64(v*100)) / 100 }

// Exchanged records that the counters of other entries were received in reply to a report.
func (t *Table) Exchanged() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.customers {
		c.spare = 0
	}
}

// Receive applies a report of another entry. An invalid one has no effect; the error then satisfies
// errors.Is(err, errors.NotValid).
func (t *Table) Receive(now time.Time, m Message) error {
	if err := m.check(); err != nil {
		return err
	}
	if m.From == t.self {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[m.From]
	switch {
	case p != nil && m.Epoch < p.epoch:
		return nil
	case p != nil && m.Epoch > p.epoch:
		t.drop(p)
		p = nil
	}
	if m.Leaving {
		t.leave(now, p, &m)
		return nil
	}
	first := p == nil
	if first {
		p = t.add(m.From, m.Epoch)
	}
	reported := make(map[string]bool, len(m.Counts))
	for i := range m.Counts {
		reported[m.Counts[i].Customer] = true
		t.apply(now, p, &m.Counts[i], first, m.Settled)
	}
	p.heardAt = now
	if !m.Partial {
		p.idle = len(m.Counts) == 0
	}
	for name, c := range t.customers {
		if !m.Partial && !reported[name] && p.index < len(c.peers) {
			c.peers[p.index].demand, c.peers[p.index].rate = 0, 0
		}
		c.fractionAt = expire(c.fractionAt, now)
	}
	t.heard = true
	return nil
}

// leave applies the last report of a peer and forgets it, if it is known. The lock must be held.
func (t *Table) leave(now time.Time, p *peer, m *Message) {
	if p == nil {
		return
	}
	for i := range m.Counts {
		t.apply(now, p, &m.Counts[i], false, false)
	}
	t.drop(p)
}

// expire returns a time that is old enough for a fraction to be determined again.
func expire(at, now time.Time) time.Time {
	if at.IsZero() {
		return at
	}
	return now.Add(-fractionTTL)
}

// add adds a peer. The lock must be held.
func (t *Table) add(name string, epoch int64) *peer {
	p := &peer{name: name, epoch: epoch, index: len(t.peers) + len(t.free)}
	if n := len(t.free); n > 0 {
		p.index, t.free = t.free[n-1], t.free[:n-1]
	}
	t.peers[name] = p
	t.list = append(t.list, p)
	return p
}

// apply applies one count of a peer. What a peer had admitted before the first report that is
// received of it, or of the customer, is not known to be recent, so it is not subtracted unless the
// peer was started just now. An entry that starts takes the lowest level that one states which does
// not: those of entries that start at the same time are no better than its own. The lock must be
// held.
func (t *Table) apply(now time.Time, p *peer, n *Count, first, settled bool) {
	_, known := t.customers[n.Customer]
	c := t.find(now, n.Customer)
	if c == nil {
		return
	}
	t.settle(now, c)
	count := c.peer(p.index)
	switch {
	case !first && known:
		more, elapsed := added(count.admitted, n.Admitted), now.Sub(p.heardAt)
		// What a silent peer was expected to admit was not refilled.
		c.subtract(more - count.rate*max(0, elapsed-silenceTime).Seconds())
		count.update(more, elapsed)
	case !settled:
		// The peer was started just now, so all that it has admitted is recent.
		c.subtract(float64(n.Admitted))
	case t.starting(now):
		c.level = min(c.level, n.Level)
	}
	count.admitted, count.demand = n.Admitted, n.Demand
}

// maxReturned bounds the admissions that are returned between two reports. A counter that has
// fallen by more has begun anew: the configuration had dropped the customer for a while.
const maxReturned = 1000

// added returns what a counter has increased by.
func added(before, after int64) float64 {
	if after < before-maxReturned {
		return float64(after)
	}
	return float64(after - before)
}

// SetLeaving records that this entry admits no further requests, which its next report tells the
// others.
func (t *Table) SetLeaving() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
}

// Status is the state of one customer's quota at this entry.
type Status struct {
	Customer string  `json:"customer"`
	Rate     float64 `json:"rate"`
	Burst    float64 `json:"burst"`
	// Level is the estimated level of the shared bucket, Portion that of this entry's own.
	Level   float64 `json:"level"`
	Portion float64 `json:"portion"`
	// Fraction is the fraction of the quota that this entry may use, and Demand and Total the
	// requests per second here and at all entries.
	Fraction float64 `json:"fraction"`
	Demand   float64 `json:"demand"`
	Total    float64 `json:"total"`
	// Admitted counts the requests that were admitted, Returned those of them that were sent to
	// no upstream, and Rejected the others.
	Admitted int64 `json:"admitted"`
	Returned int64 `json:"returned"`
	Rejected int64 `json:"rejected"`
}

// Totals returns the number of decisions on all customers.
func (t *Table) Totals() Totals {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.totals
}

// MostRejected returns the state of the n customers with the most rejections, those with the most first.
// Customers without rejections are left out.
func (t *Table) MostRejected(now time.Time, n int) []Status {
	list := slices.DeleteFunc(t.Status(now), func(s Status) bool { return s.Rejected == 0 })
	slices.SortStableFunc(list, func(a, b Status) int { return cmp.Compare(b.Rejected, a.Rejected) })
	return list[:min(n, len(list))]
}

// Status returns the state of all customers with recent requests, in order of name.
func (t *Table) Status(now time.Time) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Status, 0, len(t.customers))
	for name, c := range t.customers {
		level := t.settle(now, c)
		out = append(out, Status{
			Customer: name, Rate: c.limit.Rate, Burst: c.limit.Burst, Level: level, Portion: c.portion,
			Fraction: t.share(now, c), Demand: c.decayed(now), Total: c.total,
			Admitted: c.admitted + c.returned, Returned: c.returned, Rejected: c.rejected,
		})
	}
	slices.SortFunc(out, func(a, b Status) int { return cmp.Compare(a.Customer, b.Customer) })
	return out
}

// Isolated reports whether this entry is cut off from most others, so that it uses only a part of
// its portions.
func (t *Table) Isolated() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isolated()
}
