package resolver

import "poplarwind/announcer"

const (
	// nearWeight is how many times as much an entry asks the upstreams of its
	// own failure domain, which it sends most, as those of another.
	nearWeight = 6
	// evenShare is the part of the average load that each entry counts as
	// having beside its own, so that one whose load has just begun to rise is
	// not without questions, and evenLoad, in requests a second, the same where
	// there is no load at all.
	evenShare = 0.25
	evenLoad  = 0.1
)

// Share returns the part of all questions for the load of one upstream that
// self may ask: of an upstream in its own failure domain, and of one in another.
// Each entry has its part by the load that it gets, so that one whose failure
// domain has most of the callers does not run out of questions while others
// have some left. The parts of all members add up to 1 for an upstream if
// failure domains have like loads.
func Share(self announcer.Member, members []announcer.Member) (near, far float64) {
	total := 0.0
	domains := map[string]float64{self.Domain: 0}
	for _, m := range members {
		total += m.Load
	}
	even := evenLoad
	if n := len(members); n > 0 {
		even += evenShare * total / float64(n)
	}
	all := 0.0
	for _, m := range members {
		all += m.Load + even
		domains[m.Domain] += m.Load + even
	}
	own := self.Load + even
	atHome := domains[self.Domain]
	if all <= 0 || atHome <= 0 {
		return 1, 1
	}
	typical := all / float64(len(domains))
	near = nearWeight * own / (nearWeight*atHome + all - atHome)
	far = own / (nearWeight*typical + all - typical)
	return min(near, 1), min(far, 1)
}
