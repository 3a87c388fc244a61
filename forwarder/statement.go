package forwarder

import (
	"time"

	"github.com/valyala/fasthttp"

	"poplarwind/placer"
)

//go:generate go tool stringer -type=statementSource -linecomment -output=statementsource_string.go

// statementSource is where a statement of an upstream about itself was learned from.
type statementSource int

// The sources of statements.
const (
	sourceRequest statementSource = iota // request
	sourceProbe                          // probe
	sourcePeer                           // peer
)

// parseResponse parses the protocol headers of a response of the upstream, to whatever
// request, and records whether it leaves and the pause that it asks for, unless another
// upstream responded at its address.
func (x *exchange) parseResponse(u *placer.Upstream, resp *fasthttp.Response, source statementSource) ResponseInfo {
	now := time.Now()
	info := x.forwarder.options.Dialect.ParseResponse(&resp.Header, now)
	if info.Misdirected || info.Instance != "" && info.Instance != u.ID() {
		return info
	}
	if info.PauseError != nil {
		x.forwarder.options.Log.Warn("pause that upstream asks for can't be parsed", "upstream", u.ID(), "service", x.service.name, "source", source.String(), "request", x.id, "error", info.PauseError.Error())
	}
	if info.Leaving {
		x.recordLeaving(u, source)
	}
	if info.Pause > 0 {
		x.recordPause(now, u, info.Pause, source)
	}
	return info
}

// recordPause records that the upstream asks this entry for a pause.
func (x *exchange) recordPause(now time.Time, u *placer.Upstream, pause time.Duration, source statementSource) {
	s := x.service
	s.mu.Lock()
	begins := s.fleet.RecordPause(now, u, pause)
	sent := u.SentWhilePaused()
	s.mu.Unlock()
	if begins {
		x.forwarder.options.Log.Info("upstream asks for a pause", "upstream", u.ID(), "service", s.name, "pause_ms", pause.Milliseconds(), "source", source.String(), "request", x.id, "sent_in_pauses", sent)
	}
}

// barred reports whether the upstream has told this entry that it wants no requests now: it
// leaves, or has asked for a pause.
func (s *service) barred(u *placer.Upstream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return u.Departure() == placer.Leaving || u.Paused(time.Now())
}
