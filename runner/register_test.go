package runner

import (
	"context"
	"testing"
	"time"
)

// awaitRegistered waits until the store lists the entry, and then for any further
// writes.
func (s *gatewayEnv) awaitRegistered(g *testGateway) {
	s.t.Helper()
	for start := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		list, err := g.store.Registered(ctx)
		cancel()
		if err == nil && len(list) == 1 {
			break
		}
		if time.Since(start) > 10*time.Second {
			s.t.Fatalf("got: %v, %v want: the entry in the list", list, err)
		}
	}
	time.Sleep(registerDelay + 2*registerInterval)
}

// TestRegisterOnce restarts an entry at the same addresses, which must write
// nothing because the list already has its record, and then at other addresses,
// which must write the record again.
func TestRegisterOnce(t *testing.T) {
	s := newGatewayEnv(t, time.Millisecond)
	text := s.settings("e1", "1s")
	var writes []int
	for _, settings := range []string{text, text, s.settings("e1", "1s")} {
		g := s.run(settings)
		s.awaitRegistered(g)
		writes = append(writes, s.store.Writes())
		g.stop()
		if err := <-g.done; err != nil {
			t.Error(err)
		}
	}
	if writes[0] == 0 || writes[1] != writes[0] || writes[2] == writes[1] {
		t.Errorf("total writes after each start: got: %v want: some, the same, more", writes)
	}
}
