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
// each team. A quarter of the capacity is kept apart for teams evenly, so that
// no team's flood takes the place of another's calls. It is safe for
// concurrent use.
type Shares struct {
	// capacity is the bound on total, fixed at construction.
	capacity int

	mu sync.Mutex
	// teams counts the teams that have services, at least 1.
	teams int
	// held counts each team's calls, those above zero; total is their sum.
	held  map[string]int
	total int
}

// reserve is the part of the capacity that is kept apart for teams.
const reserve = 0.25

// NewShares returns shares of a capacity in calls.
func NewShares(capacity int) *Shares {
	return &Shares{capacity: capacity, teams: 1, held: make(map[string]int)}
}

// Expect says how many teams have services.
func (s *Shares) Expect(teams int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.teams = max(1, teams)
}

// Kept returns how many calls are kept apart for each team.
func (s *Shares) Kept() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kept()
}

func (s *Shares) kept() int { return int(reserve * float64(s.capacity) / float64(s.teams)) }

// Admit takes a place for one call of the team, which may hold at most calls
// and at most a share of the capacity. Release gives the place back. A team
// gets the places kept for it whatever the others hold; further ones only from
// what is not kept for others, and, once that runs short, only up to an even
// part of the capacity.
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
	if n >= s.kept() {
		spare := s.capacity - s.total - s.owed(team)
		if spare <= 0 {
			return ErrEntry
		}
		short := float64(spare) < reserve*float64(s.capacity)
		if short && s.teams > 1 && n >= s.capacity/s.teams {
			return ErrTeam
		}
	}
	s.held[team] = n + 1
	s.total++
	return nil
}

// owed returns how many places are kept for teams other than one and not
// taken by them.
func (s *Shares) owed(team string) int {
	kept := s.kept()
	others := s.teams - 1
	sum := 0
	for t, n := range s.held {
		if t != team {
			sum += max(0, kept-n)
			others--
		}
	}
	return sum + max(0, others)*kept
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
