package resolver

import "poplarwind/announcer"

const (
	// sameDomainWeight is the ratio of the load probes that an entry sends to an
	// upstream of its own failure domain, to which it sends most requests, to
	// those that it sends to an upstream of another.
	sameDomainWeight = 6
	// baseLoadFraction is the fraction of the average load that is added to the
	// load of each entry, so that an entry whose load starts to rise has a quota
	// of probes already. minBaseLoad, in requests per second, is added too, so
	// that there is a quota where there is no load at all.
	baseLoadFraction = 0.25
	minBaseLoad      = 0.1
)

// ProbeQuota returns the fractions of all load probes of one upstream that self
// may send: local for an upstream of its own failure domain, remote for one of
// another. The quota of an entry is weighted by its load, so that an entry
// whose failure domain has most of the callers does not exhaust its quota while
// others leave theirs unused. For one upstream, the fractions of all members
// add up to 1 if failure domains have equal loads.
func ProbeQuota(self announcer.Member, members []announcer.Member) (local, remote float64) {
	total := 0.0
	domains := map[string]float64{self.Domain: 0}
	for _, m := range members {
		total += m.Load
	}
	base := minBaseLoad
	if n := len(members); n > 0 {
		base += baseLoadFraction * total / float64(n)
	}
	sum := 0.0
	for _, m := range members {
		sum += m.Load + base
		domains[m.Domain] += m.Load + base
	}
	own := self.Load + base
	ownDomain := domains[self.Domain]
	if sum <= 0 || ownDomain <= 0 {
		return 1, 1
	}
	meanDomain := sum / float64(len(domains))
	local = sameDomainWeight * own / (sameDomainWeight*ownDomain + sum - ownDomain)
	remote = own / (sameDomainWeight*meanDomain + sum - meanDomain)
	return min(local, 1), min(remote, 1)
}
