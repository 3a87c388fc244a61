package apportioner

import (
	"math/rand/v2"
	"time"
)

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
