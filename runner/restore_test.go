package runner

import (
	"slices"
	"testing"
	"time"
)

// upstreamsInUse returns the IDs of the upstreams that an entry sends requests to.
func (g *testGateway) upstreamsInUse() []string {
	var out []string
	for _, s := range g.forwarder.Status() {
		for _, u := range s.Upstreams {
			if !u.Draining {
				out = append(out, u.ID)
			}
		}
	}
	slices.Sort(out)
	return out
}

// awaitUpstreams waits until an entry uses the given upstreams.
func (g *testGateway) awaitUpstreams(t *testing.T, want ...string) {
	t.Helper()
	for start := time.Now(); !slices.Equal(g.upstreamsInUse(), want); time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > 5*time.Second {
			t.Fatalf("got: %v want: %v", g.upstreamsInUse(), want)
		}
	}
}

// TestDepartedUpstreamAfterStoreRestored restores the store from a backup in which an
// upstream is ready that has drained since, another is listed that was removed, and one
// that was added is absent. The first two must not be used again, and the third stays.
func TestDepartedUpstreamAfterStoreRestored(t *testing.T) {
	s := newGatewayEnv(t, time.Millisecond)
	s.store.PutUpstream("i-drains", "jobs", "127.0.0.1:9", "a")
	s.store.PutUpstream("i-gone", "jobs", "127.0.0.1:9", "a")
	g, other := s.start("e1", "1s"), s.start("e2", "1s")
	backup := s.store.Copy()
	g.awaitUpstreams(t, "i-1", "i-drains", "i-gone")
	s.store.DrainUpstream("i-drains", "jobs", "127.0.0.1:9", "a")
	s.store.Remove("servers", "i-gone")
	s.store.PutUpstream("i-new", "jobs", "127.0.0.1:9", "a")
	for _, e := range []*testGateway{g, other} {
		e.awaitUpstreams(t, "i-1", "i-new")
	}
	s.store.Restore(backup)
	for start := time.Now(); time.Since(start) < time.Second; time.Sleep(10 * time.Millisecond) {
		for _, e := range []*testGateway{g, other} {
			if got, want := e.upstreamsInUse(), []string{"i-1", "i-new"}; !slices.Equal(got, want) {
				t.Fatalf("got: %v want: %v", got, want)
			}
		}
	}
	// What the upstreams wrote is written again.
	s.store.DrainUpstream("i-drains", "jobs", "127.0.0.1:9", "a")
	s.store.Remove("servers", "i-gone")
	s.store.PutUpstream("i-new", "jobs", "127.0.0.1:9", "a")
	time.Sleep(3 * time.Second)
	for _, e := range []*testGateway{g, other} {
		e.awaitUpstreams(t, "i-1", "i-new")
		e.stop()
		if err := <-e.done; err != nil {
			t.Error(err)
		}
	}
}
