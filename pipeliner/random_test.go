package pipeliner

import (
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	_ "poplarwind/internal/seeder"
)

// TestRandomPipelines sends random pipelines in random pieces, drains at a random
// time and sometimes leaves. Responses come in the order of the requests, each to
// its own request; each request runs at most once, and no order runs beside
// another call of its connection. Without a drain and if the caller stays, all are
// answered.
func TestRandomPipelines(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(rt, "requests")
		var text strings.Builder
		for i := range n {
			kind := rapid.SampledFrom([]string{"safe", "safe", "safe", "order"}).Draw(rt, "kind")
			work := rapid.SampledFrom([]string{"0", "1", "7", "40", "300"}).Draw(rt, "work")
			text.WriteString(request([]string{kind, work, strconv.Itoa(i)}))
		}
		pieces := rapid.SliceOfN(rapid.IntRange(1, 300), 1, 20).Draw(rt, "pieces")
		gaps := rapid.SliceOfN(rapid.SampledFrom([]int{0, 0, 1, 30}), 1, 10).Draw(rt, "gaps")
		drainAt := rapid.SampledFrom([]int{-1, -1, 0, 5, 50, 400}).Draw(rt, "drain")
		leaveAt := rapid.SampledFrom([]int{-1, -1, 3, 60, 500}).Draw(rt, "leave")
		synctest.Test(t, func(*testing.T) {
			h := newTestHandler()
			s := newTestServer(h)
			caller, wg := h.connect(s)
			if drainAt >= 0 {
				time.AfterFunc(time.Duration(drainAt)*time.Millisecond, s.Drain)
			}
			if leaveAt >= 0 {
				time.AfterFunc(time.Duration(leaveAt)*time.Millisecond, func() { _ = caller.Close() })
			}
			wg.Go(func() { writePieces(caller, text.String(), pieces, gaps) })
			wg.Wait()
			synctest.Wait()
			checkPipeline(rt, h, n, drainAt < 0 && leaveAt < 0)
			if s.Pending() != 0 {
				rt.Errorf("got: %d pending want: 0", s.Pending())
			}
			_ = caller.Close()
			time.Sleep(time.Minute)
		})
	})
}

// writePieces writes text in pieces of the given sizes with the given gaps in ms,
// both used in turn.
func writePieces(c net.Conn, text string, sizes, gaps []int) {
	for i := 0; len(text) > 0; i++ {
		n := min(sizes[i%len(sizes)], len(text))
		if _, err := io.WriteString(c, text[:n]); err != nil {
			return
		}
		text = text[n:]
		time.Sleep(time.Duration(gaps[i%len(gaps)]) * time.Millisecond)
	}
}

// checkPipeline checks the events of a pipeline of n requests with the IDs 0 to
// n-1.
func checkPipeline(t *rapid.T, h *testHandler, n int, all bool) {
	answered := 0
	for _, e := range h.events {
		f := strings.Fields(e)
		if f[1] != "answer" {
			continue
		}
		if f[2] != "200" || f[3] != strconv.Itoa(answered) {
			t.Errorf("got: %q want: the response to request %d", e, answered)
		}
		answered++
	}
	if all && answered != n {
		t.Errorf("got: %d responses want: %d", answered, n)
	}
	for id, runs := range h.runs {
		if runs != 1 {
			t.Errorf("request %s: got: %d runs want: 1", id, runs)
		}
	}
	if h.overlaps > 0 {
		t.Errorf("got: %d calls beside an order want: 0", h.overlaps)
	}
}
