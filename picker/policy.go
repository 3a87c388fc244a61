package picker

import (
	"math/rand/v2"
	"time"
)

// ServerView is the state of a server that a policy can base its choice on.
type ServerView interface {
	// Usable reports whether a call may be sent to the server at all.
	Usable(now time.Time) bool
	// FreeSlots returns this entry's estimate of how many more calls the server
	// can run concurrently. It may be negative.
	FreeSlots(now time.Time) int
	// InFlight returns the number of calls of this entry in flight at the server.
	InFlight() int
	// Reported returns the load that the server last reported, in calls, and the
	// time of the report, which is zero if there was none.
	Reported() (int, time.Time)
	// Owned reports whether this entry is the preferred one for the server.
	Owned() bool
	// Suspect reports whether a call in flight takes much longer than is typical.
	Suspect(now time.Time) bool
	// MeanLatency returns the moving average of the server's response time.
	MeanLatency() time.Duration
}

// Request holds the input of a choice.
type Request[S ServerView] struct {
	// Now is the time of the choice.
	Now time.Time
	// Servers are the candidates. A policy skips those that are not usable.
	Servers []S
	// Skip reports whether a candidate is excluded; nil excludes none.
	Skip func(S) bool
}

// eligible reports whether the server at the index may be chosen.
func (r *Request[S]) eligible(i int) bool {
	s := r.Servers[i]
	if !s.Usable(r.Now) {
		return false
	}
	return r.Skip == nil || !r.Skip(s)
}

// None is the index that a policy returns if no server is eligible.
const None = -1

// Policy chooses servers. It is not safe for concurrent use.
type Policy[S ServerView] interface {
	// Pick returns the index of the chosen server in r.Servers, or None.
	Pick(r *Request[S]) int
}

// Random picks a random usable server.
type Random[S ServerView] struct {
	// Rand must be set.
	Rand *rand.Rand
}

// Pick implements Policy.
func (p *Random[S]) Pick(r *Request[S]) int {
	n := len(r.Servers)
	if n == 0 {
		return None
	}
	for k, i := 0, p.Rand.IntN(n); k < n; k, i = k+1, (i+1)%n {
		if r.eligible(i) {
			return i
		}
	}
	return None
}

// RoundRobin picks usable servers in turn.
type RoundRobin[S ServerView] struct {
	// last is the index of the last choice.
	last int
}

// Pick implements Policy.
func (p *RoundRobin[S]) Pick(r *Request[S]) int {
	n := len(r.Servers)
	for range n {
		p.last = (p.last + 1) % n
		if r.eligible(p.last) {
			return p.last
		}
	}
	return None
}

// TwoChoices picks the one of two random usable servers that has fewer calls of
// this entry in flight.
type TwoChoices[S ServerView] struct {
	// Rand must be set.
	Rand *rand.Rand
}

// Pick implements Policy.
func (p *TwoChoices[S]) Pick(r *Request[S]) int {
	random := Random[S]{Rand: p.Rand}
	a, b := random.Pick(r), random.Pick(r)
	if a != None && r.Servers[b].InFlight() < r.Servers[a].InFlight() {
		return b
	}
	return a
}

// LeastInFlight picks the usable server with the fewest calls of this entry
// in flight. Ties are broken at random.
type LeastInFlight[S ServerView] struct {
	// Rand must be set.
	Rand *rand.Rand
}

// Pick implements Policy.
func (p *LeastInFlight[S]) Pick(r *Request[S]) int {
	return least(r, p.Rand, func(s S) int { return s.InFlight() })
}

// LeastReported picks the usable server with the lowest last reported load.
// Servers without a report count with the calls of this entry in flight. Ties
// are broken at random.
type LeastReported[S ServerView] struct {
	// Rand must be set.
	Rand *rand.Rand
}

// Pick implements Policy.
func (p *LeastReported[S]) Pick(r *Request[S]) int {
	return least(r, p.Rand, func(s S) int {
		load, at := s.Reported()
		if at.IsZero() {
			return s.InFlight()
		}
		return load
	})
}

// least returns the index of the eligible server with the lowest load, chosen
// uniformly at random among ties.
func least[S ServerView](r *Request[S], rnd *rand.Rand, load func(S) int) int {
	best, ties := None, 0
	for i, s := range r.Servers {
		if !r.eligible(i) {
			continue
		}
		switch l := load(s); {
		case best == None || l < load(r.Servers[best]):
			best, ties = i, 1
		case l == load(r.Servers[best]):
			ties++
			if rnd.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}
