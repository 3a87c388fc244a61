package pooler

import (
	"bufio"
	"context"
	"net"
	"net/http/httputil"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/bufferer"
	"poplarwind/internal/inspector"
	"poplarwind/internal/scanner"
)

const (
	// ErrTruncated reports a response that ended before it was complete, or
	// whose end cannot be determined.
	ErrTruncated = errors.ConstError("answer was cut off")
	// ErrTooLarge reports a response that exceeds the size limit.
	ErrTooLarge = errors.ConstError("answer is too large")
	// ErrExhausted reports a response for which there is no memory left.
	ErrExhausted = bufferer.ErrExhausted
	// ErrMalformed reports a response whose head or trailer HTTP does not allow.
	ErrMalformed = scanner.ErrMalformed
)

// maxInterim bounds the interim (1xx) responses read before the final one.
const maxInterim = 8

const (
	// maxFramingRatio is the number of bytes in which a byte of a body is sent in
	// chunks of one byte.
	maxFramingRatio = 6
	// maxOverhead bounds the bytes of the heads and the trailer of a response.
	maxOverhead = 256 << 10
)

// Conn is a connection to a server. It is used by one exchange at a time;
// only Abort may be called concurrently.
type Conn struct {
	net   net.Conn
	read  *bufio.Reader
	write *bufio.Writer
	// readable is the number of bytes that may still be read for the response that
	// is being received, valid if receiving is set.
	readable  int
	receiving bool
	// budget bounds the memory of responses. body is the one that is being received, nil
	// if there is none.
	budget *bufferer.Budget
	body   atomic.Pointer[bufferer.Body]
	// aborted is set once Abort was called. The connection is not used again then.
	aborted atomic.Bool
	// deadline is the deadline of the exchange, the zero time meaning none.
	deadline time.Time
	// written counts the bytes that the kernel accepted in this exchange.
	written atomic.Int64
	// idleSince is when the connection was returned to its pool, and maxIdle how
	// long it may stay idle there, 0 meaning that only the pool's limit applies.
	idleSince time.Time
	maxIdle   time.Duration
	addr      string
	// rejected is set when the server has rejected a request on the connection without
	// naming it: it may write the rejection once more, ahead of another response.
	rejected bool
}

// Read implements io.Reader for the read buffer. It returns ErrTooLarge when a response
// does not end.
func (c *Conn) Read(p []byte) (int, error) {
	if c.receiving && c.readable <= 0 {
		return 0, errors.Trace(ErrTooLarge)
	}
	n, err := c.net.Read(p)
	c.readable -= n
	return n, err
}

// Write implements io.Writer for the write buffer and counts the bytes written.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.net.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// SetRejected records that the server has rejected a request on the connection without
// naming it. The connection is then not reused.
func (c *Conn) SetRejected() { c.rejected = true }

// Rejected reports whether SetRejected was called.
func (c *Conn) Rejected() bool { return c.rejected }

// Addr returns the address of the server.
func (c *Conn) Addr() string { return c.addr }

// Written reports whether any byte of this exchange may have been sent.
func (c *Conn) Written() bool { return c.written.Load() > 0 }

// Abort makes the exchange in progress fail at once.
func (c *Conn) Abort() {
	c.aborted.Store(true)
	c.interrupt()
	if b := c.body.Load(); b != nil {
		b.Cancel(ErrTruncated)
	}
}

// interrupt makes reading and writing fail at once.
func (c *Conn) interrupt() { _ = c.net.SetDeadline(time.Unix(1, 0)) }

// SetDeadline sets the deadline of the exchange, the zero time meaning none.
func (c *Conn) SetDeadline(t time.Time) {
	c.deadline = t
	_ = c.net.SetDeadline(t)
}

// Send writes the request and flushes it.
func (c *Conn) Send(req *fasthttp.Request) error {
	if err := req.Write(c.write); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(c.write.Flush())
}

// AwaitResponse waits until the first byte of a response can be read, until t, or
// until the exchange is aborted, which ctx must report before. It reads nothing, so
// that the exchange may go on after a timeout. It reports false after a timeout.
func (c *Conn) AwaitResponse(ctx context.Context, t time.Time) bool {
	_ = c.net.SetReadDeadline(t)
	if ctx.Err() != nil {
		return false
	}
	_, err := c.read.Peek(1)
	var netErr net.Error
	return !errors.As(err, &netErr) || !netErr.Timeout()
}

// Receive reads a complete response with a body of at most maxBody bytes, 0 meaning
// that it is not limited. head indicates that the request method was HEAD, whose
// response has no body. Receive returns ErrTruncated if the end of the response cannot
// be distinguished from a truncation, ErrMalformed if its head or its trailer is malformed,
// and ErrExhausted if the pool's budget has no room for it. The body of the response is a
// stream from memory, which is released with the response.
func (c *Conn) Receive(resp *fasthttp.Response, head bool, maxBody int) error {
	return c.receive(resp, head, maxBody, false)
}

// ReceiveUntilClose is like Receive, but accepts a response without a length,
// which ends when its connection is closed, as complete if the connection was
// closed cleanly.
func (c *Conn) ReceiveUntilClose(resp *fasthttp.Response, head bool, maxBody int) error {
	return c.receive(resp, head, maxBody, true)
}

func (c *Conn) receive(resp *fasthttp.Response, head bool, maxBody int, allowClose bool) error {
	c.receiving, c.readable = maxBody > 0, maxFramingRatio*maxBody+maxOverhead
	defer func() { c.receiving = false }()
	for range maxInterim {
		if err := c.checkHead(scanner.Head{}); err != nil {
			return err
		}
		if err := resp.Header.Read(c.read); err != nil {
			return errors.Trace(err)
		}
		if s := resp.StatusCode(); s >= 200 || s == fasthttp.StatusSwitchingProtocols {
			return c.receiveBody(resp, head, maxBody, allowClose)
		}
	}
	return errors.Annotate(ErrTruncated, "too many interim answers")
}

// checkHead waits for a head, or a trailer, and checks it before the codec reads it.
func (c *Conn) checkHead(h scanner.Head) error {
	err := scanner.Check(c.read, h)
	if errors.Is(err, bufio.ErrBufferFull) {
		return errors.Annotate(ErrTooLarge, "header")
	}
	return err
}

func (c *Conn) receiveBody(resp *fasthttp.Response, head bool, maxBody int, allowClose bool) error {
	s := resp.StatusCode()
	if s == fasthttp.StatusSwitchingProtocols {
		return errors.Annotate(ErrTruncated, "protocol switch")
	}
	if head || s == fasthttp.StatusNoContent || s == fasthttp.StatusNotModified {
		resp.SkipBody = true
		return nil
	}
	n := resp.Header.ContentLength()
	switch {
	case n == endsByClose && !allowClose:
		return errors.Annotate(ErrTruncated, "answer without a length")
	case maxBody > 0 && n > maxBody:
		return errors.Trace(ErrTooLarge)
	}
	b := c.budget.NewBody(bufferer.Responses, c.interrupt)
	b.SetDeadline(c.deadline)
	c.body.Store(b)
	defer c.body.Store(nil)
	if c.aborted.Load() {
		// Abort may have found no body to cancel.
		b.Cancel(ErrTruncated)
	}
	err := c.readBody(resp, b, n, maxBody)
	if err == nil {
		err = b.Complete()
	}
	if err != nil {
		b.Release()
		return bodyError(err)
	}
	resp.SetBodyStream(b.OwnStream(), b.Len())
	return nil
}

// readBody reads the body of a response, whose length is n or one of the values that
// fasthttp reports instead.
func (c *Conn) readBody(resp *fasthttp.Response, b *bufferer.Body, n, maxBody int) error {
	switch n {
	case endsByClose:
		return b.ReadAll(c.read, maxBody)
	case chunked:
		if err := b.ReadAll(httputil.NewChunkedReader(c.read), maxBody); err != nil {
			return err
		}
		if err := c.checkHead(scanner.NewTrailer()); err != nil {
			return err
		}
		return resp.Header.ReadTrailer(c.read)
	}
	return b.ReadN(c.read, n)
}

// bodyError returns the error of a response whose body can't be read.
func bodyError(err error) error {
	switch {
	case errors.Is(err, bufferer.ErrTooLarge), errors.Is(err, ErrTooLarge):
		return errors.Trace(ErrTooLarge)
	case errors.Is(err, ErrExhausted):
		return errors.Trace(ErrExhausted)
	case errors.Is(err, ErrMalformed):
		return err
	}
	return errors.WithType(err, ErrTruncated)
}

// Values that fasthttp reports as the content length of responses without one.
const (
	chunked     = -1
	endsByClose = -2
)

// expired reports whether the connection was idle for longer than its own limit.
func (c *Conn) expired(now time.Time) bool { return c.maxIdle > 0 && now.Sub(c.idleSince) > c.maxIdle }

// SetMaxIdle limits how long the connection may stay idle in its pool, 0
// meaning that only the pool's limit applies.
func (c *Conn) SetMaxIdle(d time.Duration) { c.maxIdle = d }

// Clean reports whether no bytes remain from the last exchange and the server has
// not closed the connection.
func (c *Conn) Clean() bool { return c.clean() }

// Reset starts a new exchange on the connection: Written reports false again.
func (c *Conn) Reset() { c.written.Store(0) }

// clean implements Clean.
func (c *Conn) clean() bool {
	return c.read.Buffered() == 0 && c.write.Buffered() == 0 && inspector.Inspect(c.net) == inspector.Idle
}

func (c *Conn) close() { _ = c.net.Close() }
