package resolver

import (
	"cmp"
	"slices"

	"poplarwind/announcer"
)

// Carry returns the entries of one failure domain that carry a service: the
// most powerful ones, by rendezvous hashing among equals, at least least of
// them, and more until together they can carry demand, in requests a second.
//
// Few entries see nearly all that a service does, so that what they know of its
// upstreams is nearly the truth; but entries of a deployment may differ several
// times in power, and a weak one that carries what is meant for a strong one
// answers late, asks late and takes sound upstreams for silent. An entry whose
// power is untold can carry anything. The result is a new slice.
func Carry(service string, members []announcer.Member, demand float64, least int) []announcer.Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b announcer.Member) int {
		return cmp.Or(
			comparePower(b.Power, a.Power),
			cmp.Compare(score(service, b.Name), score(service, a.Name)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	power := 0.0
	for i, m := range ranked {
		if m.Power == 0 {
			return ranked[:max(i+1, min(least, len(ranked)))]
		}
		if i >= least && power >= demand {
			return ranked[:i]
		}
		power += m.Power
	}
	return ranked
}

// comparePower compares powers, of which 0 is the greatest: it is untold.
func comparePower(a, b float64) int {
	if a == 0 || b == 0 {
		return cmp.Compare(b, a)
	}
	return cmp.Compare(a, b)
}
