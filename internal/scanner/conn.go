package scanner

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Dial returns a function for the DialTimeout of a client of fasthttp. It opens connections by dial,
// nil meaning over TCP, from which responses with a malformed head can't be read.
func Dial(dial fasthttp.DialFuncWithTimeout) fasthttp.DialFuncWithTimeout {
	if dial == nil {
		dial = dialTCP
	}
	return func(addr string, timeout time.Duration) (net.Conn, error) {
		c, err := dial(addr, timeout)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}

// dialTCP opens a connection like a client without a function of its own. A timeout of 0 means
// fasthttp.DefaultDialTimeout.
func dialTCP(addr string, timeout time.Duration) (net.Conn, error) {
	if timeout == 0 {
		return fasthttp.Dial(addr)
	}
	return fasthttp.DialTimeout(addr, timeout)
}

// conn is a connection whose user writes a request, reads the complete response, and so on.
type conn struct {
	net.Conn
	// head is the head of the response that is being read, done when its body is.
	head Head
	// err is why the response can't be read, nil if it can.
	err error
}

// Write implements net.Conn. The next bytes that are read begin a response.
func (c *conn) Write(p []byte) (int, error) {
	c.head = Head{}
	return c.Conn.Write(p)
}

// Read implements net.Conn. It returns ErrMalformed once the head of a response is malformed, and no
// bytes from there on.
func (c *conn) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(p)
	if sound, err := c.scan(p[:n]); err != nil {
		c.err = err
		return sound, err
	}
	return n, err
}

// scan scans the part of p that belongs to heads, and returns the number of bytes before the first
// that is malformed.
func (c *conn) scan(p []byte) (int, error) {
	scanned := 0
	for scanned < len(p) && !c.head.Done() {
		n, err := c.head.Scan(p[scanned:])
		scanned += n
		if err != nil {
			return scanned, err
		}
		if c.head.Done() && c.head.Interim() {
			c.head = Head{}
		}
	}
	return scanned, nil
}
