package relayer

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"poplarwind/claimer"
	"poplarwind/dispatcher"
	"poplarwind/storer"
	"poplarwind/watcher"
)

// fault is a server fault injected into one exchange.
type fault string

// The server faults, in the order of the steps of a call.
const (
	healthy          fault = "healthy"
	connRefused      fault = "connection refused"
	slowConnect      fault = "connection opens after 150 ms"
	resetAtAccept    fault = "reset before reading"
	resetInRequest   fault = "reset during the request"
	resetAfterRead   fault = "reset after the request, call not run"
	runAndReset      fault = "reset while running"
	runAndHang       fault = "hangs while running"
	slowRun          fault = "responds after the deadline"
	failFast         fault = "fails fast"
	shed             fault = "sheds"
	shedRetried      fault = "sheds after a retry of its own"
	truncated        fault = "truncated response"
	noLength         fault = "response without a length"
	truncatedChunked fault = "truncated chunked response"
	garbage          fault = "response is not HTTP"
	zeroStatus       fault = "response with status 000"
	blankInName      fault = "response with a blank in a field name"
	excessBytes      fault = "bytes after the response"
	interimResponse  fault = "interim response first"
	markedDraining   fault = "marked as draining"
	closeAfter       fault = "closes after the response"
	entryPaused      fault = "entry paused while connecting"
)

var serverFaults = []fault{
	healthy, connRefused, slowConnect, resetAtAccept, resetInRequest, resetAfterRead, runAndReset, runAndHang, slowRun,
	failFast, shed, shedRetried, truncated, noLength, truncatedChunked, garbage, zeroStatus, blankInName, excessBytes, interimResponse, markedDraining, closeAfter, entryPaused,
}

// storeFault is a fault injected into one store operation.
type storeFault string

// The store faults.
const (
	storeHealthy      storeFault = "store healthy"
	storeDown         storeFault = "store down"
	storeResponseLost storeFault = "response lost after the write"
	storeDelayedWrite storeFault = "delayed write"
	storeStale        storeFault = "stale read"
	storeSlow         storeFault = "store slow"
	storeEntryPaused  storeFault = "entry paused after the write"
)

var storeFaults = []storeFault{storeHealthy, storeDown, storeResponseLost, storeDelayedWrite, storeStale, storeSlow, storeEntryPaused}

// testbed simulates servers and a store with planned faults.
type testbed struct {
	mu sync.Mutex
	// plan holds the faults of the next exchanges, over all servers.
	plan []fault
	// storePlan holds the faults of the next store operations.
	storePlan []storeFault
	runs      map[string]int
	objects   map[string][]storer.Object
	version   uint64
	conns     []net.Conn
}

func (b *testbed) nextFault() fault {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.plan) == 0 {
		return healthy
	}
	f := b.plan[0]
	b.plan = b.plan[1:]
	return f
}

// pause is how long a paused entry stops: longer than every deadline and
// every wait of the other entry.
const pause = 4 * time.Second

// dial implements Options.Dial. It connects to a simulated server that applies
// the next planned fault.
func (b *testbed) dial(ctx context.Context, _ string) (net.Conn, error) {
	f := b.nextFault()
	if f == connRefused {
		return nil, fmt.Errorf("connection refused")
	}
	if f == slowConnect {
		select {
		case <-time.After(150 * time.Millisecond):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if f == entryPaused {
		time.Sleep(pause)
	}
	client, server := net.Pipe()
	b.mu.Lock()
	b.conns = append(b.conns, client, server)
	b.mu.Unlock()
	go b.serve(server, f)
	return client, nil
}

// close closes all connections.
func (b *testbed) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.conns {
		_ = c.Close()
	}
}

// serve is the server's side of one connection. The fault applies to the first
// exchange; later ones are healthy.
func (b *testbed) serve(c net.Conn, f fault) {
	defer c.Close()
	if f == resetAtAccept {
		return
	}
	r := bufio.NewReader(c)
	if f == resetInRequest {
		_, _ = r.ReadByte()
		return
	}
	for {
		var req fasthttp.Request
		if err := req.Read(r); err != nil {
			return
		}
		if !b.reply(c, &req, f) {
			return
		}
		f = healthy
	}
}

func (b *testbed) countRun(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[id]++
}

// reply responds to one request and reports whether the connection stays open.
func (b *testbed) reply(c net.Conn, req *fasthttp.Request, f fault) bool {
	id := string(req.Header.Peek("Request-Id"))
	body := responseBody(id)
	complete := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	write := func(s string) { _, _ = c.Write([]byte(s)) }
	switch f {
	case resetAfterRead:
		return false
	case failFast:
		write("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
		return true
	case shed:
		write("HTTP/1.1 503 Full\r\nServer-Shed: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	case shedRetried:
		write("HTTP/1.1 503 Full\r\nServer-Shed: 1\r\n" + HeaderSpent + ": 1\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	b.countRun(id)
	switch f {
	case runAndReset:
		return false
	case runAndHang:
		time.Sleep(time.Minute)
		return false
	case slowRun:
		time.Sleep(1500 * time.Millisecond)
		write(complete)
	case truncated:
		write(complete[:len(complete)-4])
		return false
	case noLength:
		write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body[:len(body)-4])
		return false
	case truncatedChunked:
		write(fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body))
		return false
	case garbage:
		write("+OK 42\n\n\n\n")
		return false
	case zeroStatus:
		write("HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nother")
	case blankInName:
		write("HTTP/1.1 200 OK\r\nOdd Name: 1\r\nContent-Length: 5\r\n\r\nother")
	case excessBytes:
		write(complete + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother")
	case interimResponse:
		write("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + complete)
	case closeAfter:
		time.Sleep(5 * time.Millisecond)
		write(strings.Replace(complete, "\r\n", "\r\nConnection: close\r\n", 1))
		return false
	case markedDraining:
		write(strings.Replace(complete, "\r\n", "\r\nServer-Leaving: 1\r\n", 1))
	default:
		write(complete)
	}
	return true
}

func responseBody(id string) string { return "complete response to " + id }

// Get implements claimer.Store.
func (b *testbed) Get(ctx context.Context, path string) (storer.Object, error) {
	f := b.nextStoreFault(ctx)
	b.mu.Lock()
	defer b.mu.Unlock()
	if f == storeDown || f == storeResponseLost || f == storeDelayedWrite {
		return storer.Object{}, storer.ErrUnavailable
	}
	v := b.objects[path]
	if f == storeStale && len(v) > 0 {
		v = v[:len(v)-1]
	}
	if len(v) == 0 {
		return storer.Object{}, storer.ErrNotFound
	}
	return v[len(v)-1], nil
}

func (b *testbed) nextStoreFault(ctx context.Context) storeFault {
	b.mu.Lock()
	f := storeHealthy
	if len(b.storePlan) > 0 {
		f = b.storePlan[0]
		b.storePlan = b.storePlan[1:]
	}
	b.mu.Unlock()
	d := 2 * time.Millisecond
	if f == storeSlow {
		d = 120 * time.Millisecond
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
		// The operation was sent and takes effect although the caller gave up.
		return storeResponseLost
	}
	return f
}

// Put implements claimer.Store.
func (b *testbed) Put(ctx context.Context, path string, data []byte, expect uint64) (storer.Revision, error) {
	switch b.nextStoreFault(ctx) {
	case storeDown:
		return storer.Revision{}, storer.ErrUnavailable
	case storeResponseLost:
		_, _ = b.apply(path, data, expect)
		return storer.Revision{}, storer.ErrUnavailable
	case storeEntryPaused:
		v, err := b.apply(path, data, expect)
		time.Sleep(pause)
		return v, err
	case storeDelayedWrite:
		data = slices.Clone(data)
		time.AfterFunc(300*time.Millisecond, func() { _, _ = b.apply(path, data, expect) })
		return storer.Revision{}, storer.ErrUnavailable
	}
	return b.apply(path, data, expect)
}

// Era implements claimer.Store.
func (b *testbed) Era() uint64 { return 0 }

func (b *testbed) apply(path string, data []byte, expect uint64) (storer.Revision, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var current uint64
	if v := b.objects[path]; len(v) > 0 {
		current = v[len(v)-1].Version
	}
	if current != expect {
		return storer.Revision{}, storer.ErrConflict
	}
	b.version++
	b.objects[path] = append(b.objects[path], storer.Object{Path: path, Version: b.version, Data: slices.Clone(data)})
	return storer.Revision{Version: b.version}, nil
}

const testSettings = `{"slots": 2, "shed": true, "deadline": "1s", "hedge": 0.2, "retry": 0.5}`

// entry returns a Relayer that uses the testbed's servers and store.
func (b *testbed) entry(ctx context.Context, name string) *Relayer {
	return b.entryWithLimit(ctx, name, 0)
}

// entryWithLimit returns an entry with at most the given number of calls in
// flight.
func (b *testbed) entryWithLimit(ctx context.Context, name string, calls int) *Relayer {
	c := claimer.New(b, name)
	go func() { _ = c.Run(ctx) }()
	r := New(Options{MaxCalls: calls, Claimer: c, Dial: b.dial})
	var cache watcher.Cache
	e := fmt.Sprintf(`{"id":"1","doc":%q}`, testSettings)
	cache.Apply(storer.Object{Path: storer.Prefix + "/t/s", Version: 1, Data: []byte(e)})
	r.Configure(cache.Snapshot())
	r.Service("/t/s").Update(func(_ time.Time, d *dispatcher.Dispatcher) {
		for _, n := range []string{"s1", "s2", "s3"} {
			d.Add(n, n, "a", true, false)
		}
	})
	return r
}

// warmCalls is the number of warm-up calls, which earn budget for retries and
// hedges and set the average latency.
const warmCalls = 20

// warmEntry returns an entry that has served calls and has no open
// connections.
func (b *testbed) warmEntry(ctx context.Context, name string) *Relayer {
	r := b.entry(ctx, name)
	b.plan = slices.Repeat([]fault{closeAfter}, warmCalls)
	for range warmCalls {
		send(r, "GET", "warm", "")
	}
	return r
}
