package picker

import (
	"math/rand/v2"
	"time"
)

// View is what a policy may know of a server.
type View interface {
	// Usable reports whether a call may be sent to the server at all.
	Usable(now time.Time) bool
	// Free returns how many more calls the server can run at once by what
	// this entry knows; it may be negative.
	Free(now time.Time) int
	// Own returns how many calls of this entry are in flight.
	Own() int
	// Reported returns the load that the server last told, in calls, and
	// when; the zero time if it never did.
	Reported() (int, time.Time)
	// Home reports whether this entry comes first for the server.
	Home() bool
	// Suspect reports whether calls in flight take longer than they should.
	Suspect(now time.Time) bool
	// Expected returns how long the server's last answers took on average.
	Expected() time.Duration
}

// Request is what a policy chooses by.
type Request[S View] struct {
	// Now is the time of the choice.
	Now time.Time
	// Servers are the candidates. Those that are not usable are passed over.
	Servers []S
	// Skip reports candidates that the call must not go to, nil for none.
	Skip func(S) bool
}

func (r *Request[S]) open(i int) bool {
	s := r.Servers[i]
	if !s.Usable(r.Now) {
		return false
	}
	return r.Skip == nil || !r.Skip(s)
}

// None is returned by a policy that finds no server.
const None = -1

// Policy chooses servers. It is not safe for concurrent use.
type Policy[S View] interface {
	// Pick returns the place of the chosen server in r.Servers, or None.
	Pick(r *Request[S]) int
}

// Random picks any usable server.
type Random[S View] struct {
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
		if r.open(i) {
			return i
		}
	}
	return None
}

// RoundRobin picks usable servers in turn.
type RoundRobin[S View] struct {
	// last is the place of the last choice.
	last int
}

// Pick implements Policy.
func (p *RoundRobin[S]) Pick(r *Request[S]) int {
	n := len(r.Servers)
	for range n {
		p.last = (p.last + 1) % n
		if r.open(p.last) {
			return p.last
		}
	}
	return None
}

// TwoChoices picks the one of two random usable servers that has the fewer
// calls of this entry in flight.
type TwoChoices[S View] struct {
	// Rand must be set.
	Rand *rand.Rand
}

// Pick implements Policy.
func (p *TwoChoices[S]) Pick(r *Request[S]) int {
	one := Random[S]{Rand: p.Rand}
	a, b := one.Pick(r), one.Pick(r)
	if a != None && r.Servers[b].Own() < r.Servers[a].Own() {
		return b
	}
	return a
}

// LeastInFlight picks the usable server with the fewest calls of this entry
// in flight, any of them when several have.
type LeastInFlight[S View] struct {
	// Rand must be set.
	Rand *rand.Rand
}

// Pick implements Policy.
func (p *LeastInFlight[S]) Pick(r *Request[S]) int {
	return least(r, p.Rand, func(s S) int { return s.Own() })
}

// FreshestReport picks the usable server that last told the least load.
type FreshestReport[S View] struct {
	// Rand must be set.
	Rand *rand.Rand
}

// Pick implements Policy.
func (p *FreshestReport[S]) Pick(r *Request[S]) int {
	return least(r, p.Rand, func(s S) int {
		load, at := s.Reported()
		if at.IsZero() {
			return s.Own()
		}
		return load
	})
}

func least[S View](r *Request[S], rnd *rand.Rand, load func(S) int) int {
	best, ties := None, 0
	for i, s := range r.Servers {
		if !r.open(i) {
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
