package prober

import (
	"time"

	"golang.org/x/time/rate"
)

// Budget limits the rate of one entry's probes of one service, in probes and in
// bytes per second.
type Budget struct {
	probes, bytes *rate.Limiter
	usage         Usage
}

// Usage is the number and the cost of the probes since the process started.
type Usage struct {
	Probes int64 `json:"probes"`
	Bytes  int64 `json:"bytes"`
	// Denied counts probes that were due but exceeded the budget.
	Denied int64 `json:"denied"`
}

// NewBudget returns a budget of the given probes and bytes per second.
func NewBudget(probes float64, bytes int) *Budget {
	return &Budget{
		probes: rate.NewLimiter(rate.Limit(probes), max(1, int(probes))),
		bytes:  rate.NewLimiter(rate.Limit(bytes), max(bytes, probeCostBytes)),
	}
}

// Resize changes the rates of the budget from now on.
func (b *Budget) Resize(now time.Time, probes float64, bytes int) {
	b.probes.SetLimitAt(now, rate.Limit(probes))
	b.probes.SetBurstAt(now, max(1, int(probes)))
	b.bytes.SetLimitAt(now, rate.Limit(bytes))
	b.bytes.SetBurstAt(now, max(bytes, probeCostBytes))
}

// probeCostBytes is the cost of one probe: a bound on the bytes of its request
// and response together.
const probeCostBytes = 512

// Allow charges one probe to the budget. It reports false, and charges nothing, if
// the remaining probes or bytes do not suffice. A rate of 0 allows no probe, not
// even the burst of the limiters.
func (b *Budget) Allow(now time.Time) bool {
	if b.probes.Limit() == 0 || b.bytes.Limit() == 0 || b.bytes.TokensAt(now) < probeCostBytes || !b.probes.AllowN(now, 1) {
		b.usage.Denied++
		return false
	}
	b.bytes.AllowN(now, probeCostBytes)
	b.usage.Probes++
	b.usage.Bytes += probeCostBytes
	return true
}

// Usage returns the probes charged and denied so far.
func (b *Budget) Usage() Usage { return b.usage }

// primaryFraction is the fraction of a budget reserved for the entries that serve
// a service in normal operation. The rest is for the other listed entries, which
// serve it as fallbacks.
const primaryFraction = 0.75

// BudgetFraction returns the fraction of a service's budget that one entry may
// spend. rank is its index among all listed entries, live or not, negative
// if it is not listed; the entries ranked below primaries serve the service in
// normal operation. The result does not depend on which entries are considered
// live: the listed entries together stay within the budget even if their views
// of the membership differ.
func BudgetFraction(rank, primaries, listed int) float64 {
	switch {
	case rank < 0:
		return 0
	case listed <= primaries:
		return 1 / float64(listed)
	case rank < primaries:
		return primaryFraction / float64(primaries)
	default:
		return (1 - primaryFraction) / float64(listed-primaries)
	}
}
