package forwarder

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/internal/guarder"
	"poplarwind/placer"
	"poplarwind/pooler"
	"poplarwind/quarantiner"
)

const (
	// crashDials is the number of connections that an upstream must not accept in a
	// row to count as crashed. A single one can fail because its packets are lost.
	crashDials = 2
	// crashDialPause is the time before each of them, in which a crash closes the
	// idle connections too.
	crashDialPause = 25 * time.Millisecond
)

// lostRequest is a request to which an upstream gave no response.
type lostRequest struct {
	id          string
	fingerprint quarantiner.Fingerprint
}

// fingerprint returns the fingerprint of the request: it consists of all that the caller
// determines, including who the caller is.
func (x *exchange) fingerprint() quarantiner.Fingerprint {
	if !x.hasPrint {
		h := &x.call.Request.Header
		x.print = quarantiner.FingerprintOfMessage(x.call.Body, h.Method(), h.Host(), h.RequestURI(), h.Peek("Authorization"), h.Peek("Cookie"))
		x.hasPrint = true
	}
	return x.print
}

// quarantineRetryAfter is the Retry-After value of a request in quarantine. A quarantine
// ends when a copy that was sent before it succeeds, or with the upstreams' next version.
const quarantineRetryAfter = 30 * time.Second

// quarantined reports whether the request must not be forwarded.
func (x *exchange) quarantined() bool {
	t := x.forwarder.options.Quarantine
	if t.Empty() || !t.Quarantined(time.Now(), x.fingerprint()) {
		return false
	}
	x.retryAfter = quarantineRetryAfter
	return true
}

// recordComplete records that the request got a response and did not crash its upstream.
func (x *exchange) recordComplete(o outcome) {
	t := x.forwarder.options.Quarantine
	if t.Empty() || o.resp.StatusCode() >= fasthttp.StatusInternalServerError {
		return
	}
	if f := x.fingerprint(); t.RecordResponse(time.Now(), f) {
		x.forwarder.options.Log.Info("request completed that was known for crashes", "request", x.id, "service", x.service.name, "fingerprint", f.String())
	}
}

// connectionLost reports whether an attempt ended because the upstream closed or reset
// the connection instead of responding.
func connectionLost(err error) bool {
	var netErr net.Error
	timeout := errors.As(err, &netErr) && netErr.Timeout()
	return err != nil && !timeout && !errors.Is(err, errIncomplete) && !errors.Is(err, errOverdue) && !brokenOff(err)
}

// recordLost records that an upstream gave no response to the request and closed the
// connection, and checks in the background whether the upstream still runs. There is one
// check of an upstream at a time, for all requests that were lost meanwhile.
func (x *exchange) recordLost(u *placer.Upstream, err error) {
	s := x.service
	r := lostRequest{id: x.id, fingerprint: x.fingerprint()}
	s.mu.Lock()
	_, checking := s.lost[u]
	if s.lost == nil {
		s.lost = make(map[*placer.Upstream][]lostRequest)
	}
	s.lost[u] = append(s.lost[u], r)
	s.mu.Unlock()
	x.forwarder.options.Log.Debug("upstream gave no response", "request", r.id, "upstream", u.ID(), "service", s.name, "fingerprint", r.fingerprint.String(), "error", err.Error())
	if !checking {
		go func() {
			defer guarder.Contain(x.forwarder.options.Log, "check for a crash", nil)
			x.checkCrash(u)
		}()
	}
}

// checkCrash checks whether an upstream crashed while it ran requests of this entry.
func (x *exchange) checkCrash(u *placer.Upstream) {
	s, o := x.service, x.forwarder.options
	crashed := !x.running(u)
	s.mu.Lock()
	lost, process := s.lost[u], quarantiner.Process{Upstream: u.ID(), StartedAt: u.Spec().StartedAt}
	delete(s.lost, u)
	s.mu.Unlock()
	level := slog.LevelDebug
	if crashed {
		level = slog.LevelInfo
	}
	for _, r := range lost {
		o.Log.Log(context.Background(), level, "connection to upstream lost while it ran a request", "request", r.id, "upstream", u.ID(), "service", s.name, "fingerprint", r.fingerprint.String(), "crashed", crashed)
		if crashed {
			x.recordCrash(process, r)
		}
	}
}

// recordCrash records that a process of an upstream crashed while it ran the request.
func (x *exchange) recordCrash(process quarantiner.Process, r lostRequest) {
	o := x.forwarder.options
	if crashes, quarantined := o.Quarantine.RecordCrash(time.Now(), r.fingerprint, process); quarantined {
		o.Log.Warn("request in quarantine", "request", r.id, "upstream", process.Upstream, "service", x.service.name, "fingerprint", r.fingerprint.String(), "crashes", crashes)
	}
}

// running reports whether the process of an upstream still runs: an idle connection to it
// is open, or it accepts a new one and no other upstream responds on it. An upstream that
// can't be checked counts as running.
func (x *exchange) running(u *placer.Upstream) bool {
	for range crashDials {
		time.Sleep(crashDialPause)
		if x.forwarder.pool.Alive(u.Addr()) {
			return true
		}
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		c, err := x.forwarder.pool.NewConn(ctx, u.Addr(), x.connLimit())
		cancel()
		if errors.Is(err, pooler.ErrConnLimit) || isLocal(err) {
			return true
		}
		if err == nil && x.service.barred(u) {
			x.forwarder.pool.Discard(c)
			return true
		}
		if err == nil {
			info, ok := x.queryLoad(c, u)
			x.forwarder.pool.Discard(c)
			return !ok || info.Instance == "" || info.Instance == u.ID()
		}
	}
	return false
}
