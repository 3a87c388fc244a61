package resolver

import (
	"cmp"
	"slices"

	"poplarwind/announcer"
)

// Assign returns the entries of one failure domain that a service is assigned
// to. Members are ranked by capacity, and by rendezvous hashing among equals. The
// result holds at least minEntries of them if there are that many, and more until
// their combined capacity covers demand, in requests per second.
//
// Few entries serve nearly all requests of a service, so that their own view of
// its upstreams is nearly complete. The capacities of a deployment's entries may
// differ several times: an overloaded weak entry responds late, sends its load
// probes late and mistakes healthy upstreams for unresponsive ones. An entry that
// does not report its capacity counts as having enough for any demand. The result
// is a new slice.
func Assign(service string, members []announcer.Member, demand float64, minEntries int) []announcer.Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b announcer.Member) int {
		return cmp.Or(
			compareCapacity(b.Capacity, a.Capacity),
			cmp.Compare(score(service, b.Name), score(service, a.Name)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	capacity := 0.0
	for i, m := range ranked {
		if m.Capacity == 0 {
			return ranked[:max(i+1, min(minEntries, len(ranked)))]
		}
		if i >= minEntries && capacity >= demand {
			return ranked[:i]
		}
		capacity += m.Capacity
	}
	return ranked
}

// compareCapacity compares capacities. An unreported capacity, 0, is the greatest.
func compareCapacity(a, b float64) int {
	if a == 0 || b == 0 {
		return cmp.Compare(b, a)
	}
	return cmp.Compare(a, b)
}
