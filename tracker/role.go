package tracker

import (
	"cmp"
	"slices"

	"poplarwind/announcer"
)

// fanout bounds the entries of a failure domain that one entry sends updates to.
// The entries of a domain form a tree, so that no entry's load grows with the
// domain and an update takes two hops through 270 entries.
const fanout = 16

// Role is an entry's role in disseminating the contents of the store.
type Role struct {
	// Watch reports whether this entry watches the store.
	Watch bool
	// Rank is the position of the entry in its failure domain, 0 for the domain's
	// head, and Size the number of entries of the domain.
	Rank, Size int
	// Recipients lists the entries to send updates to.
	Recipients []announcer.Member
	// Deputed lists the entries to send updates to when the entry substitutes for
	// the head of its domain.
	Deputed []announcer.Member
	// Readers lists the entries of the domain, except this one, that read the store
	// if they receive no updates.
	Readers []announcer.Member
}

// readersPerDomain is the number of entries of a failure domain, including its
// head, that read the store if they receive no updates. The others query them.
const readersPerDomain = 3

// RoleOf returns the role of the entry named self among the live members. The
// members of each failure domain are in order of capacity, the highest first, and
// then in that of live; the first is the head of its domain. The head of the
// highest capacity watches the store and sends updates to the other heads, so that
// an update is sent to each other domain only once. Each head passes them on in its
// own domain.
func RoleOf(self string, live []announcer.Member) Role {
	own := slices.IndexFunc(live, func(m announcer.Member) bool { return m.Name == self })
	if own < 0 {
		return Role{}
	}
	domain := domainOf(live, live[own].Domain)
	rank := slices.IndexFunc(domain, func(m *announcer.Member) bool { return m.Name == self })
	r := Role{Rank: rank, Size: len(domain), Recipients: children(domain, rank)}
	if rank == 0 {
		if heads := headsOf(live); heads[0].Name == self {
			r.Watch = true
			r.Recipients = appendMembers(r.Recipients, heads[1:])
		}
	}
	for _, m := range append(children(domain, 0), r.Recipients...) {
		if m.Name != self && !slices.ContainsFunc(r.Deputed, func(d announcer.Member) bool { return d.Name == m.Name }) {
			r.Deputed = append(r.Deputed, m)
		}
	}
	for _, m := range domain[:min(readersPerDomain, len(domain))] {
		if m.Name != self {
			r.Readers = append(r.Readers, *m)
		}
	}
	return r
}

// byCapacity orders members by capacity, the highest first.
func byCapacity(a, b *announcer.Member) int { return cmp.Compare(b.Capacity, a.Capacity) }

// domainOf returns the members of a failure domain in order of capacity.
func domainOf(live []announcer.Member, domain string) []*announcer.Member {
	var out []*announcer.Member
	for i := range live {
		if live[i].Domain == domain {
			out = append(out, &live[i])
		}
	}
	slices.SortStableFunc(out, byCapacity)
	return out
}

// headsOf returns the heads of all failure domains in order of capacity.
func headsOf(live []announcer.Member) []*announcer.Member {
	var heads []*announcer.Member
	for i := range live {
		m := &live[i]
		k := slices.IndexFunc(heads, func(h *announcer.Member) bool { return h.Domain == m.Domain })
		switch {
		case k < 0:
			heads = append(heads, m)
		case byCapacity(m, heads[k]) < 0:
			heads[k] = m
		}
	}
	slices.SortStableFunc(heads, byCapacity)
	return heads
}

// children returns the members that the one at a position of the domain's tree sends
// updates to.
func children(domain []*announcer.Member, position int) []announcer.Member {
	first := min(position*fanout+1, len(domain))
	return appendMembers(nil, domain[first:min(first+fanout, len(domain))])
}

func appendMembers(dst []announcer.Member, members []*announcer.Member) []announcer.Member {
	for _, m := range members {
		dst = append(dst, *m)
	}
	return dst
}
