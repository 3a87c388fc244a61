package relayer

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"poplarwind/claimer"
	_ "poplarwind/internal/seeder"
	"poplarwind/storer"
)

// response is what a caller received for one request.
type response struct {
	status int
	ran    string
	body   string
}

// send sends one request to an entry.
func send(r *Relayer, method, id, key string) response {
	var req fasthttp.Request
	req.Header.SetMethod(method)
	req.SetRequestURI("/t/s/orders")
	req.Header.Set("Request-Id", id)
	if key != "" {
		req.Header.Set(HeaderKey, key)
	}
	if method != "GET" {
		req.SetBodyString("one amplifier")
	}
	var ctx fasthttp.RequestCtx
	ctx.Init(&req, nil, nil)
	r.Handle(&ctx)
	return response{
		status: ctx.Response.StatusCode(),
		ran:    string(ctx.Response.Header.Peek(HeaderRan)),
		body:   string(ctx.Response.Body()),
	}
}

// scenario is one call with its faults.
type scenario struct {
	method string
	keyed  bool
	// resend sends the call to a second entry as well: at the same time if
	// concurrent is set, otherwise after the first request.
	resend, concurrent bool
	faults             []fault
	storeFaults        []storeFault
}

// run runs the scenario and returns the violated guarantees.
func (s scenario) run(t *testing.T) []string {
	var violations []string
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		b := &testbed{runs: map[string]int{}, objects: map[string][]storer.Object{}}
		violations = s.simulate(ctx, b)
		cancel()
		b.close()
		time.Sleep(2 * time.Minute)
	})
	return violations
}

func (s scenario) simulate(ctx context.Context, b *testbed) []string {
	one, two := b.warmEntry(ctx, "e1"), b.warmEntry(ctx, "e2")
	b.plan, b.storePlan = slices.Clone(s.faults), slices.Clone(s.storeFaults)
	const id = "call-1"
	key := ""
	if s.keyed {
		key = "key-1"
	}
	responses := make([]response, 1, 2)
	var wg sync.WaitGroup
	if s.resend && s.concurrent {
		responses = responses[:2]
		wg.Go(func() { responses[1] = send(two, s.method, id, key) })
	}
	responses[0] = send(one, s.method, id, key)
	wg.Wait()
	if s.resend && !s.concurrent {
		responses = append(responses, send(two, s.method, id, key))
	}
	// The next call on the same connections must not receive leftover bytes
	// of this one.
	next := send(one, "GET", "call-2", "")
	time.Sleep(3 * pause)
	return s.violations(b, id, responses, next)
}

func (s scenario) violations(b *testbed, id string, responses []response, next response) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var violations []string
	report := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	runs, allowed := b.runs[id], 1
	if !s.keyed {
		allowed = len(responses)
	}
	if s.method != "GET" && runs > allowed {
		report("runs: got: %d want: at most %d", runs, allowed)
	}
	for i, resp := range responses {
		if resp.ran == "no" && len(responses) == 1 && runs > 0 {
			report("request %d: ran: no, runs: got: %d want: 0", i, runs)
		}
		if resp.ran == "no" && s.keyed && s.method != "GET" && i == len(responses)-1 && !s.concurrent && runs > 0 {
			report("last request: ran: no, runs: got: %d want: 0", runs)
		}
		if resp.status == 200 && resp.body != responseBody(id) {
			report("request %d: body: got: %q want: %q", i, resp.body, responseBody(id))
		}
		if resp.status == 200 && resp.ran != "yes" {
			report("request %d: ran: got: %q want: yes", i, resp.ran)
		}
		if resp.ran == "" {
			report("request %d: no value for ran", i)
		}
	}
	if next.status == 200 && next.body != responseBody("call-2") {
		report("next call: body: got: %q want: %q", next.body, responseBody("call-2"))
	}
	return violations
}

func (s scenario) String() string {
	return fmt.Sprintf("%s keyed=%v resend=%v concurrent=%v servers=%q store=%q", s.method, s.keyed, s.resend, s.concurrent, s.faults, s.storeFaults)
}

// TestFaultMatrix combines every server fault, in one, two and three attempts,
// and every store fault with every kind of call.
func TestFaultMatrix(t *testing.T) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	for _, f := range serverFaults {
		t.Run(string(f), func(t *testing.T) {
			for _, s := range scenariosFor(f) {
				for _, v := range s.run(t) {
					t.Errorf("%v: %s", s, v)
				}
			}
		})
	}
}

// scenariosFor returns the scenarios of the matrix for one server fault.
func scenariosFor(f fault) []scenario {
	var out []scenario
	for times := 1; times <= 3; times++ {
		faults := slices.Repeat([]fault{f}, times)
		for _, method := range []string{"GET", "POST"} {
			out = append(out, scenario{method: method, faults: faults}, scenario{method: method, resend: true, faults: faults})
		}
		for _, s := range storeFaults {
			for n := range 4 {
				plan := append(slices.Repeat([]storeFault{storeHealthy}, n), s, s)
				for _, concurrent := range []bool{false, true} {
					out = append(out, scenario{method: "POST", keyed: true, resend: true, concurrent: concurrent, faults: faults, storeFaults: plan})
				}
			}
		}
	}
	for _, n := range []int{0, 1, 2, 4} {
		outage := append(slices.Repeat([]storeFault{storeHealthy}, n), slices.Repeat([]storeFault{storeDown}, 300)...)
		out = append(out, scenario{method: "POST", keyed: true, resend: true, faults: []fault{f}, storeFaults: outage})
	}
	return out
}

// TestRandomFaults runs calls with random sequences of server and store faults.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := scenario{
			method:      rapid.SampledFrom([]string{"GET", "POST", "DELETE"}).Draw(rt, "method"),
			keyed:       rapid.Bool().Draw(rt, "keyed"),
			resend:      rapid.Bool().Draw(rt, "again"),
			concurrent:  rapid.Bool().Draw(rt, "beside"),
			faults:      rapid.SliceOfN(rapid.SampledFrom(serverFaults), 0, 6).Draw(rt, "servers"),
			storeFaults: rapid.SliceOfN(rapid.SampledFrom(storeFaults), 0, 10).Draw(rt, "store"),
		}
		for _, v := range s.run(t) {
			rt.Errorf("%v: %s", s, v)
		}
	})
}

// TestNoFaults checks that calls succeed without faults, so that the other
// tests cannot pass because every call fails.
func TestNoFaults(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			b := &testbed{runs: map[string]int{}, objects: map[string][]storer.Object{}}
			got := send(b.entry(ctx, "e1"), method, "id", "")
			if want := (response{200, "yes", responseBody("id")}); got != want || b.runs["id"] != 1 {
				t.Errorf("%s: got: %v, %d runs want: %v, 1", method, got, b.runs["id"], want)
			}
			cancel()
			b.close()
		})
	}
}

// TestKeyReuse sends one key with two bodies: the second request must be
// rejected and must not receive the first one's response.
func TestKeyReuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		b := &testbed{runs: map[string]int{}, objects: map[string][]storer.Object{}}
		r := b.entry(ctx, "e1")
		first := send(r, "POST", "one", "key")
		time.Sleep(time.Second)
		var req fasthttp.Request
		req.Header.SetMethod("POST")
		req.SetRequestURI("/t/s/orders")
		req.Header.Set("Request-Id", "two")
		req.Header.Set(HeaderKey, "key")
		req.SetBodyString("two amplifiers")
		var c fasthttp.RequestCtx
		c.Init(&req, nil, nil)
		r.Handle(&c)
		if first.status != 200 || c.Response.StatusCode() != fasthttp.StatusUnprocessableEntity || b.runs["two"] != 0 {
			t.Errorf("got: %v, then %s, %d runs want: 200, then 422, 0", first, c.Response.String(), b.runs["two"])
		}
		if s, err := claimer.Lookup(ctx, b, "/t/s", "key"); err != nil || s.State != claimer.Done || s.Status != 200 {
			t.Errorf("lookup: got: %+v, %v want: done, 200", s, err)
		}
		again := send(r, "POST", "one", "key")
		if again != first || b.runs["one"] != 1 {
			t.Errorf("repeated: got: %v, %d runs want: %v, 1", again, b.runs["one"], first)
		}
		cancel()
		b.close()
	})
}
