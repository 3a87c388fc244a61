package apportioner

import "time"

const (
	// lateTime is the wait after which a request counts as late when it is sent. Shorter waits are
	// within the margin of the bound of a quota.
	lateTime = 500 * time.Millisecond
	// sentTime bounds from below what an entry may send at once after a stall if the quota has no burst:
	// its fraction of what the rate allows in so much time.
	sentTime = 500 * time.Millisecond
	// minLate is the fraction of the burst, in requests, below which nothing is late: so few requests
	// wait at an entry then that the tolerance of the quota is enough for those of all entries.
	minLate = 2
	// minSent is the least capacity, since requests arrive irregularly.
	minSent = 3
)

// sentCapacity returns the capacity of the bucket of sent requests, at least minSent: the fraction of the
// burst. Requests that are not late come on top, for which the bound of the quota has a margin of 0.1.
func (t *Table) sentCapacity(now time.Time, c *customer) float64 {
	return t.share(now, c) * max(c.limit.Burst, sentTime.Seconds()*c.limit.Rate)
}

// Send decides whether an admitted request that has waited may be sent. It addresses a stall of a service:
// its queue fills with requests that were admitted one after the other, and would reach upstreams all
// at once when it goes on. Only late requests of a customer whose quota is nearly used up are rejected: one
// that is well within it stays so with the requests of a stall. The admission of one is not returned, as the
// quota has been refilled and used since.
func (t *Table) Send(now time.Time, name string, waited time.Duration) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.customers[name]
	if c == nil {
		return Decision{Admitted: true}
	}
	level, fraction := t.settle(now, c), t.sentCapacity(now, c)
	capacity := max(minSent, fraction)
	if c.sentAt.IsZero() {
		c.sent = capacity
	} else {
		c.sent = min(capacity, c.sent+t.share(now, c)*c.limit.Rate*max(0, now.Sub(c.sentAt).Seconds()))
	}
	c.sentAt = now
	exhausted := level < urgentLevel*c.limit.capacity(t.slack)
	if waited > lateTime && exhausted && fraction >= minLate && c.sent < 1 {
		c.rejected++
		t.totals.Rejected++
		return t.rejection(now, c, level)
	}
	c.sent = max(c.sent-1, -capacity)
	return Decision{Admitted: true}
}
