package apportioner

import (
	"time"
)

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
