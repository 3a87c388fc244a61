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
	"poplarwind/keeper"
)

// told is what a caller was told of one sending.
type told struct {
	status int
	ran    string
	body   string
}

// send makes one sending of a call to an entry.
func send(r *Relayer, method, id, key string) told {
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
	return told{
		status: ctx.Response.StatusCode(),
		ran:    string(ctx.Response.Header.Peek(HeaderRan)),
		body:   string(ctx.Response.Body()),
	}
}

// trial is one call with its faults.
type trial struct {
	method string
	keyed  bool
	// again sends the call to a second entry, beside the first sending or
	// after it.
	again, beside bool
	faults        []fault
	stores        []storeFault
}

// run plays the trial and returns the promises that it broke.
func (v trial) run(t *testing.T) []string {
	var broken []string
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := &world{runs: map[string]int{}, objects: map[string][]keeper.Object{}}
		broken = v.play(ctx, w)
		cancel()
		w.shut()
		time.Sleep(2 * time.Minute)
	})
	return broken
}

func (v trial) play(ctx context.Context, w *world) []string {
	one, two := w.warmEntry(ctx, "e1"), w.warmEntry(ctx, "e2")
	w.plan, w.storePlan = slices.Clone(v.faults), slices.Clone(v.stores)
	const id = "call-1"
	key := ""
	if v.keyed {
		key = "key-1"
	}
	sendings := make([]told, 1, 2)
	var wg sync.WaitGroup
	if v.again && v.beside {
		sendings = sendings[:2]
		wg.Go(func() { sendings[1] = send(two, v.method, id, key) })
	}
	sendings[0] = send(one, v.method, id, key)
	wg.Wait()
	if v.again && !v.beside {
		sendings = append(sendings, send(two, v.method, id, key))
	}
	// The next call on the same connections must not be given what is left
	// over from this one.
	next := send(one, "GET", "call-2", "")
	time.Sleep(3 * sleep)
	return v.judge(w, id, sendings, next)
}

func (v trial) judge(w *world, id string, sendings []told, next told) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var broken []string
	breach := func(format string, args ...any) { broken = append(broken, fmt.Sprintf(format, args...)) }
	runs, allowed := w.runs[id], 1
	if !v.keyed {
		allowed = len(sendings)
	}
	if v.method != "GET" && runs > allowed {
		breach("runs: got: %d want: at most %d", runs, allowed)
	}
	for i, s := range sendings {
		if s.ran == "no" && len(sendings) == 1 && runs > 0 {
			breach("sending %d was told no, runs: got: %d want: 0", i, runs)
		}
		if s.ran == "no" && v.keyed && v.method != "GET" && i == len(sendings)-1 && !v.beside && runs > 0 {
			breach("last sending was told no, runs: got: %d want: 0", runs)
		}
		if s.status == 200 && s.body != answerTo(id) {
			breach("sending %d: body: got: %q want: %q", i, s.body, answerTo(id))
		}
		if s.status == 200 && s.ran != "yes" {
			breach("sending %d: ran: got: %q want: yes", i, s.ran)
		}
		if s.ran == "" {
			breach("sending %d does not say whether it ran", i)
		}
	}
	if next.status == 200 && next.body != answerTo("call-2") {
		breach("next call: body: got: %q want: %q", next.body, answerTo("call-2"))
	}
	return broken
}

func (v trial) String() string {
	return fmt.Sprintf("%s keyed=%v again=%v beside=%v servers=%q store=%q", v.method, v.keyed, v.again, v.beside, v.faults, v.stores)
}

// TestFaultMatrix crosses every fault of a server, once, twice and at three
// servers, and every fault of the store, with every sort of call.
func TestFaultMatrix(t *testing.T) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	for _, f := range serverFaults {
		t.Run(string(f), func(t *testing.T) {
			for _, v := range trialsOf(f) {
				for _, b := range v.run(t) {
					t.Errorf("%v: %s", v, b)
				}
			}
		})
	}
}

// trialsOf returns the trials of the matrix with one fault of servers.
func trialsOf(f fault) []trial {
	var out []trial
	for times := 1; times <= 3; times++ {
		faults := slices.Repeat([]fault{f}, times)
		for _, method := range []string{"GET", "POST"} {
			out = append(out, trial{method: method, faults: faults}, trial{method: method, again: true, faults: faults})
		}
		for _, s := range storeFaults {
			for n := range 4 {
				stores := append(slices.Repeat([]storeFault{storeWell}, n), s, s)
				for _, beside := range []bool{false, true} {
					out = append(out, trial{method: "POST", keyed: true, again: true, beside: beside, faults: faults, stores: stores})
				}
			}
		}
	}
	for _, n := range []int{0, 1, 2, 4} {
		outage := append(slices.Repeat([]storeFault{storeWell}, n), slices.Repeat([]storeFault{storeDown}, 300)...)
		out = append(out, trial{method: "POST", keyed: true, again: true, faults: []fault{f}, stores: outage})
	}
	return out
}

// TestDrawnFaults draws several faults of servers and store together.
func TestDrawnFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		v := trial{
			method: rapid.SampledFrom([]string{"GET", "POST", "DELETE"}).Draw(rt, "method"),
			keyed:  rapid.Bool().Draw(rt, "keyed"),
			again:  rapid.Bool().Draw(rt, "again"),
			beside: rapid.Bool().Draw(rt, "beside"),
			faults: rapid.SliceOfN(rapid.SampledFrom(serverFaults), 0, 6).Draw(rt, "servers"),
			stores: rapid.SliceOfN(rapid.SampledFrom(storeFaults), 0, 10).Draw(rt, "store"),
		}
		for _, b := range v.run(t) {
			rt.Errorf("%v: %s", v, b)
		}
	})
}

// TestHealthy guards the other tests against passing because nothing works.
func TestHealthy(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			w := &world{runs: map[string]int{}, objects: map[string][]keeper.Object{}}
			got := send(w.entry(ctx, "e1"), method, "id", "")
			if want := (told{200, "yes", answerTo("id")}); got != want || w.runs["id"] != 1 {
				t.Errorf("%s: got: %v, %d runs want: %v, 1", method, got, w.runs["id"], want)
			}
			cancel()
			w.shut()
		})
	}
}

// TestKeyOfAnotherRequest sends one key with two bodies: the second request is
// refused, and the first one's answer is not given to it.
func TestKeyOfAnotherRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := &world{runs: map[string]int{}, objects: map[string][]keeper.Object{}}
		r := w.entry(ctx, "e1")
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
		if first.status != 200 || c.Response.StatusCode() != fasthttp.StatusUnprocessableEntity || w.runs["two"] != 0 {
			t.Errorf("got: %v, then %s, %d runs want: 200, then 422, 0", first, c.Response.String(), w.runs["two"])
		}
		if s, err := claimer.Lookup(ctx, w, "/t/s", "key"); err != nil || s.State != claimer.Done || s.Status != 200 {
			t.Errorf("lookup: got: %+v, %v want: done, 200", s, err)
		}
		again := send(r, "POST", "one", "key")
		if again != first || w.runs["one"] != 1 {
			t.Errorf("repeated: got: %v, %d runs want: %v, 1", again, w.runs["one"], first)
		}
		cancel()
		w.shut()
	})
}
