package relayer

import (
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/dispatcher"
	"poplarwind/parser"
	"poplarwind/pooler"
)

// Service is one service at this entry: its decisions under a lock, and its
// connections.
type Service struct {
	path string
	pool *pooler.Pool

	mu sync.Mutex
	// settings is the accepted version that the dispatcher is set to.
	settings *parser.Service
	dispatch *dispatcher.Dispatcher
	// tally counts calls by how they ended.
	tally Tally
}

// Tally counts the calls of a service by how they ended.
type Tally struct {
	// No, Unknown and Yes count answers by what they said of the run.
	No, Unknown, Yes int64
	// Late counts calls that were not answered before their deadline.
	Late int64
	// Gone counts calls whose caller left.
	Gone int64
	// Weighted sums the weights of calls answered well and in time, and
	// Wanted those of all calls.
	Weighted, Wanted float64
}

func newService(path string, pool *pooler.Pool) *Service {
	return &Service{path: path, pool: pool, dispatch: dispatcher.New(dispatcher.Options{})}
}

// Path returns the settings path of the service.
func (s *Service) Path() string { return s.path }

// Settings returns the accepted settings.
func (s *Service) Settings() *parser.Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings
}

// configure puts accepted settings in force.
func (s *Service) configure(p *parser.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings = p
	s.dispatch.Configure(dispatcher.Options{Slots: p.Slots(), Queue: p.Queue(), Hedge: p.Hedge(), Retry: p.Retry()})
	s.pump(time.Now())
}

// Update runs f on the service's dispatcher under its lock, then carries out
// what has become possible.
func (s *Service) Update(f func(now time.Time, d *dispatcher.Dispatcher)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	f(now, s.dispatch)
	s.pump(now)
}

// Tally returns the totals and the load of the last while.
func (s *Service) Tally() Tally {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tally
}

// pump hands the dispatcher's orders to the calls that they are about. The
// lock must be held.
func (s *Service) pump(now time.Time) {
	for {
		o, ok := s.dispatch.Next(now)
		if !ok {
			return
		}
		o.Call().Tag.(*exchange).events <- event{order: o}
	}
}

// finish ends an attempt and passes its place on.
func (s *Service) finish(a *dispatcher.Attempt, r dispatcher.Result, load int, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.dispatch.Finish(now, a, r, load)
	if leaving {
		s.dispatch.Leave(a.Server().Name())
	}
	s.pump(now)
}

// count takes an ended call into the tally.
func (s *Service) count(x *exchange, v verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch v.ran {
	case RanNo:
		s.tally.No++
	case RanUnknown:
		s.tally.Unknown++
	case RanYes:
		s.tally.Yes++
	}
	s.tally.Wanted += x.route.Weight()
	switch {
	case errors.Is(v.err, errGone):
		s.tally.Gone++
	case time.Now().After(x.deadline):
		s.tally.Late++
	case v.resp != nil && v.resp.StatusCode() < fasthttp.StatusInternalServerError:
		s.tally.Weighted += x.route.Weight()
	}
}
