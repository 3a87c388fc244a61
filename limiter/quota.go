package limiter

import (
	"sync"

	"github.com/juju/errors"
)

const (
	// ErrTeam reports that a team has reached its quota of concurrent calls.
	ErrTeam = errors.ConstError("team holds too many calls")
	// ErrEntry reports that the entry has reached its capacity of concurrent
	// calls.
	ErrEntry = errors.ConstError("entry holds too many calls")
)

// Quotas limits the concurrent calls of an entry, in total and per team. A
// quarter of the capacity is reserved for the teams in equal portions, so that
// excess load of one team does not displace the calls of another. It is safe for
// concurrent use.
type Quotas struct {
	// capacity is the bound on total, fixed at construction.
	capacity int

	mu sync.Mutex
	// teams is the number of teams that have services, at least 1.
	teams int
	// inFlight counts each team's calls and has no zero entries; total is their
	// sum.
	inFlight map[string]int
	total    int
}

// reservedRatio is the fraction of the capacity that is reserved for teams.
const reservedRatio = 0.25

// NewQuotas returns quotas for the given capacity in calls.
func NewQuotas(capacity int) *Quotas {
	return &Quotas{capacity: capacity, teams: 1, inFlight: make(map[string]int)}
}

// SetTeams sets the number of teams that have services.
func (q *Quotas) SetTeams(teams int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.teams = max(1, teams)
}

// Reserved returns the number of calls reserved for each team.
func (q *Quotas) Reserved() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.reserved()
}

func (q *Quotas) reserved() int { return int(reservedRatio * float64(q.capacity) / float64(q.teams)) }

// Admit admits one call of the team, which is limited to maxCalls concurrent
// calls and to the fraction maxRatio of the capacity, but not to less than one
// call. Each admitted call must be ended with Release. Calls within a team's
// reservation are admitted regardless of the other teams, as long as they stay
// within the team's limits. Further calls are admitted only from capacity that is
// not reserved for others and, once that capacity runs low, only up to an equal
// portion of the total capacity.
func (q *Quotas) Admit(team string, maxCalls int, maxRatio float64) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := q.inFlight[team]
	limit := min(maxCalls, int(maxRatio*float64(q.capacity)))
	if n >= max(1, limit) {
		return ErrTeam
	}
	if q.total >= q.capacity {
		return ErrEntry
	}
	if n >= q.reserved() {
		spare := q.capacity - q.total - q.unusedReservations(team)
		if spare <= 0 {
			return ErrEntry
		}
		low := float64(spare) < reservedRatio*float64(q.capacity)
		if low && q.teams > 1 && n >= q.capacity/q.teams {
			return ErrTeam
		}
	}
	q.inFlight[team] = n + 1
	q.total++
	return nil
}

// unusedReservations returns the number of calls that are reserved for teams
// other than the given one and not in use.
func (q *Quotas) unusedReservations(team string) int {
	reserved := q.reserved()
	others := q.teams - 1
	sum := 0
	for t, n := range q.inFlight {
		if t != team {
			sum += max(0, reserved-n)
			others--
		}
	}
	return sum + max(0, others)*reserved
}

// Release ends a call that Admit admitted.
func (q *Quotas) Release(team string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.total--
	q.inFlight[team]--
	if q.inFlight[team] == 0 {
		delete(q.inFlight, team)
	}
}

// InFlight returns the number of concurrent calls of all teams.
func (q *Quotas) InFlight() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.total
}
