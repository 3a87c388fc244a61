// Package extender extends the read deadlines of connections while bytes arrive.
//
// A deadline bounds the time until a server responds. A large response over a slow link takes
// longer, and would not arrive however often it is requested again.
package extender

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Limits bounds the time for a response that has begun.
type Limits struct {
	// Silence is how long the server may send nothing.
	Silence time.Duration
	// Total bounds the time from the setting of the deadline to the end of the response.
	Total time.Duration
}

// Dial returns a function that opens connections over TCP whose read deadlines are extended within
// the limits.
func (l Limits) Dial() fasthttp.DialFuncWithTimeout {
	return func(addr string, timeout time.Duration) (net.Conn, error) {
		c, err := fasthttp.DialTimeout(addr, timeout)
		if err != nil {
			return nil, err
		}
		return l.Extend(c), nil
	}
}

// Extend returns a connection whose read deadlines are extended within the limits.
func (l Limits) Extend(c net.Conn) net.Conn { return &conn{Conn: c, limits: l} }

// conn is a connection whose read deadline is extended.
type conn struct {
	net.Conn
	limits Limits

	mu sync.Mutex
	// deadline is the read deadline in force, the zero time meaning none, and last the latest
	// to which it may be extended.
	deadline, last time.Time
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.set(t)
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.set(t)
	return c.Conn.SetReadDeadline(t)
}

func (c *conn) set(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline, c.last = t, time.Now().Add(c.limits.Total)
}

// Read implements net.Conn. Bytes that arrive extend the deadline.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && err == nil {
		err = c.extend(time.Now())
	}
	return n, err
}

// extend moves the deadline to the end of a silence that begins now.
func (c *conn) extend(now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := now.Add(c.limits.Silence)
	if t.After(c.last) {
		t = c.last
	}
	if c.deadline.IsZero() || !t.After(c.deadline) {
		return nil
	}
	c.deadline = t
	return c.Conn.SetReadDeadline(t)
}
