package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"poplarwind/bufferer"
	"poplarwind/pipeliner"
	"poplarwind/placer"
	"poplarwind/router"
)

// testDialect is the Dialect of the tests.
type testDialect struct{}

func (testDialect) ID(h *fasthttp.RequestHeader) []byte { return h.Peek("Id") }

func (testDialect) CallerTimeout(h *fasthttp.RequestHeader) (time.Duration, bool) {
	d, err := time.ParseDuration(string(h.Peek("Wait")))
	return d, err == nil
}

func (testDialect) SetTarget(h *fasthttp.RequestHeader, upstream string, left time.Duration) {
	h.Set("For", upstream)
	h.Set("Left", left.String())
}

func (testDialect) Key(h *fasthttp.RequestHeader) ([]byte, int) {
	count := 0
	var key []byte
	for name, value := range h.All() {
		if string(name) == "Pass" {
			key = value
			count++
		}
	}
	return key, count
}

func (testDialect) SetCustomer(h *fasthttp.RequestHeader, name string) {
	h.Del("Pass")
	h.Del("Customer")
	if name != "" {
		h.Set("Customer", name)
	}
}

func (testDialect) SetKey(h *fasthttp.RequestHeader, key []byte) {
	h.Del("Pass")
	h.Del("Customer")
	if len(key) > 0 {
		h.SetBytesV("Pass", key)
	}
}

func (testDialect) SetTimeout(h *fasthttp.RequestHeader, left time.Duration) {
	h.Set("Wait", left.String())
}

func (testDialect) ParseResponse(h *fasthttp.ResponseHeader, now time.Time) ResponseInfo {
	info := ResponseInfo{
		ID: h.Peek("Id"), Instance: string(h.Peek("Instance")), Stamped: len(h.Peek("Stamp")) > 0,
		NotRun: len(h.Peek("Not-Run")) > 0, Misdirected: h.StatusCode() == fasthttp.StatusMisdirectedRequest,
	}
	info.Leaving = len(h.Peek("Leaving")) > 0
	if v := h.Peek("Pause"); len(v) > 0 {
		info.Pause, info.PauseError = time.ParseDuration(string(v))
	}
	if v := h.Peek("Warmup"); len(v) > 0 {
		info.Warmup, info.WarmupError = time.ParseDuration(string(v))
	}
	if v := h.Peek("Load"); len(v) > 0 {
		running, err := strconv.Atoi(string(v))
		info.Load, info.HasLoad = placer.Report{Running: running, Slots: 3, Slowness: 1, At: now}, err == nil
	}
	return info
}

// fault is the fault that an upstream injects into one exchange.
type fault string

// The faults of upstreams, in the order of the steps of an exchange.
const (
	healthy      fault = "healthy"
	refused      fault = "connection refused"
	cutAtAccept  fault = "reset before reading"
	cutInRequest fault = "reset within the request"
	cutAfterRead fault = "reset after the request, not run"
	runAndCut    fault = "killed while running"
	runAndHang   fault = "hangs while running"
	runSlowly    fault = "responds after the deadline"
	failed       fault = "fails after running"
	failedLate   fault = "fails just before the deadline"
	// failedBusy and failedLimit have run the request, although their status is that of a
	// rejection.
	failedBusy  fault = "fails after running with 503"
	failedLimit fault = "fails after running with 429"
	shed        fault = "sheds"
	misdirected fault = "address of another upstream"
	truncated   fault = "response truncated"
	noLength    fault = "response without a length"
	garbage     fault = "response is not HTTP"
	zeroStatus  fault = "response with status 000"
	blankInName fault = "response with a blank in a field name"
	emptyLine   fault = "response with a line feed before a field"
	unstamped   fault = "response without a stamp"
	encoded     fault = "response with a content encoding"
	excess      fault = "bytes after the response"
	staleFirst  fault = "response to an earlier request first"
	closeAfter  fault = "closes after the response"
	// shedTwice rejects without an ID, and writes the rejection again when the next
	// request arrives on the connection, before it runs that.
	shedTwice fault = "writes an earlier rejection again"
	// The next ones shed and ask for a pause: in a response with the request's ID, without
	// an ID, with a body that is cut off, and in one to an earlier request.
	shedPause        fault = "sheds and asks for a pause"
	shedPauseUnnamed fault = "sheds without an ID and asks for a pause"
	shedPauseCut     fault = "sheds, asks for a pause and cuts the body off"
	shedPauseStale   fault = "asks for a pause in response to an earlier request"
	// leaves responds and says that the upstream leaves.
	leaves fault = "says that it leaves"
)

// lateBy is the fault of an upstream that responds after the time, and failingAfter that of one that
// fails then.
func lateBy(d time.Duration) fault       { return fault("late " + d.String()) }
func failingAfter(d time.Duration) fault { return fault("failing " + d.String()) }

// headAfter is the fault of an upstream that sends the head of a response after the time, and the body
// 300 ms later.
func headAfter(d time.Duration) fault { return fault("head " + d.String()) }

var faults = []fault{
	healthy, refused, cutAtAccept, cutInRequest, cutAfterRead, runAndCut, runAndHang, runSlowly, failed, failedLate, failedBusy, failedLimit, shed, misdirected,
	truncated, noLength, garbage, zeroStatus, blankInName, emptyLine, unstamped, encoded, excess, staleFirst, closeAfter, shedTwice,
	shedPause, shedPauseUnnamed, shedPauseCut, shedPauseStale, leaves,
}

// rejection is a response that states that its request did not run, without its ID.
const rejection = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"

// testbed is a set of upstreams that inject planned faults.
type testbed struct {
	mu sync.Mutex
	// plan holds the faults for the next requests, over all upstreams.
	plan []fault
	// runs counts how often each request ran.
	runs map[string]int
	// load is the number of running requests that each upstream reports.
	load map[string]int
	// work is how long each upstream takes for a request without a fault.
	work time.Duration
	// probeTime is the longest time that each upstream takes for a load probe.
	probeTime time.Duration
	// workOf returns how long any upstream takes for a request, if it is not nil.
	workOf func(id string) time.Duration
	// unresponsive holds the upstreams that do not respond to load probes.
	unresponsive map[string]bool
	// hanging holds the upstreams that respond to load probes only.
	hanging map[string]bool
	// reached counts the requests and load probes at each upstream, if it is not nil.
	reached map[string]int
	// headers holds the header of each request that reached an upstream, by ID, if it is not nil.
	headers map[string]string
	// pausingProbes is set if upstreams reject load probes and ask for a pause, and
	// leavingProbes if they say in load probes that they leave.
	pausingProbes, leavingProbes bool
	// pausing holds the upstreams that reject load probes and ask for a pause.
	pausing map[string]bool
	// probeTimes holds how long upstreams take to respond to load probes, if not probeTime.
	probeTimes map[string]time.Duration
	// warmups holds what upstreams say in load probes of how much longer they are cold.
	warmups map[string]string
	conns   []net.Conn
	closed  bool
}

func (tb *testbed) nextFault() fault {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if len(tb.plan) == 0 {
		return healthy
	}
	f := tb.plan[0]
	tb.plan = tb.plan[1:]
	return f
}

func (tb *testbed) dial(_ context.Context, addr string) (net.Conn, error) {
	tb.mu.Lock()
	reject := len(tb.plan) > 0 && tb.plan[0] == refused
	if reject {
		tb.plan = tb.plan[1:]
	}
	tb.mu.Unlock()
	if reject {
		return nil, fmt.Errorf("connection refused")
	}
	client, server := net.Pipe()
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if tb.closed {
		return nil, net.ErrClosed
	}
	tb.conns = append(tb.conns, client, server)
	go tb.serve(server, addr)
	return client, nil
}

// close closes all connections. Load probes that are still to be sent get none.
func (tb *testbed) close() {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.closed = true
	for _, c := range tb.conns {
		_ = c.Close()
	}
}

// reachedBy returns the number of requests and load probes that reached an upstream.
func (tb *testbed) reachedBy(id string) int {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.reached[id]
}

// serve implements the upstream's side of a connection.
func (tb *testbed) serve(c net.Conn, addr string) {
	defer c.Close()
	r := bufio.NewReader(c)
	again := false
	for {
		var req fasthttp.Request
		if _, err := r.Peek(1); err != nil {
			return
		}
		f := healthy
		if head, _ := r.Peek(len("GET /health")); string(head) != "GET /health" {
			f = tb.nextFault()
		}
		if f == cutAtAccept || f == cutInRequest {
			return
		}
		if err := req.Read(r); err != nil {
			return
		}
		tb.mu.Lock()
		if tb.reached != nil {
			tb.reached[addr]++
		}
		probeTime := time.Duration(rand.Float64() * float64(tb.probeTime))
		if d, ok := tb.probeTimes[addr]; ok {
			probeTime = d
		}
		if tb.hanging[addr] {
			f = runAndHang
		}
		load, unresponsive, pausing, leaving := tb.load[addr], tb.unresponsive[addr], tb.pausingProbes || tb.pausing[addr], ""
		if tb.leavingProbes {
			leaving = "Leaving: 1\r\n"
		}
		if v := tb.warmups[addr]; v != "" {
			leaving += "Warmup: " + v + "\r\n"
		}
		tb.mu.Unlock()
		if string(req.Header.RequestURI()) == "/health" {
			if unresponsive {
				continue
			}
			time.Sleep(probeTime)
			if pausing {
				_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nPause: 5s\r\nContent-Length: 0\r\n\r\n")
				return
			}
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance: %s\r\n%sLoad: %d\r\nContent-Length: 0\r\n\r\n", addr, leaving, load); err != nil {
				return
			}
			continue
		}
		if again {
			again = false
			if _, err := io.WriteString(c, rejection); err != nil {
				return
			}
		}
		again = f == shedTwice
		tb.recordHeader(&req.Header)
		if !tb.respond(c, f, string(req.Header.Peek("Id"))) {
			return
		}
	}
}

// recordHeader records the header of a request if headers are recorded.
func (tb *testbed) recordHeader(h *fasthttp.RequestHeader) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if tb.headers != nil {
		tb.headers[string(h.Peek("Id"))] = h.String()
	}
}

// respond responds to one request and reports whether the connection stays
// open.
func (tb *testbed) respond(c net.Conn, f fault, id string) bool {
	write := func(format string, args ...any) bool {
		_, err := fmt.Fprintf(c, format, args...)
		return err == nil
	}
	complete := func(extra string) bool {
		return write("HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\n%sContent-Length: 5\r\n\r\nwhole", id, extra)
	}
	switch f {
	case cutAfterRead:
		return false
	case shed:
		return write("HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
	case shedTwice:
		return write(rejection)
	case shedPause:
		return write("HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nNot-Run: 1\r\nPause: 5s\r\nContent-Length: 0\r\n\r\n", id)
	case shedPauseUnnamed:
		return write("HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nPause: 5s\r\nContent-Length: 0\r\n\r\n")
	case shedPauseCut:
		write("HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nNot-Run: 1\r\nPause: 5s\r\nContent-Length: 9\r\n\r\n", id)
		return false
	case misdirected:
		return write("HTTP/1.1 421 Misdirected Request\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	}
	tb.mu.Lock()
	tb.runs[id]++
	tb.mu.Unlock()
	switch f {
	case runAndCut:
		return false
	case runAndHang:
		time.Sleep(time.Minute)
		return false
	case runSlowly:
		time.Sleep(3 * time.Second)
		return complete("")
	case failed, failedLate:
		if f == failedLate {
			time.Sleep(1499 * time.Millisecond)
		}
		return write("HTTP/1.1 500 Internal Server Error\r\nId: %s\r\nStamp: s\r\nContent-Length: 0\r\n\r\n", id)
	case failedBusy:
		return write("HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nContent-Length: 0\r\n\r\n", id)
	case failedLimit:
		return write("HTTP/1.1 429 Too Many Requests\r\nId: %s\r\nStamp: s\r\nContent-Length: 0\r\n\r\n", id)
	case truncated:
		write("HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nContent-Length: 9\r\n\r\nwho", id)
		return false
	case noLength:
		write("HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nConnection: close\r\n\r\nwhole", id)
		return false
	case garbage:
		write("\x00\x01 not a response\r\n\r\n")
		return false
	case zeroStatus:
		return write("HTTP/1.1 000 OK\r\nId: %s\r\nStamp: s\r\nContent-Length: 5\r\n\r\nwrong", id)
	case blankInName:
		return write("HTTP/1.1 200 OK\r\nOdd Name: 1\r\nId: %s\r\nStamp: s\r\nContent-Length: 5\r\n\r\nwrong", id)
	case emptyLine:
		return write("HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nConnection: close\r\nContent-Length: 5\r\n\nOdd: 1\r\n\r\nwhole", id)
	case unstamped:
		return write("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 5\r\n\r\nother", id)
	case encoded:
		return complete("Content-Encoding: gzip\r\n")
	case excess:
		complete("")
		return write("HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nContent-Length: 5\r\n\r\nagain", id)
	case staleFirst:
		write("HTTP/1.1 200 OK\r\nId: earlier\r\nStamp: s\r\nContent-Length: 5\r\n\r\nstray")
		return complete("")
	case shedPauseStale:
		write("HTTP/1.1 503 Service Unavailable\r\nId: earlier\r\nNot-Run: 1\r\nPause: 5s\r\nContent-Length: 0\r\n\r\n")
		return complete("")
	case leaves:
		return complete("Leaving: 1\r\n")
	case closeAfter:
		complete("Connection: close\r\n")
		return false
	}
	work := tb.work
	if tb.workOf != nil {
		work = tb.workOf(id)
	}
	if kind, after, ok := strings.Cut(string(f), " "); ok && (kind == "late" || kind == "failing" || kind == "head") {
		work, _ = time.ParseDuration(after)
		if kind == "head" {
			time.Sleep(work)
			write("HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nContent-Length: 5\r\n\r\n", id)
			time.Sleep(300 * time.Millisecond)
			return write("whole")
		}
		if kind == "failing" {
			time.Sleep(work)
			return write("HTTP/1.1 500 Internal Server Error\r\nId: %s\r\nStamp: s\r\nContent-Length: 0\r\n\r\n", id)
		}
	}
	time.Sleep(work)
	return complete("")
}

// newTable returns a table with an idempotent route below /read/ and a
// non-idempotent one below /order/.
func newTable(t testing.TB) *router.Table {
	table, err := router.NewTable(router.Spec{
		Version: 1,
		Routes: []router.Route{
			{Name: "read", Host: "h", Prefix: "/read/", Idempotent: true, Attempts: 2, Timeout: 2 * time.Second, Objective: time.Second, Rank: 1, Targets: []router.SplitTarget{{Service: "s", Weight: 1}}},
			{Name: "order", Host: "h", Prefix: "/order/", Attempts: 2, Timeout: 2 * time.Second, Objective: time.Second, Targets: []router.SplitTarget{{Service: "s", Weight: 1}}},
		},
		Services: []router.Service{{Name: "s", HealthPath: "/health"}},
	}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// testSecret is the secret of the entries of the tests.
const testSecret = "secret-of-the-tests"

// newEntry returns an entry in front of n upstreams with three slots each.
func (tb *testbed) newEntry(t testing.TB, n int) *Forwarder {
	f := New(Options{
		Dialect: testDialect{}, Domain: "a", Dial: tb.dial, ProbeRate: 1000, Secret: []byte(testSecret),
		RetryBudget: RetryBudget{Ratio: 1, Allowance: 100, Window: 10 * time.Second},
	})
	f.Configure(newTable(t))
	for i := range n {
		id := fmt.Sprintf("u%d", i)
		f.PutUpstream(placer.Spec{ID: id, Service: "s", Addr: id, Domain: "a", Slots: 3})
	}
	return f
}

// send sends one request and returns its response.
func send(f *Forwarder, path, id string) *fasthttp.Response {
	return sendFrom(context.Background(), f, netip.Addr{}, path, id)
}

// sendFrom sends one request of a caller with an address, which leaves when ctx ends.
func sendFrom(ctx context.Context, f *Forwarder, caller netip.Addr, path, id string) *fasthttp.Response {
	var req fasthttp.Request
	body := (&bufferer.Budget{}).NewBody(bufferer.Requests, nil)
	defer body.Release()
	req.Header.SetMethod("GET")
	if strings.HasPrefix(path, "/order/") {
		req.Header.SetMethod("POST")
		if err := body.ReadAll(strings.NewReader("an order"), 0); err != nil {
			panic(err)
		}
	}
	req.SetRequestURI(path)
	req.Header.SetHost("h")
	req.Header.Set("Id", id)
	req.Header.Set("Wait", "1500ms")
	c := pipeliner.Call{Request: &req, Body: body, Response: fasthttp.AcquireResponse(), ArrivedAt: time.Now(), Caller: caller}
	f.Handle(ctx, &c)
	return c.Response
}
