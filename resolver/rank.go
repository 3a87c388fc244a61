package resolver

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"poplarwind/announcer"
)

// score returns the rendezvous hash of a key and a name.
func score(key, name string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// Rank orders live entries for a service by rendezvous hashing. The first want
// entries, or all if there are fewer, form the service's subset, which covers
// as many failure domains as possible; subsetSize is their number. The others
// follow as fallbacks. The returned slice is new.
func Rank(service string, live []announcer.Member, want int) (ranked []announcer.Member, subsetSize int) {
	ranked = slices.Clone(live)
	slices.SortFunc(ranked, func(a, b announcer.Member) int {
		return cmp.Or(
			cmp.Compare(score(service, b.Name), score(service, a.Name)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	subsetSize = min(want, len(ranked))
	used := make(map[string]int)
	for i := range subsetSize {
		j := leastUsed(ranked[i:], used)
		m := ranked[i+j]
		ranked = slices.Insert(slices.Delete(ranked, i+j, i+j+1), i, m)
		used[m.Domain]++
	}
	return ranked, subsetSize
}

// leastUsed returns the index of the first member whose failure domain has the
// lowest count in used.
func leastUsed(members []announcer.Member, used map[string]int) int {
	best := 0
	for i, m := range members {
		if used[m.Domain] < used[members[best].Domain] {
			best = i
		}
	}
	return best
}

// SubsetSize returns the size of a service's subset: at least minEntries, and
// enough entries for its calls per second if one entry can serve capacity of
// them. If capacity is 0 or less, it returns minEntries.
func SubsetSize(minEntries int, calls, capacity float64) int {
	if capacity <= 0 {
		return minEntries
	}
	return max(minEntries, int(math.Ceil(calls/capacity)))
}

// Owner returns the name of the member with the highest rank for a server, or ""
// if there are no members. Each server has one owner, and servers are evenly
// distributed over owners.
func Owner(server string, members []announcer.Member) string {
	best, bestScore := "", uint64(0)
	for _, m := range members {
		if s := score(server, m.Name); best == "" || s > bestScore || s == bestScore && m.Name < best {
			best, bestScore = m.Name, s
		}
	}
	return best
}
