package pooler

import (
	"bufio"
	"net"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/internal/edge"
)

const (
	// ErrCut reports an answer that ended before it was whole, or whose end
	// can't be told.
	ErrCut = errors.ConstError("answer was cut off")
	// ErrExcess reports an answer over the bound on its size.
	ErrExcess = errors.ConstError("answer is too large")
)

const maxInterim = 8

// Conn is a connection to a server. It is used by one exchange at a time;
// only Abort may be called beside it.
type Conn struct {
	net   net.Conn
	read  *bufio.Reader
	write *bufio.Writer
	// wrote counts bytes that the kernel took in this exchange.
	wrote atomic.Int64
	// idle is when the connection came back to its pool, and keep how long
	// it may rest there, 0 meaning as long as the pool says.
	idle time.Time
	keep time.Duration
	addr string
}

// Write implements io.Writer for the buffer in front of it.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.net.Write(p)
	c.wrote.Add(int64(n))
	return n, err
}

// Wrote reports whether any byte of this exchange may have left.
func (c *Conn) Wrote() bool { return c.wrote.Load() > 0 }

// Abort makes the exchange under way fail at once.
func (c *Conn) Abort() { _ = c.net.SetDeadline(time.Unix(1, 0)) }

// Deadline bounds the exchange.
func (c *Conn) Deadline(t time.Time) { _ = c.net.SetDeadline(t) }

// Send writes the request.
func (c *Conn) Send(req *fasthttp.Request) error {
	if err := req.Write(c.write); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(c.write.Flush())
}

// Receive reads a whole answer of at most body bytes. Head says that the
// request was a HEAD, whose answer has no body. It returns ErrCut if the
// answer's end can't be told from a cut.
func (c *Conn) Receive(resp *fasthttp.Response, head bool, body int) error {
	return c.receive(resp, head, body, false)
}

// ReceiveOpen is Receive, but takes an answer without a length that ends with
// its connection for whole, if the connection was closed in order.
func (c *Conn) ReceiveOpen(resp *fasthttp.Response, head bool, body int) error {
	return c.receive(resp, head, body, true)
}

func (c *Conn) receive(resp *fasthttp.Response, head bool, body int, open bool) error {
	for range maxInterim {
		if err := resp.Header.Read(c.read); err != nil {
			return errors.Trace(err)
		}
		if s := resp.StatusCode(); s >= 200 || s == fasthttp.StatusSwitchingProtocols {
			return c.receiveBody(resp, head, body, open)
		}
	}
	return errors.Annotate(ErrCut, "too many interim answers")
}

func (c *Conn) receiveBody(resp *fasthttp.Response, head bool, body int, open bool) error {
	s := resp.StatusCode()
	if s == fasthttp.StatusSwitchingProtocols {
		return errors.Annotate(ErrCut, "protocol switch")
	}
	if head || s == fasthttp.StatusNoContent || s == fasthttp.StatusNotModified {
		resp.SkipBody = true
		return nil
	}
	n := resp.Header.ContentLength()
	if n == endsByClose && !open {
		return errors.Annotate(ErrCut, "answer without a length")
	}
	err := resp.ReadBody(c.read, body)
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return errors.Trace(ErrExcess)
	}
	if err != nil {
		return errors.WithType(err, ErrCut)
	}
	if n == chunked {
		if err := resp.Header.ReadTrailer(c.read); err != nil {
			return errors.WithType(err, ErrCut)
		}
	}
	return nil
}

// Content lengths that fasthttp reports for answers without one.
const (
	chunked     = -1
	endsByClose = -2
)

// rested reports whether the connection rested longer than it may.
func (c *Conn) rested(now time.Time) bool { return c.keep > 0 && now.Sub(c.idle) > c.keep }

// Keep bounds how long the connection may rest in its pool.
func (c *Conn) Keep(d time.Duration) { c.keep = d }

// Clean reports whether nothing is left over from the last exchange and the
// server has not closed the connection.
func (c *Conn) Clean() bool { return c.clean() }

// Reset begins a new exchange on the connection.
func (c *Conn) Reset() { c.wrote.Store(0) }

// clean reports whether nothing is left over from the last exchange and the
// server has not closed the connection.
func (c *Conn) clean() bool {
	return c.read.Buffered() == 0 && c.write.Buffered() == 0 && edge.Probe(c.net) == edge.Quiet
}

func (c *Conn) close() { _ = c.net.Close() }
