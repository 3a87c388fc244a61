package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"poplarwind/internal/signer"
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
		Dialect: testDialect{}, Domain: "a", Reach: reach, Secret: []byte(testSecret), RetryBudget: RetryBudget{Ratio: 1, Allowance: 100, Window: 10 * time.Second},
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
						if v := resp.Header.Peek(headerAttempts); len(v) > 0 {
							t.Errorf("got: attempts %q in the response to the caller want: none", v)
						}
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
			req.Header.Set(headerProof, signer.Sign([]byte(testSecret), []byte("relayed"), []byte("r"), []byte(value)))
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

// sendRelayed sends a request with a customer's key and headers that say that it is relayed.
func sendRelayed(f *Forwarder, path, id, count, proof string) *fasthttp.Response {
	var req fasthttp.Request
	req.SetRequestURI(path)
	req.Header.SetHost("h")
	for name, value := range map[string]string{"Id": id, "Wait": "1500ms", "Pass": testKey, headerRelayed: count, headerProof: proof} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	c := pipeliner.Call{Request: &req, Response: fasthttp.AcquireResponse(), ArrivedAt: time.Now()}
	f.Handle(context.Background(), &c)
	return c.Response
}

// TestProofOfRelay sends requests that say that they are relayed, with and without a proof. It guards
// against callers who spend retries for requests that don't count for the retry budget, and against
// upstreams that learn proofs.
func TestProofOfRelay(t *testing.T) {
	sign := func(secret, purpose, id, count string) string {
		return signer.Sign([]byte(secret), []byte(purpose), []byte(id), []byte(count))
	}
	for _, tc := range []struct {
		name    string
		proof   func(id string) string
		trusted bool
	}{
		{"none", func(string) string { return "" }, false},
		{"malformed", func(string) string { return "1" }, false},
		{"other request", func(string) string { return sign(testSecret, "relayed", "x", "0") }, false},
		{"other count", func(id string) string { return sign(testSecret, "relayed", id, "1") }, false},
		{"other secret", func(id string) string { return sign("secret-of-another", "relayed", id, "0") }, false},
		{"other purpose", func(id string) string { return sign(testSecret, "answer", id, "0") }, false},
		{"no secret", func(id string) string { return sign("", "relayed", id, "0") }, false},
		{"valid", func(id string) string { return sign(testSecret, "relayed", id, "0") }, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tb := &testbed{runs: map[string]int{}, headers: map[string]string{}}
				f := tb.newEntry(t, 3)
				if tc.name == "no secret" {
					f.options.Secret = nil
				}
				for i := range 4 {
					id := fmt.Sprint("r", i)
					sendRelayed(f, "/read/1", id, "0", tc.proof(id))
				}
				tb.plan = []fault{failed}
				sendRelayed(f, "/read/1", "last", "0", tc.proof("last"))
				want := 1
				if tc.trusted {
					want = 2
				}
				tb.mu.Lock()
				if tb.runs["last"] != want {
					t.Errorf("got: %d runs want: %d", tb.runs["last"], want)
				}
				if h := tb.headers["last"]; strings.Contains(h, "Poplar") {
					t.Errorf("got: %q at the upstream want: no header of a relay", h)
				}
				tb.mu.Unlock()
				tb.endTest()
			})
		})
	}
}

// TestRelayIsProven has an entry relay requests, and checks that the other one repeats them if their
// secrets agree, and sends them once otherwise.
func TestRelayIsProven(t *testing.T) {
	for secret, want := range map[string]int{testSecret: fasthttp.StatusOK, "secret-of-another": fasthttp.StatusServiceUnavailable, "": fasthttp.StatusServiceUnavailable} {
		synctest.Test(t, func(t *testing.T) {
			p := newRelayPair(t)
			p.cut.options.Secret = []byte(secret)
			for i := range 4 {
				if got := send(p.cut, "/order/1", fmt.Sprint("r", i)).StatusCode(); got != fasthttp.StatusOK {
					t.Errorf("secret %q: got: %d want: 200", secret, got)
				}
			}
			p.tb.plan = []fault{shed}
			if got := send(p.cut, "/order/1", "last").StatusCode(); got != want {
				t.Errorf("secret %q: got: %d want: %d", secret, got, want)
			}
			p.tb.endTest()
		})
	}
}

// TestUnprovenRequestIsNotRelayed sends requests that say that they are relayed, without a proof, to an
// entry that is cut off. It guards against a loop between entries of which none accepts the other's proof.
func TestUnprovenRequestIsNotRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newRelayPair(t)
		for _, count := range []string{"0", "1", "x", "-1"} {
			if got := sendRelayed(p.cut, "/read/1", "r"+count, count, "").StatusCode(); got != fasthttp.StatusServiceUnavailable || p.tb.runs["r"+count] > 0 {
				t.Errorf("count %q: got: %d, %d runs want: 503, none", count, got, p.tb.runs["r"+count])
			}
		}
		p.tb.endTest()
	})
}

// TestLateRequestAfterAttemptsElsewhere has a request that says that it is relayed after an attempt wait
// for so long that its admission to the quota has expired. It guards against callers who avoid that check.
func TestLateRequestAfterAttemptsElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := &testbed{runs: map[string]int{}}
		f := tb.newEntry(t, 3)
		f.options.Quota = &scriptedQuota{left: 1, late: true}
		f.Configure(newCustomerTable(t, 2, newTestCustomer(testKey)...))
		if got := sendRelayed(f, "/read/1", "r", "1", "").StatusCode(); got != fasthttp.StatusTooManyRequests || tb.runs["r"] > 0 {
			t.Errorf("got: %d, %d runs want: 429, none", got, tb.runs["r"])
		}
		tb.endTest()
	})
}
