package runner

import (
	"math/rand/v2"

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
// service while it is cut off from the upstreams: those that are assigned to it.
func (g *Gateway) relays(service string) []string {
	return relays(g.process.Name(), g.membership().assignedAll(service))
}
