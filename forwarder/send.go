package forwarder

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/internal/edge"
	"poplarwind/internal/httper"
	"poplarwind/placer"
	"poplarwind/pooler"
)

// outcome is how one attempt ended.
type outcome struct {
	// resp is the upstream's whole answer, nil if there is none.
	resp *fasthttp.Response
	// sent says that bytes of the request may have reached the upstream.
	sent bool
	// notRun says that the answer proves that the request did not run.
	notRun bool
	// left says that the attempt was given up since the caller left.
	left bool
	err  error
}

// final reports whether the answer is to be passed on: any of a request that
// must not run twice, and a good one of others.
func (o outcome) final(idempotent bool) bool {
	if o.resp == nil || o.notRun {
		return false
	}
	return !idempotent || o.resp.StatusCode() < fasthttp.StatusInternalServerError
}

// result is what the placement learns of an attempt.
func (o outcome) result() placer.Result {
	switch {
	case o.notRun:
		return placer.Refused
	case o.resp != nil && o.resp.StatusCode() < fasthttp.StatusInternalServerError:
		return placer.Answered
	case o.left, errors.Is(o.err, pooler.ErrBusy):
		return placer.Dropped
	default:
		return placer.Failed
	}
}

// send sends the request to the upstream that was taken, on the connection
// that it answered on.
func (x *exchange) send(a asked) outcome {
	o := outcome{}
	if a.conn == nil {
		x.unreached = append(x.unreached, a.upstream)
		o.err = a.err
	} else {
		x.attempts = append(x.attempts, a.upstream)
		x.converse(a.conn, a.upstream, &o)
	}
	x.service.finish(a.attempt, o.result(), x.work)
	return o
}

// converse sends the request and reads the answer, then gives the connection
// back.
func (x *exchange) converse(c *pooler.Conn, u *placer.Upstream, o *outcome) {
	f := x.forwarder
	c.Reset()
	c.Deadline(x.deadline)
	w := x.watch(c)
	o.err = x.write(c, u)
	if o.err == nil {
		o.resp, o.err = x.read(c)
	}
	o.left = w.stop()
	o.sent = c.Wrote()
	if o.resp == nil {
		f.pool.Drop(c)
		return
	}
	facts := f.options.Dialect.Read(&o.resp.Header, time.Now())
	o.notRun = facts.NotRun
	x.learn(u, facts)
	early := len(x.ctx.Request.Body()) > earlyBody && o.resp.StatusCode() >= fasthttp.StatusBadRequest
	if o.left || early || o.resp.ConnectionClose() || !c.Clean() {
		f.pool.Drop(c)
		return
	}
	c.Keep(keepAlive(o.resp.Header.Peek("Keep-Alive")))
	f.pool.Put(c)
}

// earlyBody is the size in bytes from which an upstream may answer before it
// has read a body: what it would read next is then in doubt.
const earlyBody = 1 << 10

// learn takes in what an answer says of its upstream.
func (x *exchange) learn(u *placer.Upstream, facts Facts) {
	s := x.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if facts.HasLoad {
		s.fleet.Hear(u, facts.Load)
	}
	if facts.Misdirected {
		s.fleet.Disown(u)
	}
}

// write sends the request, addressed to the upstream.
func (x *exchange) write(c *pooler.Conn, u *placer.Upstream) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	x.ctx.Request.Header.CopyTo(&req.Header)
	httper.Strip(&req.Header)
	req.Header.ResetConnectionClose()
	req.UseHostHeader = true
	x.forwarder.options.Dialect.Address(&req.Header, u.ID(), time.Until(x.deadline))
	req.SetBodyRaw(x.ctx.Request.Body())
	return c.Send(req)
}

// maxStray bounds the answers to other requests that are passed over.
const maxStray = 4

// read reads the answer to this request. Answers to earlier requests that an
// upstream sent once too often are passed over.
func (x *exchange) read(c *pooler.Conn) (*fasthttp.Response, error) {
	resp := fasthttp.AcquireResponse()
	for range maxStray {
		resp.Reset()
		if err := c.ReceiveOpen(resp, x.ctx.IsHead(), x.forwarder.options.Body); err != nil {
			fasthttp.ReleaseResponse(resp)
			return nil, err
		}
		facts := x.forwarder.options.Dialect.Read(&resp.Header, time.Now())
		if len(facts.ID) > 0 && !bytes.Equal(facts.ID, x.id) {
			continue
		}
		if x.sound(resp, facts) {
			return resp, nil
		}
		break
	}
	fasthttp.ReleaseResponse(resp)
	return nil, errLost
}

// sound reports whether bytes that could be read as an answer are the
// upstream's answer to this request.
func (x *exchange) sound(resp *fasthttp.Response, facts Facts) bool {
	if facts.NotRun {
		return true
	}
	good := resp.StatusCode() < fasthttp.StatusMultipleChoices
	return len(facts.ID) > 0 && (!good || facts.Stamped) && len(resp.Header.Peek("Content-Encoding")) == 0
}

// watcher looks now and then whether the caller is still there.
type watcher struct {
	done chan struct{}
	left chan bool
}

// watch gives the attempt up when the caller leaves. A request that must not
// run twice goes on: its caller may learn its outcome otherwise.
func (x *exchange) watch(c *pooler.Conn) watcher {
	w := watcher{done: make(chan struct{}), left: make(chan bool, 1)}
	if !x.path.Idempotent {
		w.left <- false
		return w
	}
	go func() {
		t := time.NewTicker(lookEvery)
		defer t.Stop()
		for {
			select {
			case <-w.done:
				w.left <- false
				return
			case <-t.C:
				if edge.Probe(x.ctx.Conn()) == edge.Closed {
					c.Abort()
					w.left <- true
					return
				}
			}
		}
	}()
	return w
}

// stop ends the watch and reports whether the caller left.
func (w watcher) stop() bool {
	close(w.done)
	return <-w.left
}

// keepMargin is taken off the time that an upstream keeps idle connections, so
// that a request does not cross its close.
const keepMargin = time.Second

// keepAlive returns how long a connection may rest by its Keep-Alive header,
// 0 if that does not say.
func keepAlive(v []byte) time.Duration {
	for field := range strings.SplitSeq(string(v), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		n, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil && n > 0 {
			return max(time.Duration(n)*time.Second-keepMargin, time.Millisecond)
		}
	}
	return 0
}
