package limiter

import (
	"sync"

	"github.com/juju/errors"
)

const (
	// ErrTeam reports that a team holds as many calls as it may.
	ErrTeam = errors.ConstError("team holds too many calls")
	// ErrEntry reports that the entry holds as many calls as it may.
	ErrEntry = errors.ConstError("entry holds too many calls")
)

// Shares bounds the calls that an entry holds at once, as a whole and for
// each team, so that no team's flood takes the place of another's calls. It
// is safe for concurrent use.
type Shares struct {
	// capacity is the bound on total, fixed at construction.
	capacity int

	mu sync.Mutex
	// held counts each team's calls; total is their sum.
	held  map[string]int
	total int
}

// reserve is the part of the capacity that only teams below their even part
// may use.
const reserve = 0.25

// NewShares returns shares of a capacity in calls.
func NewShares(capacity int) *Shares {
	return &Shares{capacity: capacity, held: make(map[string]int)}
}

// Admit takes a place for one call of the team, which may hold at most calls
// and at most a share of the capacity. Release gives the place back. Once the
// entry is three quarters full, a team that holds more than an even part of
// the capacity gets no more.
func (s *Shares) Admit(team string, calls int, share float64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.held[team]
	limit := min(calls, int(share*float64(s.capacity)))
	if n >= max(1, limit) {
		return ErrTeam
	}
	if s.total >= s.capacity {
		return ErrEntry
	}
	present := len(s.held)
	if n == 0 {
		present++
	}
	scarce := float64(s.total) >= (1-reserve)*float64(s.capacity)
	if scarce && present > 1 && n >= s.capacity/present {
		return ErrTeam
	}
	s.held[team] = n + 1
	s.total++
	return nil
}

// Release gives back a place that Admit took.
func (s *Shares) Release(team string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total--
	s.held[team]--
	if s.held[team] == 0 {
		delete(s.held, team)
	}
}

// Held returns how many calls the entry holds.
func (s *Shares) Held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}
