package forwarder

import (
	"sync"
	"time"

	"poplarwind/limiter"
	"poplarwind/placer"
)

// service is the state of one service at this entry.
type service struct {
	name string

	mu     sync.Mutex
	fleet  placer.Fleet
	ration limiter.Ration
	line   limiter.Line[*exchange]
	// works holds how long the requests of each route take here.
	works map[string]*placer.Work
	// turns counts requests of the line that are being placed.
	turns int
	// armed says that a timer will call pump.
	armed bool
	// carriers is how many entries carry the service.
	carriers int
}

const (
	// maxTurns is how many requests of the line may be placed at once.
	maxTurns = 3
	// lineEvery is how often the first of the line looks for a slot that other
	// entries may have freed.
	lineEvery = 12 * time.Millisecond
	// rationShare is the part of the retry budget that grows with load which
	// entries spend. Each earns it by its own requests, so that all together
	// stay within it; they count in steps.
	rationShare = 0.95
	// allowanceShare is the same for the part that does not grow with load, of
	// the entries that carry a service, and idleShare that of all the others.
	// Entries may differ in who they think carries it, those that take another's
	// place have a part of their own, and one that starts anew can spend its part
	// again.
	allowanceShare = 0.3
	idleShare      = 0.1
)

// work returns how long the requests of a route take here. The lock must be
// held.
func (s *service) work(route string) *placer.Work {
	w := s.works[route]
	if w == nil {
		w = &placer.Work{}
		s.works[route] = w
	}
	return w
}

func (s *service) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.Remove(id)
}

// configure takes in a request of a route and sets what depends on the entries.
// It returns how long the route's requests take.
func (s *service) configure(o Options, route string, now time.Time) *placer.Work {
	e := o.Entries(s.name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.carriers = max(1, e.Carriers)
	for scope, part := range e.Questions {
		s.fleet.Probes[scope] = part * o.Probes
	}
	allowance := idleShare * o.Retries.Allowance / float64(e.All)
	if e.Carries {
		allowance = allowanceShare * o.Retries.Allowance / float64(e.Carriers)
	}
	s.ration.Set(rationShare*o.Retries.Share, allowance, o.Retries.Window)
	s.ration.Count(now)
	return s.work(route)
}

// pump gives requests of the line their turn. The lock must be held.
func (s *service) pump(now time.Time) {
	for s.turns < maxTurns {
		x, ok := s.line.First(now)
		if !ok {
			return
		}
		s.line.Remove(x)
		s.turns++
		x.turn <- struct{}{}
	}
}

// arm has pump called in a while. The lock must be held.
func (s *service) arm() {
	if s.armed {
		return
	}
	s.armed = true
	time.AfterFunc(lineEvery, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.armed = false
		s.pump(time.Now())
	})
}

// finish ends a request at an upstream.
func (s *service) finish(a *placer.Attempt, r placer.Result, work *placer.Work) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.fleet.Finish(now, a, r, work)
	s.pump(now)
}

// wait estimates how long a request at a place of the line waits for a slot
// at this entry.
func (s *service) wait(now time.Time, ahead int) time.Duration {
	slots := float64(s.fleet.Slots(now)) / float64(s.carriers)
	if slots <= 0 {
		return noSlotsWait
	}
	return time.Duration(float64(ahead) / slots * float64(s.fleet.Usual()))
}

// noSlotsWait is how long a service without upstreams is expected to stay so:
// the time in which service discovery tells of new ones.
const noSlotsWait = 500 * time.Millisecond
