package tracker

import "poplarwind/announcer"

// Role is an entry's role in disseminating the contents of the store.
type Role struct {
	// Watch reports whether this entry watches the store.
	Watch bool
	// Recipients lists the entries to send updates to.
	Recipients []announcer.Member
}

// RoleOf returns the role of the entry named self among the live members,
// which are in order of name. The first entry of each failure domain is its
// head. The first head watches the store and sends updates to the other heads,
// and each head sends them to its own domain, so that an update is sent to
// each other domain only once.
func RoleOf(self string, live []announcer.Member) Role {
	var heads []announcer.Member
	byDomain := make(map[string][]announcer.Member)
	for _, m := range live {
		if len(byDomain[m.Domain]) == 0 {
			heads = append(heads, m)
		}
		byDomain[m.Domain] = append(byDomain[m.Domain], m)
	}
	var r Role
	for i, h := range heads {
		if h.Name != self {
			continue
		}
		r.Recipients = append(r.Recipients, byDomain[h.Domain][1:]...)
		if i == 0 {
			r.Watch = true
			r.Recipients = append(r.Recipients, heads[1:]...)
		}
	}
	return r
}
