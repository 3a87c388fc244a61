package runner

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"poplarwind/internal/faker"
	"poplarwind/relayer"
)

// slotsInForce returns the slots of a service according to the settings in force at
// each entry, 0 without settings.
func (b *testbed) slotsInForce(path string) []int {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []int
	for _, e := range b.entries {
		slots := 0
		if s := e.runner.cache.Snapshot().Service(path); s != nil {
			slots = s.Slots()
		}
		out = append(out, slots)
	}
	return out
}

// awaitSlots waits until all entries have settings with the given slots in force. No
// entry may have any with fewer meanwhile, but those that have just started.
func (b *testbed) awaitSlots(path string, want, least int) {
	b.t.Helper()
	eventually(b.t, fmt.Sprintf("%d slots in force at all entries", want), propagationLimit, func() bool {
		all := true
		for _, got := range b.slotsInForce(path) {
			if got != 0 && got < least {
				b.t.Fatalf("settings reverted: got: %d slots want: at least %d", got, least)
			}
			all = all && got == want
		}
		return all
	})
}

// TestSettingsAfterStoreRestored restores the store from a backup that lacks its last
// writes. The settings in force must stay, also at entries that start later, and later
// changes must come into force everywhere, although they get versions that were given
// out before.
func TestSettingsAfterStoreRestored(t *testing.T) {
	for _, lost := range []int{0, 1, 2, 4} {
		t.Run(fmt.Sprint(lost, " lost"), func(t *testing.T) {
			b := newTestbed(t)
			b.applySettings("/t/other", doc(1))
			for slots := range 3 {
				b.applySettings("/t/s", doc(1+slots))
			}
			for i := range 19 {
				b.startEntry(fmt.Sprintf("e%02d", i), string(rune('a'+i%3)))
			}
			defer b.stopEntries()
			b.awaitSlots("/t/s", 3, 1)
			b.platform.Restore(lost)
			b.startEntry("later", "b")
			b.awaitSlots("/t/s", 3, 3-lost)
			for slots := 4; slots < 8; slots++ {
				b.applySettings("/t/s", doc(slots))
				b.awaitSlots("/t/s", slots, 3)
			}
		})
	}
}

// sendKeyed sends a call with an idempotency key to an entry and returns its status and
// whether the entry states that it ran.
func sendKeyed(t *testing.T, entry, id string) (status int, ran string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod("POST")
	req.SetRequestURI("http://" + entry + "/t/s/orders")
	req.Header.Set("Request-Id", id)
	req.Header.Set(relayer.HeaderKey, id)
	req.Header.Set(relayer.HeaderDeadline, "5s")
	if err := fasthttp.DoTimeout(req, resp, 6*time.Second); err != nil {
		t.Errorf("%s: %v", id, err)
	}
	return resp.StatusCode(), string(resp.Header.Peek(relayer.HeaderRan))
}

// TestCallsRunOnceAfterStoreRestored restores the store from a backup that lacks the claims
// and the outcomes of calls, which callers then repeat at another entry. Each must run
// once, and the outcome be known at the other entry.
func TestCallsRunOnceAfterStoreRestored(t *testing.T) {
	b := newTestbed(t)
	b.applySettings("/t/s", ordersSettings)
	server := &faker.Server{Slots: 3, Work: 3 * time.Millisecond}
	b.startServer("s0", "/t/s", server)
	var entries []*localEntry
	for i := range 4 {
		entries = append(entries, b.startEntry(fmt.Sprintf("e%d", i), string(rune('a'+i%3))))
	}
	defer b.stopEntries()
	for _, e := range entries {
		b.awaitReady(e.Ops)
	}
	const calls = 20
	for i := range calls {
		if status, _ := sendKeyed(t, entries[i%4].Callers, fmt.Sprint("k", i)); status != fasthttp.StatusOK {
			t.Fatalf("call %d: got: %d want: 200", i, status)
		}
	}
	time.Sleep(200 * time.Millisecond)
	b.platform.Restore(2*calls - 5)
	var wg sync.WaitGroup
	for i := range calls {
		wg.Go(func() {
			if status, ran := sendKeyed(t, entries[(i+1)%4].Callers, fmt.Sprint("k", i)); status != fasthttp.StatusOK {
				t.Errorf("call %d again: got: %d, ran %q want: the recorded response", i, status, ran)
			}
		})
	}
	wg.Wait()
	for i := range calls {
		if got := server.Runs(fmt.Sprint("k", i)); got != 1 {
			t.Errorf("call %d: got: %d runs want: 1", i, got)
		}
	}
}
