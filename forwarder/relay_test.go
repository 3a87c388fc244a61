package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	_ "poplarwind/internal/starter"
	"poplarwind/pipeliner"
	"poplarwind/reacher"
)

// relayPair is an entry that is cut off from the upstreams, and another one that reaches
// them.
type relayPair struct {
	tb       *testbed
	cut, far *Forwarder
}

func newRelayPair(t *testing.T) *relayPair {
	p := &relayPair{tb: &testbed{runs: map[string]int{}}}
	p.far = p.tb.newEntry(t, 3)
	server := pipeliner.New(pipeliner.Options{Handler: p.far, MaxHeader: 8 << 10, MaxBody: 1 << 20, MaxConns: 100, IdleTimeout: func() time.Duration { return time.Minute }, Log: p.far.options.Log})
	reach := reacher.New()
	reach.SetCut(true)
	p.cut = New(Options{
		Dialect: testDialect{}, Domain: "a", Reach: reach, RetryBudget: RetryBudget{Ratio: 1, Allowance: 100, Window: 10 * time.Second},
		Relays: func(string) []string { return []string{"gone", "far"} },
		Dial: func(_ context.Context, addr string) (net.Conn, error) {
			if addr != "far" {
				return nil, fmt.Errorf("no route to %s", addr)
			}
			near, end := net.Pipe()
			p.tb.mu.Lock()
			p.tb.conns = append(p.tb.conns, near, end)
			p.tb.mu.Unlock()
			go server.ServeConn(end)
			return near, nil
		},
	})
	p.cut.Configure(newTable(t))
	return p
}

// TestRelayedRequestFaults has an entry that is cut off relay requests while the upstreams
// of the other entry have faults: a request must not run more often, nor be reported
// otherwise, than without the relay.
func TestRelayedRequestFaults(t *testing.T) {
	for _, path := range []string{"/read/1", "/order/1"} {
		for _, first := range faults {
			for _, second := range []fault{healthy, failed, shed, runAndCut} {
				t.Run(fmt.Sprintf("%s/%s/%s", path[1:5], first, second), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						p := newRelayPair(t)
						p.tb.plan = []fault{first, second}
						resp := send(p.cut, path, "r")
						time.Sleep(5 * time.Second)
						checkResponse(t, p.tb, path, "r", resp.StatusCode(), string(resp.Body()), string(resp.Header.Peek("Id")))
						if p.tb.runs["r"] > 2 {
							t.Errorf("got: %d runs want: at most 2, the attempts of the route", p.tb.runs["r"])
						}
						if first == healthy && resp.StatusCode() != fasthttp.StatusOK {
							t.Errorf("got: %d want: 200", resp.StatusCode())
						}
						p.tb.close()
						time.Sleep(2 * time.Minute)
					})
				})
			}
		}
	}
}

// TestRelayedRequestRunsTwiceAfterError has an upstream of the other entry run a request and
// fail it with the status of a rejection. That is no statement of the other entry that the
// request did not run: it must not be relayed once more.
func TestRelayedRequestRunsTwiceAfterError(t *testing.T) {
	for _, f := range []fault{failedBusy, failedLimit} {
		t.Run(string(f), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newRelayPair(t)
				p.cut.options.Relays = func(string) []string { return []string{"far", "far", "far"} }
				p.tb.plan = []fault{f}
				resp := send(p.cut, "/order/1", "r")
				if p.tb.runs["r"] != 1 || resp.StatusCode() != fasthttp.StatusBadGateway {
					t.Errorf("got: %d runs, status %d want: 1 run, 502", p.tb.runs["r"], resp.StatusCode())
				}
				time.Sleep(5 * time.Second)
				p.tb.close()
				time.Sleep(2 * time.Minute)
			})
		})
	}
}

// TestRelayedRequestIsNotRelayedAgain checks that entries that are all cut off reject a
// request at once, and that requests with a malformed header of a relay are served.
func TestRelayedRequestIsNotRelayedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newRelayPair(t)
		p.far.options.Reach.SetCut(true)
		start := time.Now()
		if resp := send(p.cut, "/order/1", "r"); resp.StatusCode() != fasthttp.StatusServiceUnavailable || time.Since(start) > 2*queryTimeout {
			t.Errorf("got: %d after %v want: 503 at once", resp.StatusCode(), time.Since(start))
		}
		p.far.options.Reach.SetCut(false)
		p.far.RejectNew()
		if resp := send(p.cut, "/order/1", "s"); resp.StatusCode() != fasthttp.StatusServiceUnavailable {
			t.Errorf("entry leaving: got: %d want: 503", resp.StatusCode())
		}
		time.Sleep(5 * time.Second)
		p.tb.close()
		time.Sleep(2 * time.Minute)
	})
}

// TestAttemptsOfRelayedRequest checks that an entry counts the attempts of the one that
// relays a request, and takes none from a header that it can't parse.
func TestAttemptsOfRelayedRequest(t *testing.T) {
	for value, want := range map[string]int{"0": 2, "1": 1, "2": 1, "x": 2, "-1": 2, "": 2} {
		synctest.Test(t, func(t *testing.T) {
			tb := &testbed{runs: map[string]int{}, plan: []fault{failed, failed, failed}}
			f := tb.newEntry(t, 3)
			var req fasthttp.Request
			req.SetRequestURI("/read/1")
			req.Header.SetHost("h")
			req.Header.Set("Id", "r")
			req.Header.Set(headerRelayed, value)
			c := pipeliner.Call{Request: &req, Response: fasthttp.AcquireResponse(), ArrivedAt: time.Now()}
			f.Handle(context.Background(), &c)
			time.Sleep(5 * time.Second)
			if tb.runs["r"] != want {
				t.Errorf("header %q: got: %d runs want: %d", value, tb.runs["r"], want)
			}
			tb.close()
			time.Sleep(2 * time.Minute)
		})
	}
}

// TestRejectionOfRelayedRequestThatRan has an entry take a relayed request and give no response, and the
// next one reject it as over quota: a 429 would promise the caller that the request did not run.
func TestRejectionOfRelayedRequestThatRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newRelayPair(t)
		table := newCustomerTable(t, 2, newTestCustomer(testKey)...)
		p.cut.Configure(table)
		p.far.Configure(table)
		p.far.options.Quota = &scriptedQuota{}
		p.cut.options.Relays = func(string) []string { return []string{"lossy", "gone", "far"} }
		dial := p.cut.options.Dial
		p.cut.entries.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			if addr != "lossy" {
				return dial(ctx, addr)
			}
			near, end := net.Pipe()
			go loseRequest(end)
			return near, nil
		}
		if resp := sendKey(p.cut, "/read/1", "r"); resp.StatusCode() != fasthttp.StatusBadGateway {
			t.Errorf("got: %d want: 502", resp.StatusCode())
		}
		p.tb.endTest()
	})
}

// loseRequest answers the question whether the entry takes relayed requests, reads one and closes the
// connection.
func loseRequest(c net.Conn) {
	r := bufio.NewReader(c)
	var req fasthttp.Request
	if req.Read(r) == nil {
		if _, err := io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n"); err == nil {
			_ = req.Read(r)
		}
	}
	_ = c.Close()
}
