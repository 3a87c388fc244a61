package pipeliner

import (
	"bufio"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/internal/guarder"
)

// enqueue adds a call and starts it if it does not have to wait for others. It drops the call if
// the connection broke while the request was received.
func (c *conn) enqueue(p *pendingCall) {
	if !p.done {
		p.concurrent = c.server.options.Handler.Concurrent(&p.Call)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receivingSince = time.Time{}
	if c.broken {
		p.release()
		return
	}
	c.server.pending.Add(1)
	if p.last {
		c.closing = true
	}
	c.pending = append(c.pending, p)
	c.bytes += p.size
	c.startCalls()
	if p.done {
		c.writeResponses()
	}
}

// startCalls starts the calls that do not have to wait for others. The lock must
// be held.
func (c *conn) startCalls() {
	for c.started < len(c.pending) && !c.broken {
		p := c.pending[c.started]
		if c.started > 0 && (!p.concurrent || !c.pending[0].concurrent || c.bytes >= maxPendingBytes) {
			return
		}
		c.started++
		if !p.done {
			go c.run(p)
		}
	}
}

// run runs a call and writes its response unless an earlier one is due.
func (c *conn) run(p *pendingCall) {
	defer guarder.Contain(c.server.options.Log, "request of a caller", c.drop)
	c.server.handle(c.ctx, &p.Call)
	c.mu.Lock()
	defer c.mu.Unlock()
	p.done = true
	size := p.responseSize()
	p.size += size
	c.bytes += size
	c.writeResponses()
}

// writeResponses writes the responses of the first pending calls that are done,
// unless another goroutine does. The lock must be held; it is released while a
// response is written.
func (c *conn) writeResponses() {
	if c.writing {
		return
	}
	c.writing = true
	w := c.server.writers.Get().(*bufio.Writer)
	w.Reset(c.net)
	for len(c.pending) > 0 && c.pending[0].done {
		c.writeFirst(w)
	}
	w.Reset(nil)
	c.server.writers.Put(w)
	c.writing = false
	if c.awaiting && !c.closing {
		c.setIdleDeadline()
	}
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// writeFirst writes the response of the first pending call and removes the call.
func (c *conn) writeFirst(w *bufio.Writer) {
	p := c.pending[0]
	if len(c.pending) == 1 && c.awaiting && c.server.draining.Load() {
		p.last = true
	}
	if p.last {
		c.closing = true
	}
	flush := len(c.pending) == 1 || !c.pending[1].done
	if !c.broken {
		c.mu.Unlock()
		err := writeResponse(c.net, w, p, flush)
		c.mu.Lock()
		c.broken = c.broken || err != nil
	}
	c.bytes -= p.size
	c.pending = c.pending[1:]
	c.started--
	p.release()
	c.server.pending.Add(-1)
	if c.broken {
		c.breakOff()
	} else if p.last && c.awaiting {
		// Ends the wait of the reader.
		_ = c.net.SetReadDeadline(time.Unix(1, 0))
	}
	c.startCalls()
}

// writeResponse writes the response of a call.
func writeResponse(conn net.Conn, w *bufio.Writer, p *pendingCall, flush bool) error {
	if err := conn.SetWriteDeadline(time.Now().Add(transferTimeout)); err != nil {
		return errors.Trace(err)
	}
	if b := p.responseBody(); b != nil {
		b.Send(func() { _ = conn.SetWriteDeadline(time.Unix(1, 0)) })
	}
	h := &p.Response.Header
	switch {
	case p.last:
		h.SetConnectionClose()
	case !p.Request.Header.IsHTTP11():
		h.Set(fasthttp.HeaderConnection, "keep-alive")
	}
	p.Response.SkipBody = p.Response.SkipBody || p.Request.Header.IsHead()
	if err := p.Response.Write(w); err != nil {
		return errors.Trace(err)
	}
	if flush {
		return errors.Trace(w.Flush())
	}
	return nil
}
