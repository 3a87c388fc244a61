package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"poplarwind/placer"
	"poplarwind/router"
)

// plain is the dialect of the tests.
type plain struct{}

func (plain) ID(h *fasthttp.RequestHeader) []byte { return h.Peek("Id") }

func (plain) Wait(h *fasthttp.RequestHeader) (time.Duration, bool) {
	d, err := time.ParseDuration(string(h.Peek("Wait")))
	return d, err == nil
}

func (plain) Address(h *fasthttp.RequestHeader, upstream string, left time.Duration) {
	h.Set("For", upstream)
	h.Set("Left", left.String())
}

func (plain) Read(h *fasthttp.ResponseHeader, now time.Time) Facts {
	f := Facts{
		ID: h.Peek("Id"), Instance: string(h.Peek("Instance")), Stamped: len(h.Peek("Stamp")) > 0,
		NotRun: len(h.Peek("Not-Run")) > 0, Misdirected: h.StatusCode() == fasthttp.StatusMisdirectedRequest,
	}
	if v := h.Peek("Load"); len(v) > 0 {
		running, err := strconv.Atoi(string(v))
		f.Load, f.HasLoad = placer.Report{Running: running, Slots: 3, Slowness: 1, At: now}, err == nil
	}
	return f
}

// fault is what goes wrong at an upstream in one exchange.
type fault string

// The faults of upstreams, in the order of the steps of an exchange.
const (
	healthy      fault = "healthy"
	refused      fault = "connection refused"
	cutAtAccept  fault = "reset before reading"
	cutInRequest fault = "reset within the request"
	cutAfterRead fault = "reset after the request, not run"
	runAndCut    fault = "killed while running"
	runAndHang   fault = "frozen while running"
	runSlowly    fault = "answers after the deadline"
	failed       fault = "fails after running"
	shed         fault = "sheds"
	misdirected  fault = "is another upstream"
	truncated    fault = "answer cut off"
	lengthless   fault = "answer without a length"
	garbage      fault = "answer is not HTTP"
	unstamped    fault = "answer without a stamp"
	encoded      fault = "answer in an encoding"
	excess       fault = "bytes after the answer"
	strayFirst   fault = "answer to an earlier request first"
	hangUp       fault = "closes after the answer"
)

var faults = []fault{
	healthy, refused, cutAtAccept, cutInRequest, cutAfterRead, runAndCut, runAndHang, runSlowly, failed, shed, misdirected,
	truncated, lengthless, garbage, unstamped, encoded, excess, strayFirst, hangUp,
}

// world is a few upstreams that go wrong by plan.
type world struct {
	mu sync.Mutex
	// plan holds the faults of the coming requests, over all upstreams.
	plan []fault
	// runs counts how often each request ran.
	runs map[string]int
	// load is what upstreams say is running.
	load map[string]int
	// mute holds the upstreams that don't answer questions for their load.
	mute    map[string]bool
	closing []net.Conn
}

func (w *world) next() fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.plan) == 0 {
		return healthy
	}
	f := w.plan[0]
	w.plan = w.plan[1:]
	return f
}

func (w *world) open(_ context.Context, addr string) (net.Conn, error) {
	w.mu.Lock()
	down := len(w.plan) > 0 && w.plan[0] == refused
	if down {
		w.plan = w.plan[1:]
	}
	w.mu.Unlock()
	if down {
		return nil, fmt.Errorf("connection refused")
	}
	near, far := net.Pipe()
	w.mu.Lock()
	w.closing = append(w.closing, near, far)
	w.mu.Unlock()
	go w.serve(far, addr)
	return near, nil
}

func (w *world) shut() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.closing {
		_ = c.Close()
	}
}

// serve plays an upstream's side of a connection.
func (w *world) serve(c net.Conn, addr string) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		var req fasthttp.Request
		if _, err := r.Peek(1); err != nil {
			return
		}
		f := healthy
		if head, _ := r.Peek(len("GET /health")); string(head) != "GET /health" {
			f = w.next()
		}
		if f == cutAtAccept || f == cutInRequest {
			return
		}
		if err := req.Read(r); err != nil {
			return
		}
		if string(req.Header.RequestURI()) == "/health" {
			w.mu.Lock()
			load, mute := w.load[addr], w.mute[addr]
			w.mu.Unlock()
			if mute {
				continue
			}
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance: %s\r\nLoad: %d\r\nContent-Length: 0\r\n\r\n", addr, load); err != nil {
				return
			}
			continue
		}
		if !w.exchange(c, f, string(req.Header.Peek("Id"))) {
			return
		}
	}
}

// exchange answers one request and reports whether the connection goes on.
func (w *world) exchange(c net.Conn, f fault, id string) bool {
	say := func(format string, args ...any) bool {
		_, err := fmt.Fprintf(c, format, args...)
		return err == nil
	}
	whole := func(extra string) bool {
		return say("HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\n%sContent-Length: 5\r\n\r\nwhole", id, extra)
	}
	switch f {
	case cutAfterRead:
		return false
	case shed:
		return say("HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
	case misdirected:
		return say("HTTP/1.1 421 Misdirected Request\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	}
	w.mu.Lock()
	w.runs[id]++
	w.mu.Unlock()
	switch f {
	case runAndCut:
		return false
	case runAndHang:
		time.Sleep(time.Minute)
		return false
	case runSlowly:
		time.Sleep(3 * time.Second)
		return whole("")
	case failed:
		return say("HTTP/1.1 500 Internal Server Error\r\nId: %s\r\nStamp: s\r\nContent-Length: 0\r\n\r\n", id)
	case truncated:
		say("HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nContent-Length: 9\r\n\r\nwho", id)
		return false
	case lengthless:
		say("HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nConnection: close\r\n\r\nwhole", id)
		return false
	case garbage:
		say("\x00\x01 not an answer\r\n\r\n")
		return false
	case unstamped:
		return say("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 5\r\n\r\nother", id)
	case encoded:
		return whole("Content-Encoding: gzip\r\n")
	case excess:
		whole("")
		return say("HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nContent-Length: 5\r\n\r\nagain", id)
	case strayFirst:
		say("HTTP/1.1 200 OK\r\nId: earlier\r\nStamp: s\r\nContent-Length: 5\r\n\r\nstray")
		return whole("")
	case hangUp:
		whole("Connection: close\r\n")
		return false
	}
	return whole("")
}

// routes has an idempotent route below /read/ and another below /order/.
func routes(t testing.TB) *router.Table {
	table, err := router.NewTable(router.Spec{
		Version: 1,
		Routes: []router.Route{
			{Name: "read", Host: "h", Prefix: "/read/", Idempotent: true, Attempts: 2, Timeout: 2 * time.Second, Objective: time.Second, Rank: 1, Parts: []router.Part{{Service: "s", Weight: 1}}},
			{Name: "order", Host: "h", Prefix: "/order/", Attempts: 2, Timeout: 2 * time.Second, Objective: time.Second, Parts: []router.Part{{Service: "s", Weight: 1}}},
		},
		Services: []router.Service{{Name: "s", Health: "/health"}},
	}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// entryOf returns an entry in front of n upstreams of three slots.
func (w *world) entryOf(t testing.TB, n int) *Forwarder {
	f := New(Options{
		Dialect: plain{}, Domain: "a", Open: w.open, Probes: 1000,
		Retries: Retries{Share: 1, Allowance: 100, Window: 10 * time.Second},
	})
	f.Configure(routes(t))
	for i := range n {
		id := fmt.Sprintf("u%d", i)
		f.Put(placer.Spec{ID: id, Service: "s", Addr: id, Domain: "a", Slots: 3})
	}
	return f
}

// send sends one request and returns its answer.
func send(f *Forwarder, path, id string) *fasthttp.Response {
	var req fasthttp.Request
	req.Header.SetMethod("GET")
	if strings.HasPrefix(path, "/order/") {
		req.Header.SetMethod("POST")
		req.SetBodyString("an order")
	}
	req.SetRequestURI(path)
	req.Header.SetHost("h")
	req.Header.Set("Id", id)
	req.Header.Set("Wait", "1500ms")
	var c fasthttp.RequestCtx
	c.Init(&req, nil, nil)
	f.Handle(&c)
	var out fasthttp.Response
	c.Response.CopyTo(&out)
	return &out
}
