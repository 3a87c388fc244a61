package pipeliner

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/bufferer"
	"poplarwind/internal/inspector"
)

const (
	// maxPending bounds the requests of one connection that have been read and
	// not answered. Further ones stay unread.
	maxPending = 16
	// maxPendingBytes is the size in bytes of the pending bodies of one
	// connection above which no further request is read or started. Large
	// responses that wait for an earlier one would otherwise use up the memory.
	maxPendingBytes = 1 << 20
	// transferTimeout bounds the transfer of one request or response.
	transferTimeout = 10 * time.Second
	// disconnectCheckInterval is how often a connection whose next bytes stay
	// unread is checked for the end of the caller.
	disconnectCheckInterval = 100 * time.Millisecond
	// lingerTimeout and lingerBytes bound the reading of what a caller sends
	// behind the last request. Closing a connection with unread bytes would
	// reset it, and the caller could lose the last response.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 256 << 10
)

// conn is a connection of a caller. One goroutine reads requests, and each call
// has one of its own, of which the one that completes the first pending call
// writes its response and those of the calls behind it that are done.
type conn struct {
	server *Server
	net    net.Conn
	// caller is the IP address of the caller.
	caller netip.Addr
	// ctx ends when the caller has disconnected.
	ctx    context.Context
	cancel context.CancelFunc
	// changed receives a value when calls were answered, for the reader.
	changed chan struct{}
	// buffer is the memory of a reader's long buffer, nil while it holds none. A short one is a
	// part of the connection's own memory, which the number of connections bounds.
	buffer *bufferer.Body

	mu sync.Mutex
	// pending holds the calls that have not been answered, in the order of the
	// requests. The first started of them have been started. If a call that is
	// not concurrent was started, it is the only one.
	pending []*pendingCall
	started int
	// bytes is the sum of the sizes of the pending calls.
	bytes int
	// awaiting is set while the reader waits for the first byte of a request.
	awaiting bool
	// idleSince is when the connection was last without a request, and receivingSince when
	// the request began that is being received, the zero time if none is.
	idleSince, receivingSince time.Time
	// writing is set while a goroutine writes responses.
	writing bool
	// closing is set when no further request is accepted, and broken when
	// responses can't be delivered any more.
	closing, broken bool
}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	defer c.server.remove(c)
	defer c.cancel()
	defer func() { c.buffer.Release() }()
	var r *bufio.Reader
	for c.awaitRoom() {
		if r == nil {
			var err error
			if r, err = c.awaitRequest(); err != nil {
				c.abort()
				return
			}
			if r == nil {
				break
			}
		}
		p := newPendingCall()
		p.ArrivedAt, p.Caller = time.Now(), c.caller
		c.setReceiving(p.ArrivedAt)
		var err error
		if r, err = c.read(r, p); err != nil && !c.failRead(p, err) {
			c.abort()
			return
		}
		buffered := r.Buffered() > 0
		if !buffered {
			c.server.putReader(r)
			c.buffer.Release()
			r, c.buffer = nil, nil
		}
		p.last = p.last || p.Request.Header.ConnectionClose() || c.server.draining.Load() && !buffered
		c.enqueue(p)
		if p.last {
			break
		}
	}
	c.awaitEnd()
}

// awaitRoom waits until there is room for another pending call. It returns false
// if the connection accepts no further request.
func (c *conn) awaitRoom() bool {
	return c.await(func() bool { return c.closing || c.hasRoom() }) && !c.isClosing()
}

// hasRoom reports whether there is room for another pending call. While memory is short, a
// connection has one call at a time, so that those of other connections have room. The
// lock must be held.
func (c *conn) hasRoom() bool {
	return len(c.pending) == 0 || len(c.pending) < maxPending && c.bytes < maxPendingBytes && c.server.options.Budget.Ample()
}

// awaitEnd waits until all calls have been answered, and closes the connection.
func (c *conn) awaitEnd() {
	if !c.await(func() bool { return c.broken || len(c.pending) == 0 && !c.writing }) {
		return
	}
	c.linger()
	c.abort()
}

// await waits until a condition on the pending calls holds. It returns false if
// the caller disconnected meanwhile.
func (c *conn) await(condition func() bool) bool {
	var ticks <-chan time.Time
	for {
		c.mu.Lock()
		ok := condition()
		c.mu.Unlock()
		if ok {
			return true
		}
		if ticks == nil {
			ticker := time.NewTicker(disconnectCheckInterval)
			defer ticker.Stop()
			ticks = ticker.C
		}
		select {
		case <-c.changed:
		case <-ticks:
			if inspector.Disconnected(c.net) {
				c.abort()
				return false
			}
		}
	}
}

// callerOf returns the IP address of the other end of a connection, the zero value if it is not known.
func callerOf(n net.Conn) netip.Addr {
	if a, ok := n.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// awaitRequest waits for the first byte of a request, at most for the idle
// timeout if no call is pending. No buffer is held while it waits. The reader is
// nil if the connection accepts no further request.
func (c *conn) awaitRequest() (*bufio.Reader, error) {
	var first [1]byte
	for {
		c.mu.Lock()
		c.awaiting = true
		c.setIdleDeadline()
		c.mu.Unlock()
		_, err := io.ReadFull(c.net, first[:])
		c.mu.Lock()
		c.awaiting = false
		busy, closing := len(c.pending) > 0, c.closing
		c.mu.Unlock()
		if closing {
			return nil, nil
		}
		if err == nil {
			break
		}
		if !busy || !isTimeout(err) {
			return nil, errors.Annotate(err, "waiting for a request")
		}
	}
	r := c.server.readers.Get().(*bufio.Reader)
	r.Reset(&prefixedReader{prefix: first[:], rest: c.net})
	return r, nil
}

// prefixedReader reads some bytes and then the rest from a connection.
type prefixedReader struct {
	// prefix is what was not read yet of the first bytes.
	prefix []byte
	rest   net.Conn
}

// Read implements io.Reader.
func (r *prefixedReader) Read(p []byte) (int, error) {
	if len(r.prefix) == 0 {
		r.prefix = nil
		return r.rest.Read(p)
	}
	n := copy(p, r.prefix)
	r.prefix = r.prefix[n:]
	return n, nil
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// setIdleDeadline sets the deadline for the first byte of the next request: none
// while calls are pending. The lock must be held.
func (c *conn) setIdleDeadline() {
	deadline := time.Time{}
	if len(c.pending) == 0 {
		c.idleSince = time.Now()
		deadline = c.idleSince.Add(c.server.idleTimeout())
	}
	_ = c.net.SetReadDeadline(deadline)
}

// interruptRead makes reading from the caller fail at once.
func (c *conn) interruptRead() { _ = c.net.SetReadDeadline(time.Unix(1, 0)) }

const (
	// callOverhead is the memory of a call without its headers and bodies, in bytes: the
	// objects of the request and the response, and the stacks of its goroutines.
	callOverhead = 12 << 10
	// headerCopies is the memory of a parsed header as a multiple of its size.
	headerCopies = 3
)

// read reads a request within the limits of the configuration. It returns the reader for the next
// one.
func (c *conn) read(r *bufio.Reader, p *pendingCall) (*bufio.Reader, error) {
	limits, start := c.server.options.Limits(), time.Now()
	headerTimeout := transferTimeout
	if t := limits.HeaderTimeout; t > 0 {
		headerTimeout = min(headerTimeout, t)
	}
	_ = c.net.SetReadDeadline(start.Add(headerTimeout))
	r, err := c.readHeader(r, p.Request)
	if err != nil {
		return r, err
	}
	if n := len(p.Request.Header.RawHeaders()); limits.Header > 0 && n > limits.Header {
		return r, errors.Annotatef(errHeaderTooLarge, "%d bytes, limit %d", n, limits.Header)
	}
	_ = c.net.SetReadDeadline(start.Add(transferTimeout))
	return c.readBody(r, p, bodyLimit(c.server.options.MaxBody, limits.Body))
}

// bodyLimit returns the lower of two limits in bytes, of which 0 means none.
func bodyLimit(a, b int) int {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// readHeader reads the header of a request and returns the reader for what follows.
func (c *conn) readHeader(r *bufio.Reader, req *fasthttp.Request) (*bufio.Reader, error) {
	if c.buffer != nil {
		c.buffer.Restart(c.interruptRead)
	}
	r, err := c.readFields(r, func(r *bufio.Reader) error { return readHeader(r, req) })
	if err != nil || c.buffer == nil {
		return r, err
	}
	return r, c.buffer.Complete()
}

// readFields reads header fields by read, which consumes nothing if they don't fit in the buffer
// of the reader. It then reads them with a longer one, which it returns.
func (c *conn) readFields(r *bufio.Reader, read func(*bufio.Reader) error) (*bufio.Reader, error) {
	err := read(r)
	var full *fasthttp.ErrSmallBuffer
	if !errors.As(err, &full) || r.Size() >= c.server.options.MaxHeader {
		return r, err
	}
	if c.buffer == nil {
		c.buffer = c.server.options.Budget.NewBody(bufferer.Requests, c.interruptRead)
	}
	if err := c.buffer.Reserve(c.server.options.MaxHeader); err != nil {
		return r, err
	}
	r = c.server.lengthen(r, c.net)
	return r, read(r)
}

// readBody reads the body of a request of at most limit bytes, 0 meaning that it is not limited. It
// returns the reader for what follows.
func (c *conn) readBody(r *bufio.Reader, p *pendingCall, limit int) (*bufio.Reader, error) {
	budget := c.server.options.Budget
	p.Body = budget.NewBody(bufferer.Requests, c.interruptRead)
	if err := p.Body.Reserve(callOverhead + headerCopies*len(p.Request.Header.RawHeaders())); err != nil {
		return r, err
	}
	if p.Request.MayContinue() {
		if err := c.sendContinue(); err != nil {
			return r, err
		}
	}
	inChunks := p.Request.Header.ContentLength() == chunked
	if err := readBody(r, p.Request, p.Body, limit); err != nil {
		return r, err
	}
	if inChunks {
		var err error
		if r, err = c.readFields(r, func(r *bufio.Reader) error { return readTrailer(r, p.Request) }); err != nil {
			return r, err
		}
	}
	p.size = p.Body.Len()
	return r, p.Body.Complete()
}

// sendContinue asks the caller for the body of a request, once the requests ahead
// of it have been answered.
func (c *conn) sendContinue() error {
	if !c.await(func() bool { return c.broken || len(c.pending) == 0 && !c.writing }) {
		return io.ErrUnexpectedEOF
	}
	_ = c.net.SetWriteDeadline(time.Now().Add(transferTimeout))
	_, err := io.WriteString(c.net, "HTTP/1.1 100 Continue\r\n\r\n")
	return err
}

// failRead sets the response to a request that could not be read. It returns
// false if the connection ended, which is not answered.
func (c *conn) failRead(p *pendingCall, err error) bool {
	var netErr net.Error
	ended := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr) && !netErr.Timeout()
	if ended {
		p.release()
		return false
	}
	c.server.options.Log.Info("request can't be read", "caller", c.net.RemoteAddr().String(), "error", readErrorText(err))
	setReadError(p.Response, err)
	p.Body.Release()
	p.done, p.last, p.concurrent = true, true, true
	return true
}

// drop closes the connection, whose state may be inconsistent: a task of it has panicked.
func (c *conn) drop() {
	c.cancel()
	_ = c.net.Close()
}

// abort ends the connection at once.
func (c *conn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breakOff()
}

// breakOff ends the connection at once: calls that were not started are dropped,
// and the context of those that run ends. The lock must be held.
func (c *conn) breakOff() {
	c.closing, c.broken = true, true
	c.cancel()
	_ = c.net.Close()
	for _, p := range c.pending[c.started:] {
		p.release()
		c.server.pending.Add(-1)
	}
	c.pending = c.pending[:c.started]
}

// setReceiving records when the request began that is being received.
func (c *conn) setReceiving(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receivingSince = since
}

// receiving reports whether a request is being received and no other is in hand, and since when.
func (c *conn) receiving() (since time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.receivingSince, !c.receivingSince.IsZero() && !c.closing && len(c.pending) == 0
}

// closeReceiving closes the connection if a request is being received and no other is in hand,
// and reports whether it did.
func (c *conn) closeReceiving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.receivingSince.IsZero() || len(c.pending) > 0 {
		return false
	}
	c.breakOff()
	return true
}

// closeIdle closes the connection if it has no request, and reports whether it had none.
func (c *conn) closeIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.awaiting || len(c.pending) > 0 {
		return false
	}
	c.breakOff()
	return true
}

// idle reports whether the connection has no request, and since when.
func (c *conn) idle() (since time.Time, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince, c.awaiting && !c.closing && len(c.pending) == 0
}

// linger ends the sending direction and discards what the caller has sent behind
// the last request.
func (c *conn) linger() {
	half, ok := c.net.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = c.net.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.net, lingerBytes)
}
