package dispatcher

import (
	"time"

	"poplarwind/limiter"
)

const (
	// failuresToEject is how many failures in a row eject a server.
	failuresToEject = 3
	minEject        = 200 * time.Millisecond
	// maxEject bounds ejection where a server is tried out with a hedge, which
	// harms no call; patientEject does where it takes a call of its own.
	maxEject     = time.Second
	patientEject = 10 * time.Second
	// rampStep is how many answers raise a ramping server's limit by one.
	rampStep = 2
	// smoothing is the weight of the newest latency in an average.
	smoothing = 0.1
	// suspectFactor is how many times its class's average an attempt takes
	// before its server is suspect.
	suspectFactor = 3
	// reportLife is how long a load report counts.
	reportLife = 50 * time.Millisecond
)

// Server is what one entry knows of one server of a service.
type Server struct {
	name, addr, domain string

	// own counts this entry's attempts in flight, all of which are in running,
	// oldest first.
	own     int
	running limiter.List[*Attempt]
	// slots is the settings' number of calls a server runs at once.
	slots int
	// ramp is the present limit on own, at most slots.
	ramp, rampLeft int
	home           bool
	// leaving is set by the server's own mark and cleared by a probe alone;
	// listed is what the platform's list says, hearsay what other entries say.
	leaving, listed, hearsay bool
	// failures counts failures since the last good answer.
	failures int
	ejected  time.Time
	backoff  time.Duration
	// floored is set while too few servers are left for ejection to count.
	floored bool
	// ahead is how many calls may be sent beyond the slots, so that a slot is
	// not idle while an answer and the next call travel.
	ahead int
	// shadowed is set while hedges try out servers after their ejection, so
	// that calls themselves need not.
	shadowed bool
	// reported is the load told at reportAt, which counts until reportEnd;
	// ownAtRep was own at that time.
	reported, ownAtRep  int
	reportAt, reportEnd time.Time
	heardAt             time.Time
	expected            time.Duration
}

// Name returns the name of the server.
func (s *Server) Name() string { return s.name }

// Addr returns where the server listens.
func (s *Server) Addr() string { return s.addr }

// Domain returns the failure domain of the server.
func (s *Server) Domain() string { return s.domain }

// Leaving reports whether the server gets no new calls.
func (s *Server) Leaving() bool { return s.leaving || s.listed || s.hearsay }

// Marked reports whether the server itself told this entry that it is
// leaving.
func (s *Server) Marked() bool { return s.leaving }

// Heard returns when the server last answered anything.
func (s *Server) Heard() time.Time { return s.heardAt }

// Ejected reports whether the server is left out for its failures.
func (s *Server) Ejected(now time.Time) bool {
	return s.sick() && (s.shadowed || now.Before(s.ejected))
}

// sick reports whether the server failed too often since its last good answer.
func (s *Server) sick() bool { return s.failures >= failuresToEject }

// onTrial reports whether it is time to try the server out.
func (s *Server) onTrial(now time.Time) bool {
	return s.sick() && s.own == 0 && !s.Leaving() && !now.Before(s.ejected)
}

// Usable implements picker.View.
func (s *Server) Usable(now time.Time) bool {
	return !s.Leaving() && (s.floored || !s.Ejected(now))
}

// Free implements picker.View.
func (s *Server) Free(now time.Time) int {
	limit := min(s.ramp, s.slots)
	switch {
	case s.sick():
		limit = 1
	case limit == s.slots:
		limit += s.ahead
	}
	free := limit - s.own
	if s.ahead == 0 && now.Before(s.reportEnd) {
		others := max(0, s.reported-s.ownAtRep)
		free = min(free, limit-s.own-others)
	}
	return free
}

// Own implements picker.View.
func (s *Server) Own() int { return s.own }

// Reported implements picker.View.
func (s *Server) Reported() (int, time.Time) { return s.reported, s.reportAt }

// Home implements picker.View.
func (s *Server) Home() bool { return s.home }

// Suspect implements picker.View.
func (s *Server) Suspect(now time.Time) bool {
	n := s.running.Front()
	if n == nil {
		return false
	}
	return n.Value.overdue(now)
}

// Expected implements picker.View.
func (s *Server) Expected() time.Duration { return s.expected }

// report takes in the load that the server told with an answer.
func (s *Server) report(now time.Time, load int) {
	s.reported = load
	s.reportAt, s.reportEnd = now, now.Add(reportLife)
	s.ownAtRep = s.own
}

// good takes in an answer that took the latency.
func (s *Server) good(latency time.Duration) {
	s.failures, s.backoff = 0, 0
	s.expected = average(s.expected, latency)
	if s.ramp >= s.slots {
		return
	}
	s.rampLeft--
	if s.rampLeft <= 0 {
		s.ramp++
		s.rampLeft = rampStep
	}
}

// bad takes in a failure.
func (s *Server) bad(now time.Time) {
	s.failures++
	if !s.sick() {
		return
	}
	longest := patientEject
	if s.shadowed {
		longest = maxEject
	}
	s.backoff = min(longest, max(minEject, 2*s.backoff))
	s.ejected = now.Add(s.backoff)
	s.ramp = 1
	s.rampLeft = rampStep
}

func average(old, next time.Duration) time.Duration {
	if old == 0 {
		return next
	}
	return old + time.Duration(smoothing*float64(next-old))
}
