package runner

import (
	"testing"
	"time"
)

// TestGatewayRelaysWhileCutOff has a daemon that is cut off from the upstreams serve a
// request through another one, and leave itself out of what the directory names.
func TestGatewayRelaysWhileCutOff(t *testing.T) {
	s := newLimitEnv(t)
	s.startEntries(2)
	first, second := s.entries[0], s.entries[1]
	first.reach.SetCut(true)
	before := second.forwarder.Arrived()
	s.call(first, "relayed")
	if n := second.forwarder.Arrived() - before; n != 1 {
		t.Errorf("got: %d requests at the other entry want: 1", n)
	}
	for start := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		list, _ := second.resolve("h.example", "a")
		if len(list) == 1 && list[0] == second.process.Callers() {
			break
		}
		if time.Since(start) > 10*time.Second {
			t.Fatalf("got: %v want: the other entry alone", list)
		}
	}
	if !first.ready() {
		t.Error("got: not ready want: ready, since it serves")
	}
}
