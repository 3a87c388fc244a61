package faker

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/pooler"
	"poplarwind/relayer"
	"poplarwind/resolver"
	"poplarwind/storer"
)

// Caller is a fake caller: it resolves a service to entries, caches the response
// until its TTL expires, and sends its calls to these entries. It follows the
// rules of the callers' documentation: it retries only calls that are reported
// as not run, that are idempotent, or that have an idempotency key.
type Caller struct {
	// Entries are the seed addresses, queried after the entries of an expired
	// response.
	Entries []string
	// MaxAttempts is the greatest number of attempts for one call, 0 meaning 3.
	MaxAttempts int

	pool pooler.Pool
	mu   sync.Mutex
	// cached is keyed by service.
	cached map[string]cachedEntries
}

// cachedEntries holds the entries of a service and the time at which they
// expire.
type cachedEntries struct {
	entries []string
	expires time.Time
}

// Request is one call of a Caller.
type Request struct {
	Method, URI, Service string
	// ID is unique to the call. An idempotency key makes a retry safe.
	ID, Key    string
	Idempotent bool
	Body       []byte
	Deadline   time.Duration
	// Header holds additional headers, by name.
	Header map[string]string
}

// Outcome is the outcome of a call, as its caller sees it.
type Outcome struct {
	Status int
	Ran    string
	Body   string
	Replay bool
	// Attempts counts attempts, and Entry is the address that the last one used.
	Attempts int
	Entry    string
	Err      error
}

const (
	callerConns    = 1024
	resolveTimeout = 300 * time.Millisecond
	// responseGrace is the time after a call's deadline in which a response is
	// still awaited.
	responseGrace = 200 * time.Millisecond
)

// Do sends one call, with retries, and returns the outcome of the last attempt. Its
// Ran is that of the whole call.
func (c *Caller) Do(r Request) Outcome {
	end := time.Now().Add(r.Deadline)
	var last Outcome
	mayHaveRun := false
	for n := 1; n <= max(1, c.maxAttempts()); n++ {
		entries := c.resolve(r.Service)
		if len(entries) == 0 {
			last = combine(mayHaveRun, Outcome{Ran: "no", Err: errors.New("no entry resolves the service"), Attempts: last.Attempts}, r.Key)
			continue
		}
		entry := entries[(n-1)%len(entries)]
		outcome := c.send(entry, r, end, n == 1)
		outcome.Attempts, outcome.Entry = n, entry
		last = combine(mayHaveRun, outcome, r.Key)
		mayHaveRun = mayHaveRun || outcome.Ran != "no"
		if outcome.Err != nil {
			c.invalidate(r.Service)
		}
		if outcome.Ran == "yes" || time.Now().After(end) {
			return last
		}
		if outcome.Ran != "no" && !r.Idempotent && r.Key == "" {
			return last
		}
	}
	return last
}

// combine returns the outcome of a call whose last attempt had an outcome and whose
// earlier attempts may have run. Only an entry knows of earlier attempts, by the key.
func combine(mayHaveRun bool, o Outcome, key string) Outcome {
	if mayHaveRun && o.Ran == "no" && (o.Err != nil || key == "") {
		o.Ran = "unknown"
	}
	return o
}

func (c *Caller) maxAttempts() int {
	if c.MaxAttempts == 0 {
		return 3
	}
	return c.MaxAttempts
}

// send makes one attempt at one entry.
func (c *Caller) send(addr string, r Request, end time.Time, first bool) Outcome {
	ctx, cancel := context.WithDeadline(context.Background(), end.Add(responseGrace))
	defer cancel()
	conn, err := c.pool.Get(ctx, addr, callerConns, !r.Idempotent)
	if err != nil {
		return Outcome{Ran: "no", Err: err}
	}
	conn.SetDeadline(end.Add(responseGrace))
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
	for name, value := range r.Header {
		req.Header.Set(name, value)
	}
	req.SetBody(r.Body)
	err = conn.Send(req)
	if err == nil {
		err = conn.Receive(resp, r.Method == "HEAD", 8<<20)
	}
	if err != nil {
		ran := "no"
		if conn.Written() {
			ran = "unknown"
		}
		c.pool.Discard(conn)
		return Outcome{Ran: ran, Err: err}
	}
	outcome := Outcome{Status: resp.StatusCode(), Ran: string(resp.Header.Peek(relayer.HeaderRan)), Body: string(resp.Body())}
	outcome.Replay = len(resp.Header.Peek(relayer.HeaderReplay)) > 0
	if resp.ConnectionClose() {
		c.pool.Discard(conn)
	} else {
		c.pool.Put(conn)
	}
	return outcome
}

// invalidate drops the cached entries of a service.
func (c *Caller) invalidate(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cached, service)
}

// resolve returns the entries to try for a service, in order.
func (c *Caller) resolve(service string) []string {
	c.mu.Lock()
	hit, ok := c.cached[service]
	c.mu.Unlock()
	if ok && time.Now().Before(hit.expires) {
		return hit.entries
	}
	addrs := append(append([]string(nil), hit.entries...), c.Entries...)
	for _, addr := range addrs {
		resolved, err := c.query(addr, service)
		if err != nil || len(resolved.Entries) == 0 {
			continue
		}
		hit = cachedEntries{expires: time.Now().Add(time.Duration(resolved.TTL) * time.Millisecond)}
		for _, e := range resolved.Entries {
			hit.entries = append(hit.entries, e.Addr)
		}
		c.mu.Lock()
		if c.cached == nil {
			c.cached = make(map[string]cachedEntries)
		}
		c.cached[service] = hit
		c.mu.Unlock()
		return hit.entries
	}
	return nil
}

func (c *Caller) query(addr, service string) (resolver.Response, error) {
	var resolved resolver.Response
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + resolver.EntriesPath + "?service=" + service)
	if err := fasthttp.DoTimeout(req, resp, resolveTimeout); err != nil {
		return resolved, errors.Trace(err)
	}
	return resolved, errors.Trace(json.Unmarshal(resp.Body(), &resolved))
}

// NewRequestID returns a unique request ID.
func NewRequestID() string { return storer.NewID() }
