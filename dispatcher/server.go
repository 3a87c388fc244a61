package dispatcher

import (
	"time"

	"poplarwind/limiter"
)

const (
	// ejectionThreshold is the number of consecutive failures that eject a
	// server.
	ejectionThreshold = 3
	minEjection       = 200 * time.Millisecond
	// maxEjection is the maximum time after which an ejected server is tried
	// again if trials are hedges, whose failure does no harm to the call.
	// maxEjectionUnhedged applies if a trial needs a first attempt.
	maxEjection         = time.Second
	maxEjectionUnhedged = 10 * time.Second
	// rampResponses is the number of responses that raise the limit of a
	// ramping server by one.
	rampResponses = 2
	// smoothing is the weight of the newest sample in a moving average.
	smoothing = 0.1
	// suspectFactor is the multiple of the class's average latency after which
	// a running attempt makes its server suspect.
	suspectFactor = 3
	// reportLifetime is how long a load report is valid.
	reportLifetime = 50 * time.Millisecond
)

// Server is an entry's state of one server of a service.
type Server struct {
	name, addr, domain string

	// inFlight counts this entry's attempts in flight. All of them are in
	// running, oldest first.
	inFlight int
	running  limiter.List[*Attempt]
	// slots is the configured number of calls that a server runs concurrently.
	slots int
	// rampLimit is the current limit of inFlight while the server ramps up, and
	// rampRemaining the number of responses until it rises. FreeSlots caps it at
	// slots.
	rampLimit, rampRemaining int
	// owned is set if this entry is the owner of the server.
	owned bool
	// selfDraining is set when the server itself announces that it is draining,
	// and is cleared only by a probe. listedDraining is the state in the
	// platform's list, and peerDraining the one reported by other entries.
	selfDraining, listedDraining, peerDraining bool
	// failures counts the failures since the last successful response.
	failures     int
	ejectedUntil time.Time
	backoff      time.Duration
	// ejectionSuspended is set while too few servers would remain after
	// ejection.
	ejectionSuspended bool
	// overcommit is the number of calls that may be sent beyond the slots, so
	// that a slot is not idle while a response and the next call are in transit.
	overcommit int
	// hedgeTrials is set if ejected servers are tried again with hedges, so that
	// no first attempt is needed for a trial.
	hedgeTrials bool
	// reported is the load reported at reportedAt, which is valid until
	// reportExpiry. inFlightAtReport is the value of inFlight at reportedAt.
	reported, inFlightAtReport int
	reportedAt, reportExpiry   time.Time
	lastResponse               time.Time
	meanLatency                time.Duration
}

// Name returns the name of the server.
func (s *Server) Name() string { return s.name }

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.addr }

// Domain returns the failure domain of the server.
func (s *Server) Domain() string { return s.domain }

// Draining reports whether the server is draining and gets no new calls.
func (s *Server) Draining() bool { return s.selfDraining || s.listedDraining || s.peerDraining }

// SelfDraining reports whether the server itself announced to this entry that
// it is draining.
func (s *Server) SelfDraining() bool { return s.selfDraining }

// LastResponse returns the time of the last response from the server.
func (s *Server) LastResponse() time.Time { return s.lastResponse }

// Ejected reports whether the server is ejected for its failures.
func (s *Server) Ejected(now time.Time) bool {
	return s.failing() && (s.hedgeTrials || now.Before(s.ejectedUntil))
}

// failing reports whether the failures since the last successful response have
// reached ejectionThreshold.
func (s *Server) failing() bool { return s.failures >= ejectionThreshold }

// trialDue reports whether a trial call should be sent to the ejected server.
func (s *Server) trialDue(now time.Time) bool {
	return s.failing() && s.inFlight == 0 && !s.Draining() && !now.Before(s.ejectedUntil)
}

// Usable implements picker.ServerView.
func (s *Server) Usable(now time.Time) bool {
	return !s.Draining() && (s.ejectionSuspended || !s.Ejected(now))
}

// FreeSlots implements picker.ServerView.
func (s *Server) FreeSlots(now time.Time) int {
	limit := min(s.rampLimit, s.slots)
	switch {
	case s.failing():
		limit = 1
	case limit == s.slots:
		limit += s.overcommit
	}
	free := limit - s.inFlight
	if s.overcommit == 0 && now.Before(s.reportExpiry) {
		others := max(0, s.reported-s.inFlightAtReport)
		free = min(free, limit-s.inFlight-others)
	}
	return free
}

// InFlight implements picker.ServerView.
func (s *Server) InFlight() int { return s.inFlight }

// Reported implements picker.ServerView.
func (s *Server) Reported() (int, time.Time) { return s.reported, s.reportedAt }

// Owned implements picker.ServerView.
func (s *Server) Owned() bool { return s.owned }

// Suspect implements picker.ServerView.
func (s *Server) Suspect(now time.Time) bool {
	n := s.running.Front()
	if n == nil {
		return false
	}
	return n.Value.overdue(now)
}

// MeanLatency implements picker.ServerView.
func (s *Server) MeanLatency() time.Duration { return s.meanLatency }

// recordReport records the load that the server reported in a response.
func (s *Server) recordReport(now time.Time, load int) {
	s.reported = load
	s.reportedAt, s.reportExpiry = now, now.Add(reportLifetime)
	s.inFlightAtReport = s.inFlight
}

// recordSuccess records a successful response and its latency.
func (s *Server) recordSuccess(latency time.Duration) {
	s.failures, s.backoff = 0, 0
	s.meanLatency = ewma(s.meanLatency, latency)
	if s.rampLimit >= s.slots {
		return
	}
	s.rampRemaining--
	if s.rampRemaining <= 0 {
		s.rampLimit++
		s.rampRemaining = rampResponses
	}
}

// recordFailure records a failure. From ejectionThreshold on it ejects the
// server, with exponential backoff.
func (s *Server) recordFailure(now time.Time) {
	s.failures++
	if !s.failing() {
		return
	}
	maxBackoff := maxEjectionUnhedged
	if s.hedgeTrials {
		maxBackoff = maxEjection
	}
	s.backoff = min(maxBackoff, max(minEjection, 2*s.backoff))
	s.ejectedUntil = now.Add(s.backoff)
	s.rampLimit = 1
	s.rampRemaining = rampResponses
}

func ewma(old, next time.Duration) time.Duration {
	if old == 0 {
		return next
	}
	return old + time.Duration(smoothing*float64(next-old))
}
