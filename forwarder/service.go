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

	mu          sync.Mutex
	fleet       placer.Fleet
	retryBudget limiter.RetryBudget
	queue       limiter.Queue[*exchange]
	// serviceTimes holds the average service time at this entry, by route.
	serviceTimes map[string]*placer.ServiceTime
	// placing counts dequeued requests that are being placed.
	placing int
	// dispatchScheduled reports whether a timer will call dispatchQueued.
	dispatchScheduled bool
	// assignedEntries is the number of entries assigned to the service.
	assignedEntries int
}

const (
	// maxPlacing is the maximum number of dequeued requests that are placed
	// concurrently.
	maxPlacing = 3
	// queuePollInterval is how often the first request of the queue checks for
	// a slot that other entries may have freed.
	queuePollInterval = 12 * time.Millisecond
	// retryFraction is the fraction of the load-proportional retry budget that
	// entries use. Each entry accrues it from its own requests, so that all
	// together stay within the budget. The margin covers the error of counting
	// in buckets instead of over an exact window.
	retryFraction = 0.95
	// assignedAllowanceFraction is the fraction of the load-independent retry
	// allowance for the entries assigned to a service, and
	// unassignedAllowanceFraction that for all other entries. The margin is
	// for entries that disagree on the assignment, for replacements of
	// assigned entries, which have an allowance of their own, and for an entry
	// that restarts, which can spend its allowance again.
	assignedAllowanceFraction   = 0.3
	unassignedAllowanceFraction = 0.1
)

// serviceTime returns the average service time of a route at this entry. The
// lock must be held.
func (s *service) serviceTime(route string) *placer.ServiceTime {
	t := s.serviceTimes[route]
	if t == nil {
		t = &placer.ServiceTime{}
		s.serviceTimes[route] = t
	}
	return t
}

func (s *service) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.Remove(id)
}

// admit counts a request of a route and updates the limits that depend on the
// set of entries. It returns the service time of the route.
func (s *service) admit(o Options, route string, now time.Time) *placer.ServiceTime {
	entries := o.Entries(s.name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.assignedEntries = max(1, entries.Assigned)
	for scope, fraction := range entries.ProbeFraction {
		s.fleet.ProbeRates[scope] = fraction * o.ProbeRate
	}
	allowance := unassignedAllowanceFraction * o.RetryBudget.Allowance / float64(entries.Total)
	if entries.IsAssigned {
		allowance = assignedAllowanceFraction * o.RetryBudget.Allowance / float64(entries.Assigned)
	}
	s.retryBudget.Set(retryFraction*o.RetryBudget.Ratio, allowance, o.RetryBudget.Window)
	s.retryBudget.Count(now)
	return s.serviceTime(route)
}

// dispatchQueued dequeues requests to be placed, up to maxPlacing at a time.
// The lock must be held.
func (s *service) dispatchQueued(now time.Time) {
	for s.placing < maxPlacing {
		x, ok := s.queue.First(now)
		if !ok {
			return
		}
		s.queue.Remove(x)
		s.placing++
		x.dequeued <- struct{}{}
	}
}

// scheduleDispatch schedules a call of dispatchQueued unless one is pending.
// The lock must be held.
func (s *service) scheduleDispatch() {
	if s.dispatchScheduled {
		return
	}
	s.dispatchScheduled = true
	time.AfterFunc(queuePollInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.dispatchScheduled = false
		s.dispatchQueued(time.Now())
	})
}

// finishAttempt records the result of an attempt and dispatches queued
// requests.
func (s *service) finishAttempt(a *placer.Attempt, r placer.Result, serviceTime *placer.ServiceTime) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.fleet.Finish(now, a, r, serviceTime)
	s.dispatchQueued(now)
}

// estimateWait estimates how long a request waits for a slot at this entry,
// given the number of requests ahead of it.
func (s *service) estimateWait(now time.Time, ahead int) time.Duration {
	slots := float64(s.fleet.Slots(now)) / float64(s.assignedEntries)
	if slots <= 0 {
		return noSlotsWait
	}
	return time.Duration(float64(ahead) / slots * float64(s.fleet.AverageLatency()))
}

// noSlotsWait is the expected wait for a service without slots: the time in
// which service discovery reports new upstreams.
const noSlotsWait = 500 * time.Millisecond
