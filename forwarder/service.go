package forwarder

import (
	"maps"
	"sync"
	"time"

	"poplarwind/limiter"
	"poplarwind/placer"
	"poplarwind/reacher"
)

// service is the state of one service at this entry.
type service struct {
	name string
	// reach is that of the upstreams of the service.
	reach *reacher.Reach

	// usedAt is when the service was last asked for. The forwarder's lock guards it.
	usedAt time.Time

	mu          sync.Mutex
	fleet       placer.Fleet
	retryBudget limiter.RetryBudget
	// retries counts the retries taken from the budget, and retriesDenied those for
	// which nothing was left.
	retries, retriesDenied int64
	// loadFraction is EntrySet.LoadFraction over the window of the retry budget.
	loadFraction limiter.SlidingMinimum
	// equalFraction is the fraction of the retry allowance that does not depend on load,
	// over the window of the retry budget.
	equalFraction limiter.SlidingMinimum
	queue         limiter.Queue[*exchange]
	hedges        hedgeState
	// serviceTimes holds the average service time at this entry, by route.
	serviceTimes map[string]*placer.ServiceTime
	// placing counts dequeued requests that are being placed.
	placing int
	// dispatchScheduled reports whether a timer will call dispatchQueued.
	dispatchScheduled bool
	// lost holds the requests to which an upstream gave no response, for each
	// upstream of which is being checked whether it still runs.
	lost map[*placer.Upstream][]lostRequest
	// assignedEntries is the number of entries assigned to the service.
	assignedEntries int
	// slotFraction is the fraction of the slots of all upstreams that this entry can expect.
	slotFraction float64
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
	// The load-independent retry allowance has three parts. Entries assigned to a
	// service share loadAllowanceFraction of it by their load, and
	// assignedAllowanceFraction equally; unassignedAllowanceFraction is for all
	// other entries. An entry's portions are the minimum over the budget's window, so
	// that they are bounded however load and the set of entries change. An entry that
	// starts has none by load, and no equal one before it knows the others. The margin
	// is for entries that were restarted, which can spend their equal portions again,
	// and for entries that disagree on the assignment.
	loadAllowanceFraction       = 0.45
	assignedAllowanceFraction   = 0.25
	unassignedAllowanceFraction = 0.05
)

// serviceTTL is how long a service without upstreams is kept. It is longer than the window of the
// retry budget, which would otherwise begin anew.
const serviceTTL = 2 * time.Minute

// unused reports whether the service has neither upstreams nor requests, and knows nothing of
// upstreams that were removed.
func (s *service) unused(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.Empty(now) && s.queue.Len() == 0 && s.placing == 0 && !s.dispatchScheduled && len(s.lost) == 0
}

// trimRoutes removes the service times and response times of routes that are not in the set of names.
func (s *service) trimRoutes(names map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.serviceTimes, func(name string, _ *placer.ServiceTime) bool { return !names[name] })
	maps.DeleteFunc(s.hedges.times, func(name string, _ *placer.ResponseTimes) bool { return !names[name] })
}

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

// spendRetry takes one retry from the budget and reports whether one was left. The lock
// must be held.
func (s *service) spendRetry(now time.Time) bool {
	if !s.retryBudget.Spend(now) {
		s.retriesDenied++
		return false
	}
	s.retries++
	return true
}

func (s *service) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.Remove(time.Now(), id)
}

// admit returns the service time of a route, a request of which is counted for the retry
// budget if count is set.
func (s *service) admit(route string, count bool) *placer.ServiceTime {
	s.mu.Lock()
	defer s.mu.Unlock()
	if count {
		s.retryBudget.Count()
	}
	return s.serviceTime(route)
}

// updateLimits updates the limits that depend on the set of entries.
func (s *service) updateLimits(o Options, now time.Time) {
	entries := o.Entries(s.name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.assignedEntries = max(1, entries.Assigned)
	s.slotFraction = slotFraction(entries)
	for scope, fraction := range entries.ProbeFraction {
		s.fleet.ProbeRates[scope] = fraction * o.ProbeRate
	}
	b := o.RetryBudget
	s.loadFraction.SetWindow(b.Window)
	s.loadFraction.Sample(now, entries.LoadFraction)
	fraction := unassignedAllowanceFraction / float64(entries.Total)
	if entries.IsAssigned {
		fraction = assignedAllowanceFraction / float64(entries.Assigned)
	}
	s.equalFraction.SetWindow(b.Window)
	if !entries.Starting {
		s.equalFraction.Sample(now, fraction)
	}
	fraction = s.equalFraction.Least(now) + loadAllowanceFraction*s.loadFraction.Value(now)
	s.retryBudget.Set(retryFraction*b.Ratio, fraction*b.Allowance, b.Window)
}

// dispatchQueued dequeues requests to be placed, up to maxPlacing at a time.
// The lock must be held.
func (s *service) dispatchQueued(now time.Time) {
	for s.placing < maxPlacing {
		x, ok := s.queue.Pop(now)
		if !ok {
			return
		}
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

// expectedSlots returns the number of slots that this entry can expect.
func (s *service) expectedSlots(now time.Time) float64 {
	return float64(s.fleet.Slots(now))*s.slotFraction + s.fleet.LimitedSlots(now)
}

// estimateWait estimates how long a request waits for a slot at this entry,
// given the number of requests ahead of it.
func (s *service) estimateWait(now time.Time, ahead int) time.Duration {
	slots := s.expectedSlots(now)
	if slots <= 0 {
		if wait, paused := s.fleet.PauseLeft(now); paused {
			return wait
		}
		return noSlotsWait
	}
	return time.Duration(float64(ahead) / slots * float64(s.fleet.AverageLatency()))
}

// noSlotsWait is the expected wait for a service without slots: the time in
// which service discovery reports new upstreams.
const noSlotsWait = 500 * time.Millisecond
