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

// Service is the state of one service at this entry: its dispatcher, which
// is protected by a mutex, and its connection pool.
type Service struct {
	path string
	pool *pooler.Pool

	mu sync.Mutex
	// settings is the accepted version that the dispatcher is configured with.
	settings   *parser.Service
	dispatcher *dispatcher.Dispatcher
	// stats counts calls by result.
	stats Stats
}

// Stats counts the admitted calls of a service by result.
type Stats struct {
	// No, Unknown and Yes count responses by the value of HeaderRan.
	No, Unknown, Yes int64
	// Late counts calls that got no response before their deadline.
	Late int64
	// Disconnected counts calls whose caller disconnected.
	Disconnected int64
	// GoodWeight is the total weight of the calls that got a response below
	// 500 before their deadline, and TotalWeight that of all calls.
	GoodWeight, TotalWeight float64
}

func newService(path string, pool *pooler.Pool) *Service {
	return &Service{path: path, pool: pool, dispatcher: dispatcher.New(dispatcher.Options{})}
}

// Path returns the settings path of the service.
func (s *Service) Path() string { return s.path }

// Settings returns the accepted settings.
func (s *Service) Settings() *parser.Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings
}

// configure applies accepted settings.
func (s *Service) configure(p *parser.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings = p
	s.dispatcher.Configure(dispatcher.Options{Slots: p.Slots(), QueueLimit: p.QueueLimit(), HedgeRatio: p.HedgeRatio(), RetryRatio: p.RetryRatio()})
	s.deliverOrders(time.Now())
}

// Update runs f on the service's dispatcher under its lock, then delivers the
// orders that this made possible.
func (s *Service) Update(f func(now time.Time, d *dispatcher.Dispatcher)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	f(now, s.dispatcher)
	s.deliverOrders(now)
}

// Stats returns the totals since the service was created.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// deliverOrders sends the dispatcher's pending orders to the calls that they
// are for. The lock must be held.
func (s *Service) deliverOrders(now time.Time) {
	for {
		o, ok := s.dispatcher.Next(now)
		if !ok {
			return
		}
		o.Call().Tag.(*exchange).events <- event{order: o}
	}
}

// finish ends an attempt and delivers the orders that this made possible.
func (s *Service) finish(a *dispatcher.Attempt, r dispatcher.Result, load int, draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.dispatcher.Finish(now, a, r, load)
	if draining {
		s.dispatcher.MarkDraining(a.Server().Name())
	}
	s.deliverOrders(now)
}

// record adds a finished call to the statistics.
func (s *Service) record(x *exchange, res callResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch res.ran {
	case RanNo:
		s.stats.No++
	case RanUnknown:
		s.stats.Unknown++
	case RanYes:
		s.stats.Yes++
	}
	s.stats.TotalWeight += x.route.Weight()
	switch {
	case errors.Is(res.err, errDisconnected):
		s.stats.Disconnected++
	case time.Now().After(x.deadline):
		s.stats.Late++
	case res.resp != nil && res.resp.StatusCode() < fasthttp.StatusInternalServerError:
		s.stats.GoodWeight += x.route.Weight()
	}
}
