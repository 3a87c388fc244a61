package prober

import (
	"time"

	"golang.org/x/time/rate"
)

// Budget pays for the probes of one service at one entry.
type Budget struct {
	probes, bytes *rate.Limiter
	spent         Spent
}

// Spent is the cost of probes since the start.
type Spent struct {
	Probes int64 `json:"probes"`
	Bytes  int64 `json:"bytes"`
	// Denied counts probes that were due and could not be paid.
	Denied int64 `json:"denied"`
}

// NewBudget returns a budget of probes and bytes a second.
func NewBudget(probes float64, bytes int) *Budget {
	return &Budget{
		probes: rate.NewLimiter(rate.Limit(probes), max(1, int(probes))),
		bytes:  rate.NewLimiter(rate.Limit(bytes), max(bytes, cost)),
	}
}

// Resize changes the budget from now on.
func (b *Budget) Resize(now time.Time, probes float64, bytes int) {
	b.probes.SetLimitAt(now, rate.Limit(probes))
	b.probes.SetBurstAt(now, max(1, int(probes)))
	b.bytes.SetLimitAt(now, rate.Limit(bytes))
	b.bytes.SetBurstAt(now, max(bytes, cost))
}

// cost bounds the bytes of one probe, both ways.
const cost = 512

// Pay takes the price of one probe, if there is enough of both.
func (b *Budget) Pay(now time.Time) bool {
	if b.probes.Limit() == 0 || b.bytes.Limit() == 0 || b.bytes.TokensAt(now) < cost || !b.probes.AllowN(now, 1) {
		b.spent.Denied++
		return false
	}
	b.bytes.AllowN(now, cost)
	b.spent.Probes++
	b.spent.Bytes += cost
	return true
}

// Spent returns the cost so far.
func (b *Budget) Spent() Spent { return b.spent }

// carriersPart is the part of a budget that is for the entries that carry a
// service when all are well. The rest is for those that stand in for them.
const carriersPart = 0.75

// Part returns the part of a service's budget that one entry may spend. Rank
// is its place among all listed entries, live or not, negative if it is not
// listed; the first carriers of them carry the service when all are well. It
// does not depend on which entries are heard of: whatever each of them believes
// of the others, all together stay within the budget.
func Part(rank, carriers, listed int) float64 {
	switch {
	case rank < 0:
		return 0
	case listed <= carriers:
		return 1 / float64(listed)
	case rank < carriers:
		return carriersPart / float64(carriers)
	default:
		return (1 - carriersPart) / float64(listed-carriers)
	}
}
