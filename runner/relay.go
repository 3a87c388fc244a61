package runner

import (
	"math/rand/v2"
	"slices"

	"poplarwind/announcer"
)

// relays returns the addresses of the entries, other than the one named self, in random
// order.
func relays(self string, entries []announcer.Member) []string {
	out := make([]string, 0, len(entries))
	for _, m := range entries {
		if m.Name != self {
			out = append(out, m.Callers)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// relays returns the addresses of the entries to which this one may relay requests for a
// service while it is cut off from the upstreams: those that are assigned to it. Requests with the keys
// of customers are relayed only to entries that check them.
func (g *Gateway) relays(service string) []string {
	entries := g.membership().assignedAll(service)
	if t := g.forwarder.Table(); t != nil && t.HasCustomers() {
		entries = checkingKeys(entries)
	}
	return relays(g.process.Name(), entries)
}

// checkingKeys returns the entries that check the keys of customers. The slice is new.
func checkingKeys(entries []announcer.Member) []announcer.Member {
	return slices.DeleteFunc(slices.Clone(entries), func(m announcer.Member) bool { return m.Level < announcer.LevelKeys })
}
