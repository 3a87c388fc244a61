package runner

import (
	"testing"
	"time"

	"poplarwind/announcer"
	"poplarwind/platform/imitator"
)

// TestRelayWithKey has an entry that is cut off relay a request with a key through another one, which must
// know the customer. An entry of a build that does not know customers must get no such request: it would
// pass the key on to an upstream.
func TestRelayWithKey(t *testing.T) {
	s := newCustomerEnv(t)
	s.store.PutCustomers(4, "h.example", "/a/", "jobs", imitator.Customer{Name: "acme", Keys: []string{"key-acme"}})
	a, b := s.start("e1", "1s"), s.start("e2", "1s")
	for start := time.Now(); len(a.relays("jobs")) == 0; time.Sleep(20 * time.Millisecond) {
		if time.Since(start) > 10*time.Second {
			t.Fatal("got: no entry to relay to want: the other one")
		}
	}
	a.reach.SetCut(true)
	before := b.forwarder.Arrived()
	newKeyCaller(t, a.process.Callers()).await("relayed", "key-acme", 200, 5*time.Second)
	if got := b.forwarder.Arrived() - before; got == 0 {
		t.Error("got: no request at the other entry want: one")
	}
	if keys, others := s.upstream.Strays("acme"); keys != 0 || others != 0 {
		t.Errorf("got: %d requests with a key, %d of another customer want: 0, 0", keys, others)
	}
	list := checkingKeys([]announcer.Member{{Name: "older", Level: 1}, {Name: "oldest"}, {Name: "this", Level: announcer.Level}})
	if len(list) != 1 || list[0].Name != "this" {
		t.Errorf("got: %+v want: the entry that checks keys", list)
	}
	for _, g := range []*testGateway{a, b} {
		g.stop()
		if err := <-g.done; err != nil {
			t.Errorf("got: %v want: a graceful stop", err)
		}
	}
}
