package runner

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestOddRegistration has another writer store odd objects among those of each kind, before
// two entries start or afterwards. Then a new upstream registers: both entries must use it.
func TestOddRegistration(t *testing.T) {
	deep := strings.Repeat("[", 9999) + strings.Repeat("]", 9999)
	odd := map[string][]string{
		"nested list":   {deep},
		"nested object": {`{"service":"jobs","phase":"ready","x":` + deep[1:len(deep)-1] + `}`},
		"numbers and ports": {
			`{"service":"jobs","address":"127.0.0.1:1","zone":"a","capacity":1e400,"phase":"ready"}`,
			`{"service":"jobs","address":"127.0.0.1:1","zone":"a","capacity":99999999999999999999999,"phase":"ready"}`,
			`{"service":"jobs","address":"127.0.0.1:1","zone":"a","capacity":9223372036854775807,"phase":"ready"}`,
			`{"service":"jobs","address":"127.0.0.1:99999","zone":"a","capacity":3,"phase":"ready"}`,
			`{"service":"jobs","address":"127.0.0.1:-5","zone":"a","capacity":3,"phase":"ready"}`,
			`null`, `"odd"`, `7`,
		},
		"large values": large(24, func(text string) string { return `{"service":"jobs","x":"` + text + `"}` }),
		"large fields": large(4, func(text string) string {
			return `{"service":"jobs","address":"127.0.0.1:1","zone":"` + text + `","capacity":3,"phase":"draining"}`
		}),
		"long domain of an entry": {`{"name":"odd0","domain":"` + strings.Repeat("x", 200) + `","callers":"127.0.0.1:1","peers":"127.0.0.1:1","ops":"127.0.0.1:1"}`},
	}
	for _, kind := range []string{"servers", "entries", "config"} {
		for _, name := range slices.Sorted(maps.Keys(odd)) {
			for _, before := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/%s/before=%v", kind, name, before), func(t *testing.T) {
					// Lists of megabytes need a processor.
					if len(odd[name][0]) < 1<<19 {
						t.Parallel()
					}
					s := newLimitEnv(t)
					put := func() {
						for i, spec := range odd[name] {
							s.store.Put(kind, fmt.Sprint("odd", i), spec)
						}
					}
					if before {
						put()
					}
					s.startEntries(2)
					if !before {
						put()
					}
					s.addUpstream("i-new", "a", s.limited.Handler("i-new", time.Millisecond))
					s.awaitUse("i-new")
				})
			}
		}
	}
}

// large returns n objects with a text of about as many bytes as the store takes.
func large(n int, object func(text string) string) []string {
	return slices.Repeat([]string{object(strings.Repeat("x", 1<<20-200))}, n)
}

// awaitUse waits until each entry has an upstream.
func (s *limitEnv) awaitUse(id string) {
	s.t.Helper()
	for start := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		using := 0
		for i, g := range s.entries {
			s.call(g, fmt.Sprintf("r%d-%d", i, time.Now().UnixNano()))
			for _, service := range g.forwarder.Status() {
				for _, u := range service.Upstreams {
					if u.ID == id {
						using++
					}
				}
			}
		}
		if using == len(s.entries) {
			return
		}
		if time.Since(start) > settleTimeout {
			s.t.Fatalf("got: %s known to %d entries want: %d", id, using, len(s.entries))
		}
	}
}
