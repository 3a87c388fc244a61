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
	"poplarwind/keeper"
	"poplarwind/watcher"
)

// fault is what goes wrong at one server in one exchange.
type fault string

// The faults of servers, in the order of the steps of a call.
const (
	healthy      fault = "healthy"
	refused      fault = "connection refused"
	slowConnect  fault = "connection opens late"
	cutAtAccept  fault = "reset before reading"
	cutInRequest fault = "reset within the request"
	cutAfterRead fault = "reset after the request, not run"
	runAndCut    fault = "killed while running"
	runAndHang   fault = "frozen while running"
	runSlowly    fault = "answers after the deadline"
	failFast     fault = "fails fast"
	shed         fault = "sheds"
	truncated    fault = "answer cut off"
	lengthless   fault = "answer without a length"
	cutInChunks  fault = "chunked answer cut off"
	garbage      fault = "answer is not HTTP"
	excess       fault = "bytes after the answer"
	interim      fault = "interim answer first"
	leaving      fault = "marked as leaving"
	hangUp       fault = "closes after the answer"
	asleep       fault = "entry asleep while connecting"
)

var serverFaults = []fault{
	healthy, refused, slowConnect, cutAtAccept, cutInRequest, cutAfterRead, runAndCut, runAndHang, runSlowly,
	failFast, shed, truncated, lengthless, cutInChunks, garbage, excess, interim, leaving, hangUp, asleep,
}

// storeFault is what goes wrong in one call on the store.
type storeFault string

// The faults of the store.
const (
	storeWell    storeFault = "store well"
	storeDown    storeFault = "store down"
	storeLost    storeFault = "answer lost after effect"
	storeDelayed storeFault = "write takes effect later"
	storeStale   storeFault = "stale read"
	storeSlow    storeFault = "store slow"
	storeAsleep  storeFault = "entry asleep after effect"
)

var storeFaults = []storeFault{storeWell, storeDown, storeLost, storeDelayed, storeStale, storeSlow, storeAsleep}

// world is a few servers and a store that go wrong by plan.
type world struct {
	mu sync.Mutex
	// plan holds the faults of the coming exchanges, over all servers.
	plan []fault
	// storePlan holds the faults of the coming calls on the store.
	storePlan []storeFault
	runs      map[string]int
	objects   map[string][]keeper.Object
	version   uint64
	closing   []net.Conn
}

func (w *world) nextFault() fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.plan) == 0 {
		return healthy
	}
	f := w.plan[0]
	w.plan = w.plan[1:]
	return f
}

// sleep is how long a paused entry sleeps: past every deadline and every wait
// of the other entry.
const sleep = 4 * time.Second

// open plays the network: it connects to a server that goes wrong by plan.
func (w *world) open(ctx context.Context, _ string) (net.Conn, error) {
	f := w.nextFault()
	if f == refused {
		return nil, fmt.Errorf("connection refused")
	}
	if f == slowConnect {
		select {
		case <-time.After(150 * time.Millisecond):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if f == asleep {
		time.Sleep(sleep)
	}
	near, far := net.Pipe()
	w.mu.Lock()
	w.closing = append(w.closing, near, far)
	w.mu.Unlock()
	go w.serve(far, f)
	return near, nil
}

// shut closes all connections.
func (w *world) shut() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.closing {
		_ = c.Close()
	}
}

// serve plays one server's side of a connection; later exchanges on it are
// healthy.
func (w *world) serve(c net.Conn, f fault) {
	defer c.Close()
	if f == cutAtAccept {
		return
	}
	r := bufio.NewReader(c)
	if f == cutInRequest {
		_, _ = r.ReadByte()
		return
	}
	for {
		var req fasthttp.Request
		if err := req.Read(r); err != nil {
			return
		}
		if !w.reply(c, &req, f) {
			return
		}
		f = healthy
	}
}

func (w *world) run(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id]++
}

// reply answers one request and reports whether the connection stays open.
func (w *world) reply(c net.Conn, req *fasthttp.Request, f fault) bool {
	id := string(req.Header.Peek("Request-Id"))
	body := answerTo(id)
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	say := func(s string) { _, _ = c.Write([]byte(s)) }
	switch f {
	case cutAfterRead:
		return false
	case failFast:
		say("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
		return true
	case shed:
		say("HTTP/1.1 503 Full\r\nServer-Shed: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	w.run(id)
	switch f {
	case runAndCut:
		return false
	case runAndHang:
		time.Sleep(time.Minute)
		return false
	case runSlowly:
		time.Sleep(1500 * time.Millisecond)
		say(whole)
	case truncated:
		say(whole[:len(whole)-4])
		return false
	case lengthless:
		say("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body[:len(body)-4])
		return false
	case cutInChunks:
		say(fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body))
		return false
	case garbage:
		say("+OK 42\n\n\n\n")
		return false
	case excess:
		say(whole + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother")
	case interim:
		say("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + whole)
	case hangUp:
		time.Sleep(5 * time.Millisecond)
		say(strings.Replace(whole, "\r\n", "\r\nConnection: close\r\n", 1))
		return false
	case leaving:
		say(strings.Replace(whole, "\r\n", "\r\nServer-Leaving: 1\r\n", 1))
	default:
		say(whole)
	}
	return true
}

func answerTo(id string) string { return "whole answer to " + id }

// Get implements claimer.Store.
func (w *world) Get(ctx context.Context, path string) (keeper.Object, error) {
	f := w.storeStep(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	if f == storeDown || f == storeLost || f == storeDelayed {
		return keeper.Object{}, keeper.ErrUnavailable
	}
	v := w.objects[path]
	if f == storeStale && len(v) > 0 {
		v = v[:len(v)-1]
	}
	if len(v) == 0 {
		return keeper.Object{}, keeper.ErrAbsent
	}
	return v[len(v)-1], nil
}

func (w *world) storeStep(ctx context.Context) storeFault {
	w.mu.Lock()
	f := storeWell
	if len(w.storePlan) > 0 {
		f = w.storePlan[0]
		w.storePlan = w.storePlan[1:]
	}
	w.mu.Unlock()
	d := 2 * time.Millisecond
	if f == storeSlow {
		d = 120 * time.Millisecond
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
		// The call is on its way all the same.
		return storeLost
	}
	return f
}

// Put implements claimer.Store.
func (w *world) Put(ctx context.Context, path string, data []byte, expect uint64) (uint64, error) {
	switch w.storeStep(ctx) {
	case storeDown:
		return 0, keeper.ErrUnavailable
	case storeLost:
		_, _ = w.apply(path, data, expect)
		return 0, keeper.ErrUnavailable
	case storeAsleep:
		v, err := w.apply(path, data, expect)
		time.Sleep(sleep)
		return v, err
	case storeDelayed:
		data = slices.Clone(data)
		time.AfterFunc(300*time.Millisecond, func() { _, _ = w.apply(path, data, expect) })
		return 0, keeper.ErrUnavailable
	}
	return w.apply(path, data, expect)
}

func (w *world) apply(path string, data []byte, expect uint64) (uint64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var now uint64
	if v := w.objects[path]; len(v) > 0 {
		now = v[len(v)-1].Version
	}
	if now != expect {
		return 0, keeper.ErrConflict
	}
	w.version++
	w.objects[path] = append(w.objects[path], keeper.Object{Path: path, Version: w.version, Data: slices.Clone(data)})
	return w.version, nil
}

const testSettings = `{"slots": 2, "shed": true, "deadline": "1s", "hedge": 0.2, "retry": 0.5}`

// entry is one relayer over the world's servers and store.
func (w *world) entry(ctx context.Context, name string) *Relayer { return w.entryOf(ctx, name, 0) }

// entryOf is an entry that holds so many calls at once.
func (w *world) entryOf(ctx context.Context, name string, calls int) *Relayer {
	c := claimer.New(w, name)
	go func() { _ = c.Run(ctx) }()
	r := New(Options{Calls: calls, Claims: c, Open: w.open})
	var b watcher.Book
	e := fmt.Sprintf(`{"id":"1","doc":%q}`, testSettings)
	b.Offer(keeper.Object{Path: keeper.Prefix + "/t/s", Version: 1, Data: []byte(e)})
	r.Configure(b.View())
	r.Service("/t/s").Update(func(_ time.Time, d *dispatcher.Dispatcher) {
		for _, n := range []string{"s1", "s2", "s3"} {
			d.Add(n, n, "a", true, false)
		}
	})
	return r
}

// warmCalls earn budget for retries and hedges, and tell what is typical.
const warmCalls = 20

// warmEntry is an entry that has served calls and has no connection left.
func (w *world) warmEntry(ctx context.Context, name string) *Relayer {
	r := w.entry(ctx, name)
	w.plan = slices.Repeat([]fault{hangUp}, warmCalls)
	for range warmCalls {
		send(r, "GET", "warm", "")
	}
	return r
}
