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

// majorityPart is the part of a budget that is spent where most entries hear
// of one another. The rest is for those that are cut off from them.
const majorityPart = 0.75

// Part returns the part of a service's budget that one of the entries that
// carry it may spend. Entries that are cut off from most others can't know
// who else probes: each has an even part, among all listed entries, of what is
// set aside for them, so that all sides together stay within the budget.
func Part(carriers int, census func() (live, listed int)) float64 {
	live, listed := census()
	listed = max(listed, live)
	if 2*live > listed {
		return majorityPart / float64(max(1, carriers))
	}
	return (1 - majorityPart) / float64(listed)
}
