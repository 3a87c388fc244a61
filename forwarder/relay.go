package forwarder

import (
	"context"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/internal/guarder"
	"poplarwind/internal/signer"
	"poplarwind/pipeliner"
	"poplarwind/pooler"
)

// headerRelayed is the header of a request that another entry relays, because it is cut
// off from the upstreams. Its value is the number of upstreams that the request was sent
// to before. It is not forwarded to upstreams.
const headerRelayed = "Poplar-Relayed"

// headerProof is the header with the proof that an entry of the same deployment has set
// headerRelayed. It is not forwarded to upstreams.
const headerProof = "Poplar-Relay-Proof"

// headerRelayQuery is the header of a question of another entry whether this one takes
// requests that are relayed, for the service that is its value. The response is 204 if it does.
const headerRelayQuery = "Poplar-Relay-Query"

// headerAttempts is the header of a rejection of a relayed request. Its value is the number
// of upstreams that the rejecting entry sent the request to.
const headerAttempts = "Poplar-Attempts"

const (
	// maxRelays is the number of entries that a request is sent to, one after the other.
	maxRelays = 3
	// parallelQueries is the number of entries that are asked at once before a request
	// is relayed, since some may be frozen, killed or cut off as well, and queryTimeout
	// bounds the wait for the first reply.
	parallelQueries = 2
	queryTimeout    = 100 * time.Millisecond
	// maxReplyBody is the maximum size of the body of a reply in bytes.
	maxReplyBody = 1 << 10
	// relayConns is the maximum number of connections from this entry to another one.
	relayConns = 256
)

// parseRelayed sets relayed, proven and earlier from the request. A malformed value counts as no
// earlier attempt: callers may send anything.
func (x *exchange) parseRelayed() {
	h := &x.call.Request.Header
	v := h.Peek(headerRelayed)
	if len(v) == 0 {
		return
	}
	n, err := strconv.Atoi(string(v))
	if err != nil || n < 0 {
		x.forwarder.options.Log.Debug("header of a relayed request can't be parsed", "request", x.id, "value", string(v))
		n = 0
	}
	secret, proof := x.forwarder.options.Secret, string(h.Peek(headerProof))
	x.relayed, x.earlier = true, n
	x.proven = len(secret) > 0 && proof != "" && signer.Verify(secret, proof, proofPurpose, []byte(x.id), v)
	if !x.proven {
		x.earlier = max(n, x.route.Attempts-1)
	}
}

// proofPurpose tells proofs from other signatures with the same secret.
var proofPurpose = []byte("relayed")

// setRelayed states in a request to another entry that it is relayed, with the proof.
func (x *exchange) setRelayed(h *fasthttp.RequestHeader) {
	count := strconv.Itoa(x.attempts())
	h.Del(headerRelayed)
	h.Del(headerProof)
	h.Set(headerRelayed, count)
	if secret := x.forwarder.options.Secret; len(secret) > 0 {
		h.Set(headerProof, signer.Sign(secret, proofPurpose, []byte(x.id), []byte(count)))
	}
}

// attempts returns the number of upstreams that the request was sent to, by any entry.
func (x *exchange) attempts() int { return x.earlier + len(x.attempted) }

// cutOff reports whether this entry can't reach the upstreams of the service, so that the
// request must be relayed.
func (x *exchange) cutOff() bool {
	return x.forwarder.options.Reach.Cut() || x.service.reach.Cut() && !x.direct
}

// relay sends the request to another entry, which reaches upstreams, and returns its
// response. If an entry states that the request did not run, or gives no response to an
// idempotent one, the next is tried.
func (x *exchange) relay() result {
	if x.relayed || x.forwarder.options.Relays == nil {
		return x.serveDirectly()
	}
	addrs := x.forwarder.options.Relays(x.service.name)
	for range maxRelays {
		var c *pooler.Conn
		if c, addrs = x.queryEntries(addrs); c == nil {
			break
		}
		o := x.relayTo(c)
		if o.resp != nil && !o.notRun {
			if x.isOwn(o.resp) && x.mayHaveRun && o.resp.StatusCode() < fasthttp.StatusInternalServerError {
				// The other entry knows nothing of the earlier attempts.
				fasthttp.ReleaseResponse(o.resp)
				break
			}
			x.releaseFallback()
			if x.isOwn(o.resp) {
				o.resp.Header.Del(headerAttempts)
				return result{resp: o.resp}
			}
			return x.result(o.resp)
		}
		if !x.recordRelay(o) {
			break
		}
	}
	if len(x.relayedTo) == 0 {
		return x.serveDirectly()
	}
	switch {
	case x.rejection != nil && !x.mayHaveRun:
		return result{resp: x.rejection}
	case x.caller.Err() != nil:
		return x.fail(errDisconnected)
	default:
		return x.fail(errCutOff)
	}
}

// recordRelay records that another entry gave no final response, and reports whether a further
// one may be asked.
func (x *exchange) recordRelay(o outcome) bool {
	switch {
	case o.resp != nil:
		if x.rejection != nil {
			fasthttp.ReleaseResponse(x.rejection)
		}
		x.rejection = o.resp
		n := x.attemptsOf(o.resp)
		return n == 0 || x.mayResend(n)
	case o.sent:
		return x.mayRepeat()
	}
	return true
}

// serveDirectly serves a request that no other entry takes, if this one may still reach some
// upstreams of the service.
func (x *exchange) serveDirectly() result {
	if x.direct || x.forwarder.options.Reach.Cut() || x.caller.Err() != nil {
		return x.fail(errCutOff)
	}
	x.direct = true
	return x.run()
}

// attemptsOf returns the number of upstreams that another entry sent the request to before
// it rejected it, and removes it from the rejection. A malformed one counts as all that the
// route allows.
func (x *exchange) attemptsOf(rejection *fasthttp.Response) int {
	v := rejection.Header.Peek(headerAttempts)
	if len(v) == 0 {
		return 0
	}
	n, err := strconv.Atoi(string(v))
	if err != nil || n < 0 {
		x.forwarder.options.Log.Warn("attempts of a relayed request can't be parsed", "request", x.id, "value", string(v))
		n = x.route.Attempts
	}
	rejection.Header.Del(headerAttempts)
	return n
}

// mayRepeat records that the request may have run at an upstream that another entry sent
// it to, and reports whether it may be sent again. A retry is then taken from the budget.
func (x *exchange) mayRepeat() bool {
	x.mayHaveRun = true
	return x.route.Idempotent && x.mayResend(1)
}

// mayResend records that another entry sent the request to n upstreams, and reports whether
// it may be sent to a further one. A retry is then taken from the budget.
func (x *exchange) mayResend(n int) bool {
	x.earlier += n
	if x.attempts() >= x.route.Attempts || x.caller.Err() != nil {
		return false
	}
	x.service.mu.Lock()
	defer x.service.mu.Unlock()
	return x.hasTime(time.Now()) && x.service.spendRetry(time.Now())
}

// queryEntries asks entries whether they take relayed requests, a few at once, and returns
// a connection to the first that does and the addresses of those not asked, nil if none
// does.
func (x *exchange) queryEntries(addrs []string) (*pooler.Conn, []string) {
	for len(addrs) > 0 && x.caller.Err() == nil && time.Now().Before(x.deadline) {
		n := min(parallelQueries, len(addrs))
		if c := x.queryAny(addrs[:n]); c != nil {
			return c, addrs[n:]
		}
		addrs = addrs[n:]
	}
	return nil, nil
}

// queryAny asks entries at once and returns a connection to the first that takes relayed
// requests, nil if none does.
func (x *exchange) queryAny(addrs []string) *pooler.Conn {
	ctx, cancel := context.WithTimeout(x.caller, queryTimeout)
	entries, fresh := x.forwarder.entries, !x.route.Idempotent
	replies := make(chan *pooler.Conn)
	for _, addr := range addrs {
		go func() {
			defer guarder.Contain(x.forwarder.options.Log, "query to an entry", nil)
			c := x.forwarder.queryEntry(ctx, addr, x.service.name, fresh)
			select {
			case replies <- c:
			case <-ctx.Done():
				if c != nil {
					entries.Put(c)
				}
			}
		}()
	}
	defer cancel()
	for range addrs {
		select {
		case c := <-replies:
			if c != nil {
				return c
			}
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// queryEntry asks one entry and returns the connection to it, nil if it does not take
// relayed requests.
func (f *Forwarder) queryEntry(ctx context.Context, addr, service string, fresh bool) *pooler.Conn {
	c, err := f.entries.Get(ctx, addr, relayConns, fresh)
	if err != nil {
		f.options.Log.Debug("cannot connect to entry", "addr", addr, "error", err.Error())
		return nil
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("/")
	req.Header.SetHost(addr)
	req.Header.Set(headerRelayQuery, service)
	deadline, _ := ctx.Deadline()
	c.SetDeadline(deadline)
	if err = c.Send(req); err == nil {
		err = c.Receive(resp, false, maxReplyBody)
	}
	if err != nil || resp.StatusCode() != fasthttp.StatusNoContent || resp.ConnectionClose() || !c.Clean() {
		f.entries.Discard(c)
		return nil
	}
	return c
}

// answerQuery answers a question of another entry. It reports false if the request is none.
func (f *Forwarder) answerQuery(c *pipeliner.Call) bool {
	if len(c.Request.Header.Peek(headerRelayQuery)) == 0 {
		return false
	}
	c.Response.SetStatusCode(fasthttp.StatusNoContent)
	if f.closed.Load() || !f.EvacuationsKnown() || f.options.Reach.Cut() || f.cutFrom(string(c.Request.Header.Peek(headerRelayQuery))) || f.table.Load() == nil {
		c.Response.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
	return true
}

// cutFrom reports whether this entry is cut off from the upstreams of a service. Older builds
// name none in their questions.
func (f *Forwarder) cutFrom(service string) bool {
	f.mu.Lock()
	s := f.services[service]
	f.mu.Unlock()
	return s != nil && s.reach.Cut()
}

// relayTo sends the request over a connection to another entry.
func (x *exchange) relayTo(c *pooler.Conn) outcome {
	f := x.forwarder
	o := outcome{}
	x.relayedTo = append(x.relayedTo, c.Addr())
	c.Reset()
	c.SetDeadline(x.deadline)
	stop := x.abortOnEnd(x.caller, c)
	if o.err = x.writeRelayed(c); o.err == nil {
		o.resp, o.err = x.readRelayed(c)
	}
	o.disconnected = !stop()
	o.sent = c.Written()
	if o.resp == nil || o.disconnected || o.resp.ConnectionClose() || !c.Clean() {
		f.entries.Discard(c)
	} else {
		c.SetMaxIdle(keepAliveTimeout(o.resp.Header.Peek("Keep-Alive")))
		f.entries.Put(c)
	}
	o.notRun = o.resp != nil && o.resp.StatusCode() == fasthttp.StatusServiceUnavailable && x.isOwn(o.resp)
	return o
}

// isOwn reports whether a response to a relayed request is the other entry's own. Entries pass
// on only responses of upstreams that have the ID of the request; no status of those states
// that the request did not run.
func (x *exchange) isOwn(resp *fasthttp.Response) bool {
	info := x.forwarder.options.Dialect.ParseResponse(&resp.Header, time.Now())
	return len(info.ID) == 0 && !info.Stamped
}

// writeRelayed sends the request to another entry.
func (x *exchange) writeRelayed(c *pooler.Conn) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	x.copyRequest(req)
	x.setKey(&req.Header)
	x.setRelayed(&req.Header)
	x.forwarder.options.Dialect.SetTimeout(&req.Header, time.Until(x.deadline))
	return c.Send(req)
}

// readRelayed reads the response of another entry: that of an upstream to this request, or
// its own, which has no ID and is no success.
func (x *exchange) readRelayed(c *pooler.Conn) (*fasthttp.Response, error) {
	resp := fasthttp.AcquireResponse()
	err := c.Receive(resp, x.call.Request.Header.IsHead(), x.forwarder.options.MaxResponseBody)
	if err == nil {
		info := x.forwarder.options.Dialect.ParseResponse(&resp.Header, time.Now())
		own := x.isOwn(resp) && resp.StatusCode() >= fasthttp.StatusBadRequest
		if own || string(info.ID) == x.id && x.valid(resp, info) {
			return resp, nil
		}
		err = errors.Trace(errIncomplete)
	}
	fasthttp.ReleaseResponse(resp)
	return nil, err
}
