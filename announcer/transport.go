package announcer

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/bufferer"
	"poplarwind/internal/signer"
)

// Traffic counts the control traffic between entries since the process started.
type Traffic struct {
	Sent      int64 `json:"sent"`
	Received  int64 `json:"received"`
	Throttled int64 `json:"skipped"`
	Rejected  int64 `json:"refused"`
}

// Traffic returns the totals of control traffic since the process started.
func (a *Announcer) Traffic() Traffic {
	return Traffic{a.sent.Load(), a.received.Load(), a.throttled.Load(), a.rejected.Load()}
}

// serveOther passes a message to Options.Handler.
func (a *Announcer) serveOther(path string, body []byte) (any, error) {
	if a.options.Handler == nil {
		return nil, errors.NotFoundf("path %q", path)
	}
	return a.options.Handler(context.Background(), path, body)
}

// Send sends a message to a path of the member and decodes the response. The
// byte budget does not apply: the caller limits its own traffic.
func (a *Announcer) Send(ctx context.Context, m Member, path string, message, response any) error {
	body, err := pack(message)
	if err != nil {
		return err
	}
	return a.roundTrip(ctx, m, path, body, func(text []byte) error {
		return errors.Trace(json.Unmarshal(text, response))
	})
}

// sendThrottled sends one message within the byte budget and decodes the verified
// response.
func (a *Announcer) sendThrottled(ctx context.Context, p Member, path string, message any, decode func(text []byte) error) error {
	body, err := pack(message)
	if err != nil {
		return err
	}
	if !a.budget.AllowN(time.Now(), min(a.budget.Burst(), len(body)+headerOverhead)) {
		a.throttled.Add(1)
		return errPeer
	}
	return a.roundTrip(ctx, p, path, body, decode)
}

// roundTrip sends one sealed body, verifies the seal of the response and
// decodes its unpacked body.
func (a *Announcer) roundTrip(ctx context.Context, p Member, path string, body []byte, decode func(text []byte) error) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	nonce := rand.Text()
	req.Header.SetMethod("POST")
	req.SetRequestURI("http://" + p.Peers + path)
	req.Header.Set(signer.NonceHeader, nonce)
	req.Header.Set(signer.SignatureHeader, signer.Sign(a.options.Secret, []byte(path), []byte(nonce), body))
	req.SetBody(body)
	a.sent.Add(int64(len(body) + headerOverhead))
	deadline := time.Now().Add(peerTimeout)
	if limit, ok := ctx.Deadline(); ok && limit.Before(deadline) {
		deadline = limit
	}
	if err := a.client.DoDeadline(req, resp, deadline); err != nil {
		return errors.WithType(err, errPeer)
	}
	data, memory, err := a.read(resp.BodyStream(), nil)
	if err != nil {
		return errors.WithType(err, errPeer)
	}
	defer memory.Release()
	a.received.Add(int64(len(data) + headerOverhead))
	if resp.StatusCode() != fasthttp.StatusOK || ctx.Err() != nil {
		return errPeer
	}
	signature := string(resp.Header.Peek(signer.SignatureHeader))
	if !signer.Verify(a.options.Secret, signature, []byte("answer"), []byte(nonce), data) {
		a.rejected.Add(1)
		return errPeer
	}
	text, unpacked, err := unpack(a.options.Budget, data)
	if err != nil {
		return err
	}
	defer unpacked.Release()
	return decode(text)
}

// messageOverhead is the memory for the use of a message as a multiple of its size: its
// contiguous text, and what is decoded from it.
const messageOverhead = 3

// read reads a packed message. The function abort makes reading fail, and may be nil. The memory
// is to be released when it is no longer used.
func (a *Announcer) read(r io.Reader, abort func()) (data []byte, memory *bufferer.Body, err error) {
	if r == nil {
		return nil, nil, nil
	}
	memory, err = a.options.Budget.Read(bufferer.Peers, r, MaxMessage, messageOverhead, abort)
	if err != nil {
		return nil, nil, errors.Annotate(err, "message of a peer")
	}
	return memory.Bytes(), memory, nil
}

// Handle serves one message from a peer.
func (a *Announcer) Handle(ctx *fasthttp.RequestCtx) {
	c := ctx.Conn()
	body, memory, err := a.read(ctx.RequestBodyStream(), func() { _ = c.SetReadDeadline(time.Unix(1, 0)) })
	if err != nil {
		a.rejected.Add(1)
		a.options.Log.Warn("message of a peer can't be received", "path", string(ctx.Path()), "peer", ctx.RemoteAddr().String(), "error", err.Error())
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	defer memory.Release()
	path, nonce := ctx.Path(), ctx.Request.Header.Peek(signer.NonceHeader)
	signature := string(ctx.Request.Header.Peek(signer.SignatureHeader))
	a.received.Add(int64(len(body) + headerOverhead))
	if !signer.Verify(a.options.Secret, signature, path, nonce, body) {
		a.rejected.Add(1)
		ctx.SetStatusCode(fasthttp.StatusForbidden)
		return
	}
	body, unpacked, err := unpack(a.options.Budget, body)
	defer unpacked.Release()
	if err != nil {
		a.rejected.Add(1)
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	var response any
	switch string(path) {
	case pathHello:
		h, err := ParseHello(body)
		if err != nil {
			a.rejected.Add(1)
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		missing := a.applyHello(h)
		reply := a.newHello(h.From.Name, h.Heartbeats, h.Full)
		reply.Requested = missing[:min(len(missing), maxRequested)]
		response = reply
	case pathPull:
		var q PullRequest
		if err := json.Unmarshal(body, &q); err != nil {
			a.rejected.Add(1)
			ctx.Error(ErrMalformed.Error(), fasthttp.StatusBadRequest)
			return
		}
		response = a.newerSettings(q)
	default:
		if response, err = a.serveOther(string(path), body); err != nil {
			a.options.Log.Debug("peer message not handled", "path", string(path), "error", err.Error())
			ctx.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
	}
	out, err := pack(response)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	a.sent.Add(int64(len(out) + headerOverhead))
	ctx.Response.Header.Set(signer.SignatureHeader, signer.Sign(a.options.Secret, []byte("answer"), nonce, out))
	ctx.SetBody(out)
}
