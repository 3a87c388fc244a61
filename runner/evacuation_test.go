package runner

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"poplarwind/parser"
	"poplarwind/platform/imitator"
	"poplarwind/tracker"
)

// evacuationLimit is the time within which an evacuation must be in force.
const evacuationLimit = 5 * time.Second

// evacuationEnv is a gatewayEnv with an upstream in failure domain b that counts its requests beside the one
// in failure domain a.
type evacuationEnv struct {
	*limitEnv
}

func (s *evacuationEnv) settings(name string) string {
	return strings.Replace(s.settingsIn("b", name, "1s"), `"probes":1000`, `"probes":1000,"evacuate":"5s"`, 1)
}

// startEntry starts an entry and waits until it is ready.
func (s *evacuationEnv) startEntry(name string) *testGateway {
	g := s.run(s.settings(name))
	s.entries = append(s.entries, g)
	s.t.Cleanup(func() {
		g.stop()
		if err := <-g.done; err != nil {
			s.t.Error(err)
		}
	})
	return g
}

// since returns the number of requests to the upstream of the domain since a time.
func (s *evacuationEnv) since(t time.Time) int {
	list := s.limited.Arrivals()
	return len(list) - slices.IndexFunc(append(list, t.Add(time.Hour)), func(at time.Time) bool { return at.After(t) })
}

// awaitUse waits until the upstream of the domain gets requests again.
func (s *evacuationEnv) awaitUse(since time.Time) {
	s.t.Helper()
	for s.since(since) == 0 {
		s.load(100*time.Millisecond, 20*time.Millisecond)
		if time.Since(since) > evacuationLimit {
			s.t.Fatalf("got: no request in %v after the end of the evacuation want: some", evacuationLimit)
		}
	}
}

// TestEvacuation evacuates a failure domain: its upstream gets no requests from a time within the limit until
// the evacuation ends, nor from an entry that starts meanwhile, nor while the store is away when it ends, and
// all requests are served elsewhere.
func TestEvacuation(t *testing.T) {
	s := &evacuationEnv{limitEnv: &limitEnv{gatewayEnv: newGatewayEnv(t, time.Millisecond)}}
	s.addUpstream("i-b", "b", s.limited.Handler("i-b", time.Millisecond))
	s.startEntry("e0")
	s.startEntry("e1")
	for _, g := range s.entries {
		g.awaitUpstreams(t, "i-1", "i-b")
	}
	s.awaitUse(time.Now())
	put := time.Now()
	s.store.Put("evacuations", "b", `{"any":1}`)
	for s.load(100*time.Millisecond, 20*time.Millisecond); !s.evacuated(); s.load(100*time.Millisecond, 20*time.Millisecond) {
		if time.Since(put) > evacuationLimit {
			t.Fatalf("got: not in force in %v want: in force", evacuationLimit)
		}
	}
	t.Logf("in force at all entries after %v", time.Since(put))
	start := time.Now()
	s.startEntry("e2")
	s.load(time.Second, 20*time.Millisecond)
	if text := get(t, "http://"+s.entries[0].process.Ops()+"/metrics", 200); !strings.Contains(text, "poplarwind_domains_evacuated 1") {
		t.Errorf("got: %.300s want: the number of evacuated domains", text)
	}
	s.store.SetFaults(imitator.Faults{Status: fasthttp.StatusServiceUnavailable})
	// A watch that has begun still gets the removal.
	s.load(3*time.Second, 20*time.Millisecond)
	s.store.Remove("evacuations", "b")
	s.load(2*time.Second, 20*time.Millisecond)
	if n := s.since(start); n > 0 {
		t.Errorf("got: %d requests during the evacuation want: none", n)
	}
	s.store.SetFaults(imitator.Faults{})
	s.awaitUse(time.Now())
	if s.served == 0 {
		t.Error("got: no requests served want: all")
	}
}

// TestReadsOfEvacuations counts the reads of the store: entries without the setting must not read evacuations, and
// the watch of those with it must cost less than half of the calls that the watch of another kind costs.
func TestReadsOfEvacuations(t *testing.T) {
	s := &evacuationEnv{limitEnv: &limitEnv{gatewayEnv: newGatewayEnv(t, time.Millisecond)}}
	plain := s.start("e0", "1s")
	time.Sleep(3 * time.Second)
	if n := s.store.Reads("evacuations"); n > 0 {
		t.Errorf("got: %d reads without the setting want: none", n)
	}
	plain.stop()
	if err := <-plain.done; err != nil {
		t.Error(err)
	}
	s.startEntry("e1")
	s.startEntry("e2")
	time.Sleep(3 * time.Second)
	evacuations, servers := s.store.Reads("evacuations"), s.store.Reads("servers")
	time.Sleep(7 * time.Second)
	evacuations, servers = s.store.Reads("evacuations")-evacuations, s.store.Reads("servers")-servers
	if evacuations == 0 || 2*evacuations > servers {
		t.Errorf("got: %d reads of evacuations, %d of upstreams in 7 s want: at most half", evacuations, servers)
	}
	t.Logf("%d reads of evacuations, %d of upstreams in 7 s", evacuations, servers)
}

// evacuated reports whether the evacuation is in force at all entries.
func (s *evacuationEnv) evacuated() bool {
	for _, g := range s.entries {
		if !slices.Equal(g.forwarder.Evacuated(), []string{"b"}) {
			return false
		}
	}
	return true
}

// TestStartWithoutEvacuations starts an entry that can't read the evacuations: it is not ready and rejects
// requests for 3 s, and serves then. Without the setting it waits for nothing.
func TestStartWithoutEvacuations(t *testing.T) {
	settings := func(evacuate string) *parser.Process {
		p, err := parser.ParseProcess("test", fmt.Appendf(nil, `{"name":"e1","domain":"a","callers":"127.0.0.1:0","peers":"127.0.0.1:0","ops":"127.0.0.1:0","platform":"127.0.0.1:1","secret":"secret-of-the-tests",
			"gateway":{"resolve":"127.0.0.1:0","ready":"127.0.0.1:0","grace":"1s","probes":60%s}}`, evacuate))
		if err != nil {
			t.Fatal(err)
		}
		return p
	}
	for evacuate, wait := range map[string]bool{`,"evacuate":"5s"`: true, `,"evacuate":"0s"`: false, "": false} {
		g := newIdleGatewayOf(t, settings(evacuate))
		if _, err := g.state.Apply(time.Now(), tracker.Delta{Kind: tracker.Upstreams, AsOf: 1, Snapshot: true}); err != nil {
			t.Fatal(err)
		}
		due := g.applyEvacuations(g.start.Add(evacuationWait - time.Millisecond))
		if g.forwarder.EvacuationsKnown() == wait || due.IsZero() == wait {
			t.Errorf("%s: got: known %v, due %v before the limit want: %v", evacuate, g.forwarder.EvacuationsKnown(), due, !wait)
		}
		due = g.applyEvacuations(g.start.Add(evacuationWait))
		if !g.forwarder.EvacuationsKnown() || !due.IsZero() || len(g.forwarder.Evacuated()) > 0 {
			t.Errorf("%s: got: known %v, due %v want: served without them", evacuate, g.forwarder.EvacuationsKnown(), due)
		}
		if due = g.applyEvacuations(g.start.Add(2 * evacuationWait)); !due.IsZero() {
			t.Errorf("%s: got: due %v want: nothing to wait for", evacuate, due)
		}
	}
}
