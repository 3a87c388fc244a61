package apportioner

import (
	"math"
	"time"
)

// Limit is the quota of a customer over all entries together.
type Limit struct {
	// Rate is the quota in requests per second, above 0, and Burst the number of requests
	// beyond it that may arrive at once.
	Rate, Burst float64
}

// capacity returns the capacity of the bucket. At least one request fits.
func (l Limit) capacity(slack float64) float64 { return max(l.Burst, 1) + slack }

const (
	// demandTime is the time constant of the average demand. It is a few times the interval
	// of exchanges, so that portions follow demand and not single requests.
	demandTime = 1500 * time.Millisecond
	// minDemand is added to each demand in requests per second, so that an entry without
	// demand yet has a portion.
	minDemand = 0.1
	// idleDemand is the demand in requests per second below which other entries are not told
	// of a customer.
	idleDemand = 0.05
	// fractionTTL is how long a fraction is reused.
	fractionTTL = 50 * time.Millisecond
)

// customer is the use of one customer's quota.
type customer struct {
	limit Limit
	// level is the estimate of the shared bucket in requests as of levelAt, without what
	// other entries may have admitted since their last reports. It may be negative.
	level   float64
	levelAt time.Time
	// portion is the token bucket of this entry as of portionAt.
	portion   float64
	portionAt time.Time
	// fraction is the fraction of the demand at this entry as of fractionAt, and total the
	// demand at all entries.
	fraction, total float64
	fractionAt      time.Time
	// demand is the average rate of requests per second at this entry as of usedAt, when the
	// last one arrived.
	demand float64
	usedAt time.Time
	// sent is the token bucket of the requests that this entry sends to upstreams as of sentAt.
	sent   float64
	sentAt time.Time
	// admitted and rejected count requests since the start of the entry. Admissions that were
	// returned are not in admitted but in returned.
	admitted, rejected, returned int64
	// spare counts the requests admitted beyond the portion since the last exchange.
	spare int
	// peers holds what other entries have reported, by the index of the peer.
	peers []peerCount
}

// peerCount is what another entry has reported.
type peerCount struct {
	admitted int64
	demand   float64
	// rate is the average rate of admissions per second.
	rate float64
}

// rateTime is the time constant of the average rate of admissions.
const rateTime = 600 * time.Millisecond

// update updates the rate with the admissions that a report adds, after the time since the one
// before.
func (p *peerCount) update(more float64, elapsed time.Duration) {
	if elapsed > 0 {
		p.rate += (1 - math.Exp(-float64(elapsed)/float64(rateTime))) * (max(0, more)/elapsed.Seconds() - p.rate)
	}
}

// decayed returns the demand at now.
func (c *customer) decayed(now time.Time) float64 {
	if c.demand == 0 {
		return 0
	}
	return c.demand * math.Exp(-max(0, float64(now.Sub(c.usedAt)))/float64(demandTime))
}

// arrive records a request.
func (c *customer) arrive(now time.Time) {
	c.demand, c.usedAt = c.decayed(now)+1/demandTime.Seconds(), now
}

// peer returns the count of the peer with an index, which it adds if there is none.
func (c *customer) peer(index int) *peerCount {
	for len(c.peers) <= index {
		c.peers = append(c.peers, peerCount{})
	}
	return &c.peers[index]
}

// demandOf returns the demand that the peer with an index has reported.
func (c *customer) demandOf(index int) float64 {
	if index >= len(c.peers) {
		return 0
	}
	return c.peers[index].demand
}

// setLimit replaces the quota. A higher burst adds what it allows more.
func (c *customer) setLimit(l Limit, slack float64) {
	c.level = min(c.level+max(0, l.capacity(slack)-c.limit.capacity(slack)), l.capacity(slack))
	c.limit = l
	c.portion = min(c.portion, c.portionCapacity())
	c.fractionAt = time.Time{}
}

// portionTime is the time for which an unused portion accumulates. Further bursts come from the
// shared bucket only, so that they are not admitted twice.
const portionTime = 250 * time.Millisecond

// portionCapacity returns the capacity of this entry's own bucket, at least one request.
func (c *customer) portionCapacity() float64 {
	return max(1, c.fraction*min(c.limit.Burst, c.limit.Rate*portionTime.Seconds()))
}

// settle refills both buckets. Unreported is what other entries may have admitted since their
// last reports: it will be subtracted later, and room for it is not lost. SilentRate is the rate at
// which silent ones use the shared bucket.
func (c *customer) settle(now time.Time, slack, unreported, silentRate float64) {
	elapsed := max(0, now.Sub(c.levelAt).Seconds())
	c.level = min(c.limit.capacity(slack)+unreported, c.level+max(0, c.limit.Rate-silentRate)*elapsed)
	c.levelAt = now
	elapsed = max(0, now.Sub(c.portionAt).Seconds())
	c.portion = min(c.portionCapacity(), c.portion+c.fraction*c.limit.Rate*elapsed)
	c.portionAt = now
}

// subtract subtracts what another entry has admitted. The level does not fall so low that the
// customer is rejected for longer than debtTime on account of it.
func (c *customer) subtract(n float64) {
	c.level = max(c.level-n, -c.limit.Rate*debtTime.Seconds()-c.limit.Burst)
}

// debtTime bounds the debt of the shared bucket, which a late report of a large use leaves.
const debtTime = 2 * time.Second
