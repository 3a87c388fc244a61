package forwarder

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"poplarwind/pipeliner"
)

// TestProbeTimeoutEjection checks the ejection of upstreams that do not respond
// to load probes. One that does not respond while others do is ejected. If none
// responds, the likely cause is a delay or a lost connection of the entry: none
// is ejected, and all are used as soon as they respond again.
func TestProbeTimeoutEjection(t *testing.T) {
	for _, tc := range []struct {
		unresponsive, ejected int
	}{{1, 1}, {3, 0}} {
		t.Run(fmt.Sprint(tc.unresponsive), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tb := &testbed{runs: make(map[string]int), unresponsive: make(map[string]bool)}
				f := tb.newEntry(t, parallelProbes)
				for i := range tc.unresponsive {
					tb.unresponsive[fmt.Sprint("u", i)] = true
				}
				for i := range 6 {
					send(f, "/read/1", fmt.Sprint("r", i))
					time.Sleep(50 * time.Millisecond)
				}
				time.Sleep(4 * probeTimeout)
				got := 0
				for _, u := range f.Status()[0].Upstreams {
					if u.Ejected {
						got++
					}
				}
				if got != tc.ejected {
					t.Errorf("got: %d upstreams ejected want: %d", got, tc.ejected)
				}
				tb.mu.Lock()
				clear(tb.unresponsive)
				tb.mu.Unlock()
				if resp := send(f, "/read/1", "last"); resp.StatusCode() != 200 {
					t.Errorf("got: status %d want: 200", resp.StatusCode())
				}
				time.Sleep(5 * time.Second)
				tb.close()
				time.Sleep(2 * time.Minute)
			})
		})
	}
}

// TestProbeOutlastsRequest has the response to a load probe arrive after the request has ended and its
// memory is used for the next one on the connection: the log line about what the upstream states must
// still name the request that the probe was sent for.
func TestProbeOutlastsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := &testbed{runs: make(map[string]int), load: map[string]int{"u0": 1}, probeTimes: map[string]time.Duration{"u1": probeTimeout / 2}, pausing: map[string]bool{"u1": true}}
		f := tb.newEntry(t, 2)
		var out bytes.Buffer
		f.options.Log = slog.New(slog.NewJSONHandler(&out, nil))
		var req fasthttp.Request
		req.SetRequestURI("/read/1")
		req.Header.SetHost("h")
		req.Header.Set("Id", "first")
		c := pipeliner.Call{Request: &req, Response: fasthttp.AcquireResponse(), ArrivedAt: time.Now()}
		f.Handle(context.Background(), &c)
		copy(req.Header.Peek("Id"), "other")
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if lines := out.String(); !strings.Contains(lines, `"upstream":"u1"`) || !strings.Contains(lines, `"request":"first"`) || strings.Contains(lines, "other") {
			t.Errorf("got: %s want: a line about u1 and the first request", lines)
		}
		tb.close()
		time.Sleep(2 * time.Minute)
	})
}
