package faker

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/keeper"
	"poplarwind/pooler"
	"poplarwind/relayer"
	"poplarwind/resolver"
)

// Caller is a stand-in for a caller: it asks entries which of them to use,
// keeps the answer for its time, and connects there. It follows the rules of
// the callers' page: it tries again only what it was told did not run, what
// is idempotent, and what carries a key.
type Caller struct {
	// Entries are addresses to ask first.
	Entries []string
	// Tries bounds the sendings of one call, 0 meaning 3.
	Tries int

	pool pooler.Pool
	mu   sync.Mutex
	// known is keyed by service.
	known map[string]known
}

type known struct {
	entries []string
	until   time.Time
}

// Request is one call of a Caller.
type Request struct {
	Method, URI, Service string
	// ID is unique to the call. A key makes a repeated sending safe.
	ID, Key    string
	Idempotent bool
	Body       []byte
	Deadline   time.Duration
	// Header holds more headers, by name.
	Header map[string]string
}

// Answer is what a caller was told.
type Answer struct {
	Status int
	Ran    string
	Body   string
	Replay bool
	// Sent counts sendings, and Entry is the address of the last.
	Sent  int
	Entry string
	Err   error
}

const (
	callerConns = 1024
	resolveWait = 300 * time.Millisecond
	grace       = 200 * time.Millisecond
)

// Do sends one call and returns what its caller was told in the end.
func (c *Caller) Do(r Request) Answer {
	end := time.Now().Add(r.Deadline)
	var last Answer
	for n := 1; n <= max(1, c.tries()); n++ {
		entries := c.resolve(r.Service)
		if len(entries) == 0 {
			last = Answer{Ran: "no", Err: errors.New("no entry answers"), Sent: last.Sent}
			continue
		}
		entry := entries[(n-1)%len(entries)]
		a := c.send(entry, r, end, n == 1)
		a.Sent, a.Entry = n, entry
		last = a
		if a.Err != nil {
			c.forget(r.Service)
		}
		if a.Ran == "yes" || time.Now().After(end) {
			return a
		}
		if a.Ran != "no" && !r.Idempotent && r.Key == "" {
			return a
		}
	}
	return last
}

func (c *Caller) tries() int {
	if c.Tries == 0 {
		return 3
	}
	return c.Tries
}

// send makes one sending to one entry.
func (c *Caller) send(addr string, r Request, end time.Time, first bool) Answer {
	ctx, cancel := context.WithDeadline(context.Background(), end.Add(grace))
	defer cancel()
	conn, err := c.pool.Get(ctx, addr, callerConns, !r.Idempotent)
	if err != nil {
		return Answer{Ran: "no", Err: err}
	}
	conn.Deadline(end.Add(grace))
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(r.Method)
	req.SetRequestURI(r.URI)
	req.Header.SetHost(addr)
	req.Header.Set("Request-Id", r.ID)
	req.Header.Set(relayer.HeaderDeadline, time.Until(end).String())
	if r.Key != "" {
		req.Header.Set(relayer.HeaderKey, r.Key)
		if first {
			req.Header.Set(relayer.HeaderFirst, "1")
		}
	}
	for k, v := range r.Header {
		req.Header.Set(k, v)
	}
	req.SetBody(r.Body)
	err = conn.Send(req)
	if err == nil {
		err = conn.Receive(resp, r.Method == "HEAD", 8<<20)
	}
	if err != nil {
		ran := "no"
		if conn.Wrote() {
			ran = "unknown"
		}
		c.pool.Drop(conn)
		return Answer{Ran: ran, Err: err}
	}
	a := Answer{Status: resp.StatusCode(), Ran: string(resp.Header.Peek(relayer.HeaderRan)), Body: string(resp.Body())}
	a.Replay = len(resp.Header.Peek(relayer.HeaderReplay)) > 0
	if resp.ConnectionClose() {
		c.pool.Drop(conn)
	} else {
		c.pool.Put(conn)
	}
	return a
}

func (c *Caller) forget(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.known, service)
}

// resolve returns the entries to try for a service, in order.
func (c *Caller) resolve(service string) []string {
	c.mu.Lock()
	k, ok := c.known[service]
	c.mu.Unlock()
	if ok && time.Now().Before(k.until) {
		return k.entries
	}
	ask := append(append([]string(nil), k.entries...), c.Entries...)
	for _, addr := range ask {
		a, err := c.ask(addr, service)
		if err != nil || len(a.Entries) == 0 {
			continue
		}
		k = known{until: time.Now().Add(time.Duration(a.TTL) * time.Millisecond)}
		for _, e := range a.Entries {
			k.entries = append(k.entries, e.Addr)
		}
		c.mu.Lock()
		if c.known == nil {
			c.known = make(map[string]known)
		}
		c.known[service] = k
		c.mu.Unlock()
		return k.entries
	}
	return nil
}

func (c *Caller) ask(addr, service string) (resolver.Answer, error) {
	var a resolver.Answer
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + resolver.Path + "?service=" + service)
	if err := fasthttp.DoTimeout(req, resp, resolveWait); err != nil {
		return a, errors.Trace(err)
	}
	return a, errors.Trace(json.Unmarshal(resp.Body(), &a))
}

// NewRequestID returns an id that no other call has.
func NewRequestID() string { return keeper.NewID() }
