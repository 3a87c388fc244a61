package runner

import (
	"context"
	"testing"
	"time"
)

// enrolled waits until the store lists the entry, and until nothing more is
// written for a while.
func (s *site) enrolled(g *running) {
	s.t.Helper()
	for begun := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		list, err := g.store.Enrolled(ctx)
		cancel()
		if err == nil && len(list) == 1 {
			break
		}
		if time.Since(begun) > 10*time.Second {
			s.t.Fatalf("got: %v, %v want: the entry in the list", list, err)
		}
	}
	time.Sleep(2 * enrollAgain)
}

// TestEnrollOnce starts an entry, and another process of it: the second finds
// itself listed and writes nothing. One at other addresses does.
func TestEnrollOnce(t *testing.T) {
	s := newSite(t, time.Millisecond)
	text := s.settings("e1", "1s")
	var writes []int
	for _, settings := range []string{text, text, s.settings("e1", "1s")} {
		g := s.run(settings)
		s.enrolled(g)
		writes = append(writes, s.store.Writes())
		g.stop()
		if err := <-g.done; err != nil {
			t.Error(err)
		}
	}
	if writes[0] == 0 || writes[1] != writes[0] || writes[2] == writes[1] {
		t.Errorf("writes so far: got: %v want: some, no more, more", writes)
	}
}
