package runner

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"poplarwind/announcer"
	"poplarwind/platform"
)

// awaitRegistered waits until the store lists the entry, and then for any further
// writes.
func (s *gatewayEnv) awaitRegistered(g *testGateway) {
	s.t.Helper()
	for start := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		list, err := g.store.Registered(ctx, true)
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

// TestRegistrationAfterStoreRestored restores the store from a backup without the list of
// entries: each entry must register again, since those that start with seeds that are down
// find the others by it.
func TestRegistrationAfterStoreRestored(t *testing.T) {
	s := newGatewayEnv(t, time.Millisecond)
	backup := s.store.Copy()
	var entries []*testGateway
	for i := range 3 {
		entries = append(entries, s.start(fmt.Sprint("e", i), "1s"))
	}
	client := platform.NewStore(s.addr, slog.New(slog.DiscardHandler), nil, nil)
	await := func() {
		t.Helper()
		for start := time.Now(); ; time.Sleep(50 * time.Millisecond) {
			list, err := client.Registered(withDeadline(t), true)
			if err == nil && len(list) == len(entries) {
				return
			}
			if time.Since(start) > settleTimeout {
				t.Fatalf("got: %d entries, %v want: %d", len(list), err, len(entries))
			}
		}
	}
	await()
	s.store.Restore(backup)
	if list, err := client.Registered(withDeadline(t), true); err != nil || len(list) != 0 {
		t.Fatalf("got: %v, %v want: no entry in the backup", names(list), err)
	}
	await()
	for _, e := range entries {
		e.stop()
		if err := <-e.done; err != nil {
			t.Error(err)
		}
	}
}

func names(list []announcer.Member) []string {
	var out []string
	for _, m := range list {
		out = append(out, m.Name)
	}
	return out
}

// withDeadline returns a context that ends after a second.
func withDeadline(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	t.Cleanup(cancel)
	return ctx
}
