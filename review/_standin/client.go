package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"
)

// get makes one GET call on a connection of its own.
func get(address, path string, limit time.Duration) (int, []byte, error) {
	c, err := net.DialTimeout("tcp", address, limit)
	if err != nil {
		return 0, nil, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(limit))
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, address); err != nil {
		return 0, nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}

// resolver asks the directory where to connect, as a client does.
type resolver struct {
	site       *site
	host, zone string

	mu      sync.Mutex
	list    []string
	expires time.Time
}

// address returns the address of an entry to connect to, other than the one that failed.
func (r *resolver) address(failed string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().After(r.expires) {
		r.refresh()
	}
	var out []string
	for _, a := range r.list {
		if a != failed {
			out = append(out, a)
		}
	}
	if len(out) == 0 {
		out = r.list
	}
	if len(out) == 0 {
		return ""
	}
	return out[rand.N(len(out))]
}

// valid reports whether an address is still in the last response.
func (r *resolver) valid(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.list {
		if a == address {
			return true
		}
	}
	return false
}

func (r *resolver) refresh() {
	path := "/poplarwind/resolve?name=" + url.QueryEscape(r.host) + "&region=home&zone=" + url.QueryEscape(r.zone)
	// Nearest first: those of the own zone, then the others.
	var near, far []*entry
	for _, e := range r.site.entries {
		if e.zone == r.zone {
			near = append(near, e)
		} else {
			far = append(far, e)
		}
	}
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	for i, e := range append(near, far...) {
		if i == 3 {
			return
		}
		status, body, err := get(e.directory, path, time.Second)
		var answer struct {
			Addresses []string `json:"addresses"`
			TTL       float64  `json:"ttl_s"`
		}
		if err != nil || status != 200 || json.Unmarshal(body, &answer) != nil || len(answer.Addresses) == 0 {
			continue
		}
		r.list, r.expires = answer.Addresses, time.Now().Add(time.Duration(min(answer.TTL, 5)*float64(time.Second)))
		return
	}
}

// request is one client attempt.
type request struct {
	id, method, path string
	deadline         time.Duration
	body             []byte
}

// result is how a client attempt ended.
type result struct {
	status int
	// err is set if the connection ended, or the time passed, without a whole answer.
	err error
	// timeout is set if the time passed.
	timeout bool
	entry   string
	// kept is set if the request was sent on a connection that is kept open.
	kept bool
}

func (r result) String() string {
	if r.err != nil {
		return "no answer: " + r.err.Error()
	}
	return fmt.Sprint("status ", r.status)
}

// conn is a connection to an entry.
type conn struct {
	net   net.Conn
	read  *bufio.Reader
	entry string
	used  time.Time
}

func dial(address string) (*conn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{net: c, read: bufio.NewReader(c), entry: address, used: time.Now()}, nil
}

// do sends a request and waits for its answer. It reports whether the connection can be
// used again.
func (c *conn) do(host string, q request, closing bool) (result, bool) {
	out := result{entry: c.entry, kept: !closing}
	_ = c.net.SetDeadline(time.Now().Add(q.deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.path, host, q.id, q.deadline.Milliseconds())
	if closing {
		head += "Connection: close\r\n"
	}
	if q.method != "GET" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	var resp *http.Response
	_, out.err = c.net.Write(append([]byte(head+"\r\n"), q.body...))
	if out.err == nil {
		resp, out.err = http.ReadResponse(c.read, &http.Request{Method: q.method})
	}
	if out.err == nil {
		_, out.err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	c.used = time.Now()
	if out.err != nil {
		netErr, ok := out.err.(net.Error)
		out.timeout = ok && netErr.Timeout()
		return out, false
	}
	out.status = resp.StatusCode
	return out, !resp.Close && !closing
}

// client is a stand-in of the clients of one zone: it keeps connections for safe requests
// and opens a new one for each other request.
type client struct {
	site     *site
	resolver *resolver
	host     string
	idle     time.Duration

	mu    sync.Mutex
	conns []*conn
}

func (s *site) newClient(host, zone string, idle time.Duration) *client {
	return &client{site: s, resolver: &resolver{site: s, host: host, zone: zone}, host: host, idle: idle}
}

// take returns an open connection that is not in use, nil if there is none.
func (c *client) take() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.conns) > 0 {
		n := len(c.conns) - 1
		k := c.conns[n]
		c.conns = c.conns[:n]
		if time.Since(k.used) < c.idle && c.resolver.valid(k.entry) {
			return k
		}
		k.net.Close()
	}
	return nil
}

func (c *client) put(k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, k)
}

// send sends one client attempt, on a kept connection if keep is set.
func (c *client) send(q request, keep bool, failed string) result {
	address := c.resolver.address(failed)
	var k *conn
	if keep {
		k = c.take()
	}
	if k == nil {
		var err error
		if k, err = dial(address); err != nil {
			return result{err: err, entry: address, kept: keep}
		}
	}
	c.site.record.add("client: %s %s %s sent to %s", q.id, q.method, q.path, k.entry)
	r, reusable := k.do(c.host, q, !keep)
	c.site.record.add("client: %s %v", q.id, r)
	if reusable {
		c.put(k)
	} else {
		k.net.Close()
	}
	return r
}
