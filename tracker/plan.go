package tracker

import "poplarwind/announcer"

// Plan is an entry's part in spreading what the store holds.
type Plan struct {
	// Watch says that this entry watches the store.
	Watch bool
	// Tell are the entries to pass news on to.
	Tell []announcer.Member
}

// MakePlan returns the part of the entry named self among live members, which
// are in order of name. The first entry of each failure domain is its head;
// the first head watches and tells the other heads, and each head tells its
// own domain, so that news crosses between two domains once.
func MakePlan(self string, live []announcer.Member) Plan {
	var heads []announcer.Member
	byDomain := make(map[string][]announcer.Member)
	for _, m := range live {
		if len(byDomain[m.Domain]) == 0 {
			heads = append(heads, m)
		}
		byDomain[m.Domain] = append(byDomain[m.Domain], m)
	}
	var p Plan
	for i, h := range heads {
		if h.Name != self {
			continue
		}
		p.Tell = append(p.Tell, byDomain[h.Domain][1:]...)
		if i == 0 {
			p.Watch = true
			p.Tell = append(p.Tell, heads[1:]...)
		}
	}
	return p
}
