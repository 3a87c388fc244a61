package forwarder

import (
	"slices"
	"time"

	"poplarwind/limiter"
	"poplarwind/placer"
)

//go:generate go tool stringer -type=hedgeVerdict -linecomment -output=hedgeverdict_string.go

// hedgeVerdict is the decision whether a hedge is sent, with the cause if it is not. A hedge is a
// second attempt of a request whose first one may still respond.
type hedgeVerdict int

// The verdicts, in the order in which they are checked.
const (
	hedgeAllowed      hedgeVerdict = iota // allowed
	deniedStopping                        // stopping
	deniedCutOff                          // cut off
	deniedQuarantine                      // quarantine
	deniedAttempts                        // attempts
	deniedDeadline                        // deadline
	deniedQueue                           // queue
	deniedLoad                            // load
	deniedLimit                           // limit
	deniedRetryBudget                     // retry budget
	deniedSlower                          // not sooner
	deniedUpstream                        // no free upstream
	hedgeVerdicts
)

// final reports whether later decisions on the same attempt would be the same.
func (v hedgeVerdict) final() bool {
	switch v {
	case deniedStopping, deniedQuarantine, deniedAttempts, deniedDeadline:
		return true
	}
	return false
}

const (
	// hedgeQuantile is the quantile of the route's response times after which a request is
	// hedged: without a fault, one request in twenty is that slow.
	hedgeQuantile = 0.95
	// minHedgeResponses is the number of responses below which the quantile is the slowest
	// one and says little.
	minHedgeResponses = 32
	// maxHedgeTaken is the fraction of the slots in use above which no hedge is sent: hedges
	// use spare time of the upstreams only.
	maxHedgeTaken = 0.7
	// maxHedgeDecisions bounds the decisions on one attempt, since each may take load probes.
	maxHedgeDecisions = 4
)

// hedgeState is what an entry knows of the hedges of one service. Its zero value is ready to
// use. It decides without a clock or I/O; the lock of the service guards it.
type hedgeState struct {
	// budget holds the hedges that requests have earned.
	budget limiter.TokenBudget
	// times holds the response times of first attempts, by route.
	times map[string]*placer.ResponseTimes
	// sent, won and cancelled count hedges, hedges whose response was returned, and attempts
	// that were cancelled because the other one had won.
	sent, won, cancelled int64
	// denied counts the requests that were not hedged after the delay, by the last verdict.
	denied [hedgeVerdicts]int64
}

// responseTimes returns the response times of a route.
func (h *hedgeState) responseTimes(route string) *placer.ResponseTimes {
	t := h.times[route]
	if t == nil {
		t = &placer.ResponseTimes{}
		if h.times == nil {
			h.times = make(map[string]*placer.ResponseTimes)
		}
		h.times[route] = t
	}
	return t
}

// hedgeDelay returns the time after which an attempt that is expected to take the given time may
// be hedged, 0 if too little is known. It is at most the time after which the attempt would be given
// up without hedging: if more than one request in twenty hangs, the quantile is the time of those
// that were hedged, and would grow with each hedge.
func hedgeDelay(times *placer.ResponseTimes, expected time.Duration) time.Duration {
	if times.Count() < minHedgeResponses || expected <= 0 {
		return 0
	}
	return max(min(times.Quantile(hedgeQuantile), overdueFactor*expected), expected)
}

// hedgeEvent is a time at which to decide on an attempt without a response: first whether it is
// hedged and, if giveUp is set, whether it is given up otherwise.
type hedgeEvent struct {
	after  time.Duration
	giveUp bool
}

// hedgeEvents returns when to decide on an attempt: after the delay, then at doubling intervals,
// since a cause of a denial may pass. overdue is the time after which the attempt is given up if
// it is not hedged, 0 if it is not given up.
func hedgeEvents(delay, overdue time.Duration) []hedgeEvent {
	events := make([]hedgeEvent, 0, maxHedgeDecisions+1)
	for i := range maxHedgeDecisions {
		events = append(events, hedgeEvent{after: delay + delay/2*time.Duration(1<<i-1)})
	}
	if overdue <= 0 {
		return events
	}
	overdue = max(overdue, delay)
	i := slices.IndexFunc(events, func(e hedgeEvent) bool { return e.after >= overdue })
	switch {
	case i < 0:
		return append(events, hedgeEvent{after: overdue, giveUp: true})
	case events[i].after > overdue:
		events = slices.Insert(events, i, hedgeEvent{after: overdue})
	}
	events[i].giveUp = true
	return events
}

// hedgeInput is what a decision on a hedge depends on, apart from the state.
type hedgeInput struct {
	stopping, cutOff, quarantined bool
	// attemptsLeft is the number of further attempts that the route allows.
	attemptsLeft int
	// elapsed is the time since the first attempt was sent, and left the time until the
	// request's deadline.
	elapsed, left time.Duration
	// expected is the expected duration of the second attempt.
	expected time.Duration
	// waiting is the number of requests that wait for a slot, and taken the fraction of the
	// slots in use.
	waiting int
	taken   float64
	// retryLeft reports whether the retry budget has a retry left.
	retryLeft bool
}

// decide decides whether a hedge is sent. The load pattern that it answers is an upstream that
// becomes slow or hangs after a request was placed on it.
func (h *hedgeState) decide(in hedgeInput, times *placer.ResponseTimes) hedgeVerdict {
	switch {
	case in.stopping:
		return deniedStopping
	case in.cutOff:
		return deniedCutOff
	case in.quarantined:
		return deniedQuarantine
	case in.attemptsLeft <= 0:
		return deniedAttempts
	case in.expected > in.left:
		return deniedDeadline
	case in.waiting > 0:
		return deniedQueue
	case in.taken > maxHedgeTaken:
		return deniedLoad
	case !h.budget.Ready():
		return deniedLimit
	case !in.retryLeft:
		return deniedRetryBudget
	case in.expected >= remaining(in.elapsed, times):
		return deniedSlower
	}
	return hedgeAllowed
}

// remaining estimates how much longer an attempt takes that has taken the given time: half of the
// responses that took longer took less than that. One that has taken longer than all others takes
// as long again.
func remaining(elapsed time.Duration, times *placer.ResponseTimes) time.Duration {
	if median := times.TailMedian(elapsed); median > elapsed {
		return median - elapsed
	}
	return elapsed
}

// HedgeStatus counts the hedges of one service since the start.
type HedgeStatus struct {
	// Sent is the number of hedges, Won those whose response was returned, and Cancelled the
	// attempts, of either kind, that were cancelled because the other one had won.
	Sent      int64 `json:"sent"`
	Won       int64 `json:"won"`
	Cancelled int64 `json:"cancelled"`
	// Denied is the number of requests that were slow enough for a hedge and got none, by
	// cause.
	Denied map[string]int64 `json:"denied,omitempty"`
}

// status returns the counts, nil if there was no hedge and none was denied.
func (h *hedgeState) status() *HedgeStatus {
	out := &HedgeStatus{Sent: h.sent, Won: h.won, Cancelled: h.cancelled}
	for v, n := range h.denied {
		if n > 0 {
			if out.Denied == nil {
				out.Denied = make(map[string]int64)
			}
			out.Denied[hedgeVerdict(v).String()] = n
		}
	}
	if out.Sent == 0 && out.Denied == nil {
		return nil
	}
	return out
}
