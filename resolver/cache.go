package resolver

import (
	"slices"
	"time"

	"poplarwind/announcer"
	"poplarwind/parser"
)

// cacheTTL is how long cached rankings are used before the membership is checked
// again.
const cacheTTL = 200 * time.Millisecond

// ranking is the order of the live entries for a service, of which the first
// subsetSize form its subset.
type ranking struct {
	subsetSize int
	ranked     []announcer.Member
}

// rankingKey identifies a ranking for a given membership.
type rankingKey struct {
	path       string
	subsetSize int
}

// rankingCache holds the rankings for one membership. Computing the ranking for
// each query would cost more than all other control-plane work combined.
type rankingCache struct {
	expiresAt     time.Time
	local, remote []announcer.Member
	// demand holds the calls per second of each service in the region.
	demand   map[string]float64
	rankings map[rankingKey]ranking
}

// renew returns the cache for the live entries at now. It keeps the rankings of
// c if the entries are equivalent. The receiver may be nil.
func (c *rankingCache) renew(now time.Time, live []announcer.Member, region string) *rankingCache {
	n := &rankingCache{expiresAt: now.Add(cacheTTL), demand: make(map[string]float64), rankings: make(map[rankingKey]ranking)}
	n.local, n.remote = partition(live, region)
	for _, m := range n.local {
		for _, rate := range m.Rates {
			n.demand[rate.Path] += rate.Calls
		}
	}
	if c != nil && slices.EqualFunc(c.local, n.local, equivalent) && slices.EqualFunc(c.remote, n.remote, equivalent) {
		n.rankings = c.rankings
	}
	return n
}

// equivalent reports whether two members have the same rank and the same address
// for callers.
func equivalent(a, b announcer.Member) bool {
	return a.Name == b.Name && a.Domain == b.Domain && a.Callers == b.Callers && a.Region == b.Region
}

// subset returns the entries that serve the service and the ranking of all live
// entries.
func (c *rankingCache) subset(s *parser.Service) (subset, ranked []announcer.Member) {
	k := rankingKey{path: s.Path(), subsetSize: SubsetSize(s.MinEntries(), c.demand[s.Path()], s.TargetRate())}
	r, ok := c.rankings[k]
	if !ok {
		local, n := Rank(k.path, c.local, k.subsetSize)
		others, _ := Rank(k.path, c.remote, 0)
		r = ranking{subsetSize: n, ranked: append(local, others...)}
		c.rankings[k] = r
	}
	return r.ranked[:r.subsetSize], r.ranked
}
