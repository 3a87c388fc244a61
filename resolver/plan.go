package resolver

import (
	"slices"
	"time"

	"poplarwind/announcer"
	"poplarwind/parser"
)

// planLife is how long a plan is used before the membership is looked at
// again.
const planLife = 200 * time.Millisecond

// order is how the live entries rank for a service.
type order struct {
	first  int
	ranked []announcer.Member
}

// key is what an order depends on besides the membership.
type key struct {
	path  string
	width int
}

// plan holds orders that were worked out for one membership, since ranking
// anew for each question would cost more than all other control together.
type plan struct {
	until     time.Time
	near, far []announcer.Member
	// demand holds the calls a second of each service in the region.
	demand map[string]float64
	orders map[key]order
}

// next returns the plan for the live entries of now. Orders of the plan before
// are kept if the entries are the same.
func (p *plan) next(now time.Time, live []announcer.Member, region string) *plan {
	n := &plan{until: now.Add(planLife), demand: make(map[string]float64), orders: make(map[key]order)}
	n.near, n.far = split(live, region)
	for _, m := range n.near {
		for _, rate := range m.Rates {
			n.demand[rate.Path] += rate.Calls
		}
	}
	if p != nil && slices.EqualFunc(p.near, n.near, same) && slices.EqualFunc(p.far, n.far, same) {
		n.orders = p.orders
	}
	return n
}

// same reports whether two members rank alike and are reached alike.
func same(a, b announcer.Member) bool {
	return a.Name == b.Name && a.Domain == b.Domain && a.Callers == b.Callers && a.Region == b.Region
}

func (p *plan) subset(s *parser.Service) (first, ranked []announcer.Member) {
	k := key{path: s.Path(), width: Width(s.Subset(), p.demand[s.Path()], s.Rate())}
	o, ok := p.orders[k]
	if !ok {
		near, n := Rank(k.path, p.near, k.width)
		others, _ := Rank(k.path, p.far, 0)
		o = order{first: n, ranked: append(near, others...)}
		p.orders[k] = o
	}
	return o.ranked[:o.first], o.ranked
}
