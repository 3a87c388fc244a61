package storer

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/internal/scanner"
)

const (
	defaultTimeout   = 3 * time.Second
	maxResponseBytes = 8 << 20
)

// Client accesses the platform over HTTP. It does not retry calls.
type Client struct {
	addr    string
	timeout time.Duration
	http    fasthttp.Client
	// calls, writes and bytes are the counters that Usage returns.
	calls, writes, bytes atomic.Int64
	// era is the latest era of the store that a response has named.
	era atomic.Uint64
}

// NewClient returns a client of the platform at addr, an IP address and a port.
// A timeout of 0 means three seconds.
func NewClient(addr string, timeout time.Duration) *Client {
	if timeout == 0 {
		timeout = defaultTimeout
	}
	return &Client{addr: addr, timeout: timeout, http: fasthttp.Client{
		DialTimeout:               scanner.Dial(nil),
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxResponseBodySize:       maxResponseBytes,
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
	}}
}

// Usage counts the calls to the platform since the client was created.
type Usage struct {
	// Calls counts all calls, Writes only those that write.
	Calls  int64 `json:"calls"`
	Writes int64 `json:"writes"`
	// Bytes counts the bytes of request and response bodies.
	Bytes int64 `json:"bytes"`
}

// Usage returns the counters of calls to the platform.
func (c *Client) Usage() Usage {
	return Usage{Calls: c.calls.Load(), Writes: c.writes.Load(), Bytes: c.bytes.Load()}
}

// Era returns the latest era of the store that a response has named.
func (c *Client) Era() uint64 { return c.era.Load() }

func (c *Client) observeEra(era uint64) {
	for {
		known := c.era.Load()
		if era <= known || c.era.CompareAndSwap(known, era) {
			return
		}
	}
}

// Get implements Reader.
func (c *Client) Get(ctx context.Context, path string) (Object, error) {
	return c.GetVersion(ctx, path, 0)
}

// GetVersion implements Reader.
func (c *Client) GetVersion(ctx context.Context, path string, version uint64) (Object, error) {
	q := url.Values{"path": {path}}
	if version > 0 {
		q.Set("version", strconv.FormatUint(version, 10))
	}
	var o Object
	err := c.call(ctx, "GET", "/v1/object", q, nil, &o)
	return o, err
}

// Versions implements Reader.
func (c *Client) Versions(ctx context.Context, path string) ([]VersionRef, error) {
	var refs []VersionRef
	err := c.call(ctx, "GET", "/v1/versions", url.Values{"path": {path}}, nil, &refs)
	return refs, err
}

// List implements Reader.
func (c *Client) List(ctx context.Context, prefix string) ([]VersionRef, error) {
	var refs []VersionRef
	err := c.call(ctx, "GET", "/v1/list", url.Values{"prefix": {prefix}}, nil, &refs)
	return refs, err
}

// Watch implements Reader.
func (c *Client) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Batch, error) {
	q := url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatUint(after.Version, 10)},
		"era":    {strconv.FormatUint(after.Era, 10)},
		"wait":   {wait.String()},
	}
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	var b Batch
	err := c.call(ctx, "GET", "/v1/watch", q, nil, &b)
	c.observeEra(b.Era)
	return b, err
}

// Put implements Writer.
func (c *Client) Put(ctx context.Context, path string, data []byte, expect uint64) (Revision, error) {
	c.writes.Add(1)
	q := url.Values{"path": {path}, "expect": {strconv.FormatUint(expect, 10)}}
	var ref VersionRef
	err := c.call(ctx, "PUT", "/v1/object", q, data, &ref)
	c.observeEra(ref.Era)
	return ref.Revision(), err
}

// Instances implements Lister.
func (c *Client) Instances(ctx context.Context, tag string) ([]Instance, string, error) {
	result := struct {
		Tag  string     `json:"tag"`
		List []Instance `json:"list"`
	}{}
	err := c.call(ctx, "GET", "/v1/instances", url.Values{"known": {tag}}, nil, &result)
	return result.List, result.Tag, err
}

// response is the result of one HTTP exchange with the platform.
type response struct {
	status int
	body   []byte
	err    error
}

// call sends one request and decodes the response into dst. It returns when ctx
// ends, even if the exchange is still in progress.
func (c *Client) call(ctx context.Context, method, path string, q url.Values, body []byte, dst any) error {
	c.calls.Add(1)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(c.timeout)
	}
	done := make(chan response, 1)
	go func() { done <- c.exchange(method, "http://"+c.addr+path+"?"+q.Encode(), body, deadline) }()
	var r response
	select {
	case r = <-done:
	case <-ctx.Done():
		r.err = ctx.Err()
	}
	if r.err != nil {
		return errors.Annotatef(errors.WithType(r.err, ErrUnavailable), "%v: %s %s", ErrUnavailable, method, path)
	}
	c.bytes.Add(int64(len(r.body) + len(body)))
	switch {
	case r.status == fasthttp.StatusPreconditionFailed:
		return errors.Trace(ErrConflict)
	case r.status == fasthttp.StatusNotModified:
		return errors.Trace(ErrUnchanged)
	case r.status == fasthttp.StatusNotFound:
		return errors.Trace(ErrNotFound)
	case r.status >= 500:
		return errors.Annotatef(ErrUnavailable, "status %d", r.status)
	case r.status >= 400:
		return errors.Annotatef(ErrRejected, "status %d: %s", r.status, r.body)
	}
	if err := json.Unmarshal(r.body, dst); err != nil {
		return errors.WithType(errors.Annotate(err, "answer of the platform"), ErrUnavailable)
	}
	return nil
}

// exchange sends one request and reads the response, until deadline.
func (c *Client) exchange(method, uri string, body []byte, deadline time.Time) response {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(uri)
	req.SetBody(body)
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return response{err: err}
	}
	return response{status: resp.StatusCode(), body: append([]byte(nil), resp.Body()...)}
}
