package apportioner

import (
	"cmp"
	"slices"
	"time"
)

// Totals counts the decisions on requests of customers with a quota since the start of the entry.
type Totals struct {
	Admitted int64 `json:"admitted"`
	Rejected int64 `json:"rejected"`
	// Returned counts the admissions of requests that were sent to no upstream.
	Returned int64 `json:"returned"`
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
