package apportioner

import (
	"maps"
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
