package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"poplarwind/pipeliner"
)

// TestMain writes a response first: fasthttp then starts the goroutine that keeps
// the date outside of any test's bubble.
func TestMain(m *testing.M) {
	var resp fasthttp.Response
	if err := resp.Write(bufio.NewWriter(io.Discard)); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestPipelineUnderFaults sends random pipelines through an entry to upstreams with
// random faults. Responses come in the order of the requests, each complete and to
// its own request; an order runs at most once and never after or before a
// rejection that states the opposite.
func TestPipelineUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := rapid.SliceOfN(rapid.SampledFrom(faults), 0, 10).Draw(rt, "plan")
		paths := rapid.SliceOfN(rapid.SampledFrom([]string{"/read/1", "/read/2", "/order/1", "/none"}), 1, 12).Draw(rt, "paths")
		gap := rapid.SampledFrom([]time.Duration{0, 0, time.Millisecond, 100 * time.Millisecond}).Draw(rt, "gap")
		synctest.Test(t, func(*testing.T) {
			tb := &testbed{runs: map[string]int{}, plan: plan}
			s := pipeliner.New(pipeliner.Options{
				Handler: tb.newEntry(t, 3), MaxHeader: 4 << 10, MaxBody: 1 << 20, MaxConns: 10,
				IdleTimeout: func() time.Duration { return 30 * time.Second }, Log: slog.New(slog.DiscardHandler),
			})
			caller, entry := net.Pipe()
			var wg sync.WaitGroup
			wg.Go(func() { s.ServeConn(entry) })
			wg.Go(func() { writePipeline(caller, paths, gap) })
			r := bufio.NewReader(caller)
			for i, path := range paths {
				var resp fasthttp.Response
				if err := resp.Read(r); err != nil {
					rt.Errorf("response %d: got: %v want: a response", i, err)
					break
				}
				id := fmt.Sprint("r", i)
				checkResponse(rt, tb, path, id, resp.StatusCode(), string(resp.Body()), string(resp.Header.Peek("Id")))
				if got := string(resp.Header.Peek("Id")); got != "" && got != id {
					rt.Errorf("response %d: got: one to %q want: to %q", i, got, id)
				}
			}
			_ = caller.Close()
			wg.Wait()
			// Wait for outstanding probes, which may still open connections.
			time.Sleep(5 * time.Second)
			tb.close()
			time.Sleep(2 * time.Minute)
		})
	})
}

// writePipeline sends a request to each path without waiting for responses.
func writePipeline(c net.Conn, paths []string, gap time.Duration) {
	for i, path := range paths {
		method, body := "GET", ""
		if path == "/order/1" {
			method, body = "POST", "an order"
		}
		if _, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h\r\nId: r%d\r\nWait: 1500ms\r\nContent-Length: %d\r\n\r\n%s", method, path, i, len(body), body); err != nil {
			return
		}
		time.Sleep(gap)
	}
}
