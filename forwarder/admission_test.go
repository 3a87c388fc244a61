package forwarder

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"poplarwind/pipeliner"
	"poplarwind/router"
)

// TestFloodOfCaller has one caller send many more requests than there are slots, while another one sends
// few. It guards against a flood that delays the requests of other callers, and checks that each
// rejection states at least the expected wait, and not the same time as the others.
func TestFloodOfCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := &testbed{runs: map[string]int{}, work: 100 * time.Millisecond, probeTime: 4 * time.Millisecond}
		f := tb.newEntry(t, 2)
		flooding, few := netip.MustParseAddr("192.0.2.9"), netip.MustParseAddr("192.0.2.1")
		var mu sync.Mutex
		retryAfter := make(map[time.Duration]bool)
		f.options.OnComplete = func(r *Record) {
			mu.Lock()
			defer mu.Unlock()
			if r.Estimate == nil {
				return
			}
			if r.Status == fasthttp.StatusServiceUnavailable && (r.RetryAfter < minRetryAfter || r.RetryAfter > 3*time.Second) {
				t.Errorf("%s: got: Retry-After %v, estimate %+v want: about the wait", r.ID, r.RetryAfter, *r.Estimate)
			}
			if r.QueueTime == 0 && r.RetryAfter < r.Estimate.Wait {
				t.Errorf("%s: got: Retry-After %v want: at least the wait %v", r.ID, r.RetryAfter, r.Estimate.Wait)
			}
			retryAfter[r.RetryAfter] = true
		}
		total := time.Duration(0)
		var wg sync.WaitGroup
		// The average latency is not known before the first responses.
		for i := range 6 {
			sendFrom(t.Context(), f, flooding, "/read/1", fmt.Sprint("first", i))
		}
		for i := range 400 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 3 * time.Millisecond)
				sendFrom(t.Context(), f, flooding, "/read/1", fmt.Sprint("flood", i))
			})
		}
		for i := range 20 {
			wg.Go(func() {
				time.Sleep(time.Duration(200+i*100) * time.Millisecond)
				start := time.Now()
				resp := sendFrom(t.Context(), f, few, "/read/1", fmt.Sprint("few", i))
				d := time.Since(start)
				if resp.StatusCode() != fasthttp.StatusOK || d > time.Second {
					t.Errorf("request %d beside a flood: got: %d after %v want: 200 within the objective of 1 s", i, resp.StatusCode(), d)
				}
				mu.Lock()
				defer mu.Unlock()
				total += d
			})
		}
		wg.Wait()
		// A request runs for 100 ms, and one of six slots is free every 17 ms.
		if average := total / 20; average > 250*time.Millisecond {
			t.Errorf("got: %v on average beside a flood want: at most 250 ms", average)
		}
		if len(retryAfter) < 20 {
			t.Errorf("got: %d different values of Retry-After want: many", len(retryAfter))
		}
		time.Sleep(5 * time.Second)
		tb.close()
		time.Sleep(2 * time.Minute)
	})
}

// TestCallerLeavesBeforeSend has callers leave while their requests are queued, and while upstreams are
// being probed or connected to. It guards against requests that are sent although nobody waits for them.
func TestCallerLeavesBeforeSend(t *testing.T) {
	for _, path := range []string{"/read/1", "/order/1"} {
		for _, queued := range []bool{false, true} {
			for leave := 0; leave <= 60; leave += 4 {
				t.Run(fmt.Sprintf("%s/%v/%d", path[1:5], queued, leave), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { leaveBeforeSend(t, path, queued, time.Duration(leave)*time.Millisecond) })
				})
			}
		}
	}
}

func leaveBeforeSend(t *testing.T, path string, queued bool, after time.Duration) {
	tb := &testbed{runs: map[string]int{}, load: map[string]int{}, work: 50 * time.Millisecond}
	f := tb.newEntry(t, 1)
	left := make(chan struct{})
	f.options.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		time.Sleep(20 * time.Millisecond)
		return tb.dial(ctx, addr)
	}
	f.pool.Dial = f.options.Dial
	if queued {
		tb.load["u0"] = 3
	}
	ctx, cancel := context.WithCancel(t.Context())
	var atLeave int
	go func() {
		defer close(left)
		time.Sleep(after)
		synctest.Wait()
		cancel()
		tb.mu.Lock()
		defer tb.mu.Unlock()
		atLeave = tb.runs["r"]
		tb.load = map[string]int{}
	}()
	sendFrom(ctx, f, netip.Addr{}, path, "r")
	<-left
	time.Sleep(5 * time.Second)
	tb.mu.Lock()
	runs := tb.runs["r"]
	tb.mu.Unlock()
	if runs > atLeave {
		t.Errorf("got: sent after the caller left want: not sent")
	}
	if f.services["s"].placing != 0 || f.services["s"].queue.Len() != 0 {
		t.Errorf("got: %d being placed, %d queued want: none", f.services["s"].placing, f.services["s"].queue.Len())
	}
	for _, u := range f.services["s"].fleet.List() {
		if u.InFlight() != 0 {
			t.Errorf("got: %d in flight want: none", u.InFlight())
		}
	}
	if got := send(f, path, "next").StatusCode(); got != fasthttp.StatusOK {
		t.Errorf("next request: got: %d want: 200", got)
	}
	tb.close()
	time.Sleep(2 * time.Minute)
}

// TestSlowUploadHoldsNoSlot has a caller send an upload over 1.5 s. It guards against an upload that is placed before its body is complete: nothing may reach
// an upstream nor be counted as in flight before, and requests of others are served meanwhile.
func TestSlowUploadHoldsNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := &testbed{runs: map[string]int{}, reached: map[string]int{}, work: time.Millisecond}
		f := tb.newEntry(t, 1)
		s := pipeliner.New(pipeliner.Options{
			Handler: f, MaxHeader: 4 << 10, MaxBody: 1 << 20, MaxConns: 10,
			IdleTimeout: func() time.Duration { return 30 * time.Second }, Log: slog.New(slog.DiscardHandler),
		})
		caller, entry := net.Pipe()
		go s.ServeConn(entry)
		const chunks = 15
		chunk := strings.Repeat("x", 2000)
		if _, err := fmt.Fprintf(caller, "POST /order/1 HTTP/1.1\r\nHost: h\r\nId: upload\r\nWait: 9s\r\nContent-Length: %d\r\n\r\n", chunks*len(chunk)); err != nil {
			t.Fatal(err)
		}
		for i := range chunks {
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			if i%5 == 2 {
				if got := send(f, "/read/1", fmt.Sprint("other", i)).StatusCode(); got != fasthttp.StatusOK {
					t.Errorf("request beside the upload: got: %d want: 200", got)
				}
			}
			tb.mu.Lock()
			runs := tb.runs["upload"]
			tb.mu.Unlock()
			if u := f.services["s"].fleet.List()[0]; u.InFlight() != 0 || runs != 0 || f.InFlight() != 0 {
				t.Fatalf("after %d of %d chunks: got: %d at the upstream, %d runs, %d in hand want: none", i, chunks, u.InFlight(), runs, f.InFlight())
			}
			if _, err := io.WriteString(caller, chunk); err != nil {
				t.Fatal(err)
			}
		}
		head := make([]byte, len("HTTP/1.1 200"))
		if _, err := io.ReadFull(caller, head); err != nil || string(head) != "HTTP/1.1 200" {
			t.Errorf("upload: got: %q, %v want: 200", head, err)
		}
		_ = caller.Close()
		time.Sleep(5 * time.Second)
		tb.close()
		time.Sleep(2 * time.Minute)
	})
}

// TestSlotFraction compares the fraction of slots that entries expect with bounds. It guards against an
// entry with most of the load that rejects as if it had as few slots as the others, and against fractions
// that add up to more than all slots.
func TestSlotFraction(t *testing.T) {
	loads := []float64{0.9, 0.06, 0.04, 0}
	sum := 0.0
	for i, load := range loads {
		got := slotFraction(EntrySet{Assigned: len(loads), LoadFraction: max(load, 1e-9)})
		sum += got
		if i == 0 && got < 0.75 || i > 0 && got < 0.05 {
			t.Errorf("load %v: got: %.3f want: near the load, and never none", load, got)
		}
	}
	if math.Abs(sum-1) > 1e-6 {
		t.Errorf("got: sum %.3f want: 1", sum)
	}
	if got := slotFraction(EntrySet{Assigned: 4}); got != 0.25 {
		t.Errorf("unknown load: got: %.3f want: equal fractions", got)
	}
	f := (&testbed{runs: map[string]int{}}).newEntry(t, 10)
	f.options.Entries = func(string) EntrySet { return EntrySet{Total: 4, Assigned: 4, IsAssigned: true, LoadFraction: 0.7} }
	f.UpdateLimits()
	if got := f.services["s"].expectedSlots(time.Now()); got < 18 || got > 19 {
		t.Errorf("got: %.1f of 30 slots want: 18.3", got)
	}
}

// TestQueueFlow compares the flows of requests. It guards against a caller or customer that gets several
// shares by many addresses, connections or request IDs, and against callers that another entry relays
// and that would share one.
func TestQueueFlow(t *testing.T) {
	flow := func(addr, id, customer string, relayed bool) uint64 {
		x := exchange{call: &pipeliner.Call{Caller: netip.MustParseAddr(addr)}, id: id, proven: relayed}
		if customer != "" {
			x.customer = &router.Customer{Name: customer}
		}
		return x.queueFlow()
	}
	for _, tt := range []struct {
		name string
		a, b uint64
		same bool
	}{
		{"repeat of a caller", flow("192.0.2.1", "a", "", false), flow("192.0.2.1", "b", "", false), true},
		{"two callers", flow("192.0.2.1", "a", "", false), flow("192.0.2.2", "a", "", false), false},
		{"addresses of a host", flow("2001:db8::1", "a", "", false), flow("2001:db8::2", "a", "", false), true},
		{"two networks", flow("2001:db8::1", "a", "", false), flow("2001:db8:0:1::1", "a", "", false), false},
		{"customer at two addresses", flow("192.0.2.1", "a", "c", false), flow("192.0.2.2", "b", "c", true), true},
		{"two customers", flow("192.0.2.1", "a", "c", false), flow("192.0.2.1", "a", "d", false), false},
		{"relayed", flow("192.0.2.1", "a", "", true), flow("192.0.2.1", "b", "", true), false},
	} {
		if (tt.a == tt.b) != tt.same {
			t.Errorf("%s: got: same flow %v want: %v", tt.name, tt.a == tt.b, tt.same)
		}
	}
}

// TestRejectionCausesComplete guards against rejections by customers and evacuations that metrics count as
// other ones.
func TestRejectionCausesComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := &testbed{runs: map[string]int{}}
		f := tb.newEntry(t, 3)
		var causes []string
		f.options.OnComplete = func(r *Record) { causes = append(causes, r.Cause) }
		f.options.AwaitEvacuations = true
		send(f, "/read/1", "evacuations not known")
		f.SetEvacuated(map[string]bool{"a": true})
		send(f, "/read/1", "evacuated")
		f.SetEvacuated(nil)
		f.Configure(newCustomerTable(t, 2, newTestCustomer(testKey)...))
		send(f, "/read/1", "no key")
		f.RejectNew()
		send(f, "/read/1", "leaving")
		for _, cause := range causes {
			if !slices.Contains(RejectionCauses(), cause) {
				t.Errorf("got: %q not among the causes want: all of %q", cause, causes)
			}
		}
		if len(causes) != 4 {
			t.Errorf("got: %q want: 4 causes", causes)
		}
		tb.endTest()
	})
}
