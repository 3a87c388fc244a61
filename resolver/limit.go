package resolver

import (
	"cmp"
	"slices"

	"poplarwind/announcer"
)

// LimitOwners returns the entries that share the rate limit of an upstream, given the
// members that its service is assigned to and the limit in requests per second. The
// others send no requests to the upstream. Members that receive requests come first,
// then those of the upstream's failure domain; others are ranked by rendezvous hashing,
// so that the limits of several upstreams are spread over the members and a member that
// leaves moves few of them.
//
// An entry may send a request whenever it has accumulated one, however low its rate,
// so each owner can add one request to a window of any length. There are about as many
// owners as the limit allows requests in a second, so that these requests stay within
// what it allows in little more than a second.
func LimitOwners(upstream, domain string, members []announcer.Member, rate float64) []announcer.Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b announcer.Member) int {
		return cmp.Or(
			compareBool(a.Load > 0, b.Load > 0),
			compareBool(a.Domain == domain, b.Domain == domain),
			cmp.Compare(score(upstream, b.Name), score(upstream, a.Name)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	n := len(ranked)
	if rate < float64(n) {
		n = min(n, 1+int(rate))
	}
	return ranked[:n]
}

// compareBool orders true before false.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
