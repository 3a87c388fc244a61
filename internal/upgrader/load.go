package upgrader

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/platform/imitator"
)

// callerDeadline is the deadline of requests.
const callerDeadline = 2 * time.Second

// Load is a set of callers that send requests to the entries of a fleet at random, as those
// of the platform do: a request that was certainly not run, and any idempotent one, is sent
// once more to another entry.
type Load struct {
	fleet *Fleet
	// number is that of the load of the fleet, which its requests have in their IDs.
	number int
	client fasthttp.Client
	stop   chan struct{}
	done   sync.WaitGroup

	mu       sync.Mutex
	requests []Request
}

// Request is the outcome of one request of a caller.
type Request struct {
	ID         string
	Idempotent bool
	// Status is that of the response, 0 without one, and Body its body.
	Status int
	Body   string
	// Served reports whether this request, or the one that repeated it, was served.
	Served bool
	// Repeat is set for a request that repeats another one.
	Repeat bool
}

// NewLoad starts callers that send the given number of requests a second together.
func NewLoad(f *Fleet, rate int) *Load {
	f.loads++
	l := &Load{fleet: f, number: f.loads, stop: make(chan struct{})}
	l.client = fasthttp.Client{MaxIdemponentCallAttempts: 1, MaxConnsPerHost: 1000, RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}
	l.done.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-l.stop:
				return
			case <-time.After(time.Second / time.Duration(rate)):
			}
			l.done.Go(func() { l.call(n) })
		}
	})
	return l
}

// Stop ends the load and returns all requests.
func (l *Load) Stop() []Request {
	close(l.stop)
	l.done.Wait()
	return l.requests
}

// call sends one request and, if it may be repeated, once more to another entry.
func (l *Load) call(n int) {
	entries := l.fleet.Entries()
	i := rand.IntN(len(entries))
	r := l.send(entries[i], fmt.Sprintf("r%d-%d", l.number, n), n%2 == 0)
	if !r.Served && (r.Idempotent || r.Status == fasthttp.StatusServiceUnavailable || r.Status == 0 && r.Body == "") {
		second := l.send(entries[(i+1+rand.IntN(len(entries)-1))%len(entries)], r.ID+"b", r.Idempotent)
		r.Served, second.Repeat = second.Served, true
		l.record(second)
	}
	l.record(r)
}

func (l *Load) record(r Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
}

// send sends one request. The body of an outcome without a response is "sent" if the entry
// may have read the request.
func (l *Load) send(e *Entry, id string, idempotent bool) Request {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	path := orderPath
	if idempotent {
		path = readPath
	} else {
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBodyString("an order")
	}
	req.SetRequestURI("http://" + e.Callers + path + id)
	req.Header.SetHost(host)
	req.UseHostHeader = true
	imitator.SetRequest(&req.Header, id, callerDeadline)
	out := Request{ID: id, Idempotent: idempotent}
	if err := l.client.DoTimeout(req, resp, callerDeadline+time.Second); err != nil {
		if !unread(err) {
			out.Body = "sent"
		}
		return out
	}
	out.Status, out.Body = resp.StatusCode(), string(resp.Body())
	out.Served = out.Status == fasthttp.StatusOK
	return out
}

// unread reports whether an error means that the entry did not read the request: the
// connection was refused, or closed before any byte of a response.
func unread(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, fasthttp.ErrConnectionClosed) || errors.Is(err, syscall.ECONNRESET)
}
