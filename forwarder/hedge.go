package forwarder

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"poplarwind/internal/guarder"
	"poplarwind/placer"
	"poplarwind/pooler"
)

const (
	// hedgeProbes is the number of upstreams of a scope that are probed for a hedge. They are
	// chosen by their last reports, and a hedge has no value if it is late.
	hedgeProbes = 2
	// hedgeLinesPerSecond bounds the log lines about hedges.
	hedgeLinesPerSecond = 5
)

func newHedgeLimiter() *rate.Limiter {
	return rate.NewLimiter(hedgeLinesPerSecond, hedgeLinesPerSecond)
}

// HedgeRecord describes the hedge of a request.
type HedgeRecord struct {
	// First and Second are the IDs of the upstreams of both attempts.
	First, Second string
	// Delay is the time after which the second attempt was sent, FirstExpected and
	// SecondExpected are the durations that were expected of the attempts.
	Delay, FirstExpected, SecondExpected time.Duration
	// Outcome is one of the outcomes of a hedge.
	Outcome string
}

// The outcomes of a hedge.
const (
	hedgeWon          = "second won"
	hedgeLost         = "first won"
	hedgeFailed       = "no response"
	hedgeDisconnected = "caller left"
)

// contender is one of the attempts of a request that may run at the same time as another.
type contender struct {
	candidate
	// ctx ends when the caller has disconnected or cancel was called.
	ctx    context.Context
	cancel context.CancelFunc
	// stop ends the effect of ctx on the connection.
	stop func() bool
	// responding is closed when the first byte of a response to the first attempt can be read, or
	// when it has failed.
	responding chan struct{}
	// done is closed when o is final, if the attempt runs in a goroutine of its own.
	done    chan struct{}
	running bool
	o       outcome
	// expected is the expected duration of the attempt.
	expected time.Duration
}

func (x *exchange) newContender(cand candidate) *contender {
	c := &contender{candidate: cand, responding: make(chan struct{}), done: make(chan struct{})}
	c.ctx, c.cancel = context.WithCancel(x.caller)
	return c
}

// runContender calls f, which carries out the attempt, in a goroutine of its own. If f panics, the
// upstream may have run the request.
func (x *exchange) runContender(c *contender, f func()) {
	c.running = true
	go func() {
		defer close(c.done)
		defer guarder.Contain(x.forwarder.options.Log, "hedged attempt", func() { c.o = outcome{sent: true, err: errIncomplete} })
		f()
	}()
}

// end cancels the attempt and waits until it has ended: it uses the caller's request.
func (c *contender) end() {
	c.cancel()
	if c.running {
		<-c.done
	}
}

// responds reports whether responding is closed.
func (c *contender) responds() bool {
	select {
	case <-c.responding:
		return true
	default:
		return false
	}
}

// mayHedge reports whether requests of the route may be hedged.
func (x *exchange) mayHedge() bool { return x.forwarder.options.Hedge > 0 && x.route.Idempotent }

// sendHedged is like send for a candidate whose upstream may be sent the request. If the response
// is late, the request is sent to a second upstream as well, and the first complete response wins.
// Both attempts have ended when sendHedged returns, and their results are recorded.
func (x *exchange) sendHedged(cand candidate) outcome {
	first := x.newContender(cand)
	defer first.end()
	events := x.planHedge(first)
	if len(events) == 0 || !time.Now().Add(events[0].after).Before(x.deadline) {
		x.roundTrip(cand, &first.o)
		x.recordFirst(first, false)
		return first.o
	}
	first.stop = x.begin(first.ctx, cand, &first.o)
	if first.o.err != nil || x.awaitFirst(first, cand.attempt.StartedAt().Add(events[0].after)) {
		x.complete(cand, &first.o, first.stop)
		x.recordFirst(first, false)
		return first.o
	}
	// Both attempts may need the fingerprint, which is computed on first use.
	x.fingerprint()
	x.runContender(first, func() {
		x.awaitFirst(first, x.deadline)
		close(first.responding)
		x.complete(cand, &first.o, first.stop)
	})
	second, verdict := x.awaitHedge(first, events)
	if second == nil {
		x.recordFirst(first, false)
		x.recordDenied(verdict)
		return first.o
	}
	defer second.end()
	return x.race(first, second, events)
}

// planHedge counts the request for the hedge limit and returns when to decide on its first attempt,
// nothing if too little is known of its duration.
func (x *exchange) planHedge(first *contender) []hedgeEvent {
	s := x.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(x.attempted) == 1 {
		s.hedges.budget.Earn(x.forwarder.options.Hedge)
	}
	first.expected = s.fleet.ExpectedDuration(first.attempt, x.serviceTime)
	delay := hedgeDelay(s.hedges.responseTimes(x.route.Name), first.expected)
	if delay == 0 {
		return nil
	}
	overdue := overdueFactor * first.expected
	if x.attempts() >= x.route.Attempts || first.attempt.StartedAt().Add(overdue+x.minServiceTime()).After(x.deadline) {
		overdue = 0
	}
	return hedgeEvents(delay, overdue)
}

// awaitFirst waits for the first byte of the response to the first attempt until t. It reports true if
// the response can be read, or if the attempt was cancelled.
func (x *exchange) awaitFirst(first *contender, t time.Time) bool {
	responded := first.conn.AwaitResponse(first.ctx, t)
	first.conn.SetDeadline(x.deadline)
	if first.ctx.Err() != nil {
		first.conn.Abort()
		return true
	}
	return responded
}

// awaitHedge waits until the first attempt has ended or is hedged. One whose response has begun is
// neither hedged nor given up. It returns the second attempt, or nil if the first has ended, with the
// last verdict.
func (x *exchange) awaitHedge(first *contender, events []hedgeEvent) (*contender, hedgeVerdict) {
	verdict := hedgeAllowed
	timer := time.NewTimer(0)
	defer timer.Stop()
	for _, event := range events {
		timer.Reset(time.Until(first.attempt.StartedAt().Add(event.after)))
		select {
		case <-first.responding:
			<-first.done
			return nil, verdict
		case <-timer.C:
		}
		if !verdict.final() {
			var second *contender
			if second, verdict = x.hedge(first); second != nil {
				return second, verdict
			}
		}
		if event.giveUp && !first.responds() && x.giveUp(first) {
			break
		}
	}
	<-first.done
	return nil, verdict
}

// giveUp ends the first attempt, whose response is overdue, if the request may be sent to another
// upstream instead, and reports whether it did.
func (x *exchange) giveUp(first *contender) bool {
	s := x.service
	s.mu.Lock()
	now := time.Now()
	ok := x.caller.Err() == nil && x.attempts() < x.route.Attempts && x.hasTime(now) && x.hasOther(now) && s.spendRetry(now)
	s.mu.Unlock()
	if !ok {
		return false
	}
	first.end()
	if first.o.resp == nil && first.o.disconnected && x.caller.Err() == nil {
		first.o.disconnected, first.o.overdue, first.o.err = false, true, errOverdue
	}
	return true
}

// hedge decides whether the request is sent to a second upstream, and sends it.
func (x *exchange) hedge(first *contender) (*contender, hedgeVerdict) {
	quarantined := x.quarantined()
	s := x.service
	s.mu.Lock()
	now := time.Now()
	verdict := x.decideHedge(now, first, x.serviceTime.Average(), quarantined)
	s.mu.Unlock()
	if verdict != hedgeAllowed {
		return nil, verdict
	}
	cand, expected, verdict := x.pickHedge(first)
	if cand.attempt == nil {
		return nil, verdict
	}
	x.attempted = append(x.attempted, cand.upstream)
	second := x.newContender(cand)
	second.expected = expected
	x.runContender(second, func() {
		second.stop = x.begin(second.ctx, cand, &second.o)
		x.complete(cand, &second.o, second.stop)
	})
	return second, hedgeAllowed
}

// decideHedge decides whether a hedge that is expected to take the given time is sent. The lock of
// the service must be held.
func (x *exchange) decideHedge(now time.Time, first *contender, expected time.Duration, quarantined bool) hedgeVerdict {
	in := x.hedgeInput(now, now.Sub(first.attempt.StartedAt()), expected, quarantined)
	return x.service.hedges.decide(in, x.service.hedges.responseTimes(x.route.Name))
}

// hedgeInput returns what a decision on a hedge depends on, apart from the state. The lock of the
// service must be held.
func (x *exchange) hedgeInput(now time.Time, elapsed, expected time.Duration, quarantined bool) hedgeInput {
	f, s := x.forwarder, x.service
	return hedgeInput{
		stopping: f.closed.Load() || f.end.Load() != nil, cutOff: x.cutOff(), quarantined: quarantined,
		attemptsLeft: x.route.Attempts - x.attempts(), elapsed: elapsed, left: x.deadline.Sub(now), expected: expected,
		waiting: s.queue.Len() + s.placing, taken: s.fleet.TakenFraction(now), retryLeft: s.retryBudget.Ready(now),
	}
}

// pickHedge probes upstreams, of the entry's failure domain first, and starts the second attempt on
// the best of them that is free, unless the first one responds meanwhile. It returns the expected
// duration of the attempt.
func (x *exchange) pickHedge(first *contender) (picked candidate, expected time.Duration, verdict hedgeVerdict) {
	s := x.service
	// A probe that is broken off when the first attempt responds may outlast the request.
	prober := &exchange{forwarder: x.forwarder, service: s, healthURI: x.healthURI, maxConns: x.maxConns, id: x.id}
	r := &probeRound{pool: x.forwarder.pool, results: make(chan candidate, 2*hedgeProbes), onFailure: prober.recordProbeFailure}
	var candidates []candidate
	verdict = deniedUpstream
	for _, scope := range []placer.Scope{placer.ScopeLocal, placer.ScopeRemote} {
		s.mu.Lock()
		now := time.Now()
		skip := func(u *placer.Upstream) bool { return x.tried(u) || !s.fleet.MayHedge(now, u) }
		upstreams := s.fleet.SelectProbes(nil, now, hedgeProbes, scope, skip)
		s.mu.Unlock()
		if len(upstreams) > 0 {
			candidates = prober.collect(first.responding, r, upstreams, candidates)
		}
		if first.responds() {
			verdict = hedgeAllowed
			break
		}
		if picked, expected, verdict = x.startHedge(first, candidates); verdict != deniedUpstream {
			break
		}
	}
	r.close(candidates, picked.conn)
	return picked, expected, verdict
}

// startHedge starts the second attempt on the best upstream that responded to its probe, and takes
// it from the hedge limit and the retry budget. The candidate has no attempt if the verdict denies
// the hedge.
func (x *exchange) startHedge(first *contender, candidates []candidate) (candidate, time.Duration, hedgeVerdict) {
	var responsive []*placer.Upstream
	conns := make(map[*placer.Upstream]*pooler.Conn, len(candidates))
	for _, cand := range candidates {
		if cand.conn != nil {
			responsive = append(responsive, cand.upstream)
			conns[cand.upstream] = cand.conn
		}
	}
	s := x.service
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	u := s.fleet.SelectHedge(now, responsive)
	if u == nil {
		return candidate{}, 0, deniedUpstream
	}
	expected := s.fleet.ExpectedAt(now, u, x.serviceTime)
	if verdict := x.decideHedge(now, first, expected, false); verdict != hedgeAllowed {
		return candidate{}, 0, verdict
	}
	if !s.spendRetry(now) {
		return candidate{}, 0, deniedRetryBudget
	}
	s.hedges.budget.Spend()
	s.hedges.sent++
	return candidate{upstream: u, conn: conns[u], attempt: s.fleet.Start(now, u)}, expected, hedgeAllowed
}

// race waits for the first complete response to either attempt and cancels the other one. An error
// or a rejection doesn't win while the other attempt runs.
func (x *exchange) race(first, second *contender, events []hedgeEvent) outcome {
	hedge := &HedgeRecord{
		First: first.upstream.ID(), Second: second.upstream.ID(), Delay: second.attempt.StartedAt().Sub(first.attempt.StartedAt()),
		FirstExpected: first.expected, SecondExpected: second.expected,
	}
	leader, other, cancelled := first, second, false
	select {
	case <-first.done:
	case <-second.done:
		leader, other = second, first
	}
	if leader.o.final(true) {
		other.end()
		cancelled = true
		if other.o.resp != nil {
			fasthttp.ReleaseResponse(other.o.resp)
		}
		x.recordContender(other, other == first, true)
	} else {
		x.recordContender(leader, leader == first, false)
		x.keep(leader.o)
		if leader = other; leader == first {
			x.awaitOverdue(first, events)
		}
		<-leader.done
	}
	x.recordContender(leader, leader == first, false)
	switch {
	case !leader.o.final(true) && x.caller.Err() != nil:
		hedge.Outcome = hedgeDisconnected
	case !leader.o.final(true):
		hedge.Outcome = hedgeFailed
	case leader == second:
		hedge.Outcome = hedgeWon
	default:
		hedge.Outcome = hedgeLost
	}
	x.recordHedge(hedge, cancelled)
	return leader.o
}

// awaitOverdue waits for the end of the first attempt after the second one has failed, and gives it
// up when its response is overdue.
func (x *exchange) awaitOverdue(first *contender, events []hedgeEvent) {
	for _, event := range events {
		if !event.giveUp {
			continue
		}
		timer := time.NewTimer(time.Until(first.attempt.StartedAt().Add(event.after)))
		defer timer.Stop()
		select {
		case <-first.responding:
		case <-timer.C:
			x.giveUp(first)
		}
		return
	}
}

// recordContender records the result of an attempt. lost is set if it was cancelled because the
// other one has won.
func (x *exchange) recordContender(c *contender, isFirst, lost bool) {
	if isFirst {
		x.recordFirst(c, lost)
		return
	}
	x.service.finishAttempt(c.attempt, c.o.result(), x.serviceTime)
}

// recordFirst records the result of a first attempt and its response time. That of a cancelled one
// or of one that was given up is longer than the time that it had; without it, the quantile would
// fall with each hedge.
func (x *exchange) recordFirst(first *contender, lost bool) {
	s := x.service
	now := time.Now()
	result := first.o.result()
	ejected := false
	s.mu.Lock()
	if lost && result == placer.Abandoned {
		ejected = s.fleet.FinishLost(now, first.attempt)
	} else {
		s.fleet.Finish(now, first.attempt, result, x.serviceTime)
	}
	if result == placer.Answered || lost || first.o.overdue {
		s.hedges.responseTimes(x.route.Name).Record(now.Sub(first.attempt.StartedAt()))
	}
	s.dispatchQueued(now)
	s.mu.Unlock()
	if ejected {
		x.forwarder.options.Log.Warn("upstream ejected", "upstream", first.upstream.ID(), "service", s.name, "cause", "other upstreams responded first to its requests")
	}
}

// recordDenied counts a request that was not hedged after the delay.
func (x *exchange) recordDenied(verdict hedgeVerdict) {
	if verdict == hedgeAllowed {
		return
	}
	x.service.mu.Lock()
	defer x.service.mu.Unlock()
	x.service.hedges.denied[verdict]++
}

// recordHedge counts and logs the outcome of a hedge. cancelled is set if one of the attempts was
// cancelled because the other one had won.
func (x *exchange) recordHedge(h *HedgeRecord, cancelled bool) {
	s := x.service
	s.mu.Lock()
	if h.Outcome == hedgeWon {
		s.hedges.won++
	}
	if cancelled {
		s.hedges.cancelled++
	}
	s.mu.Unlock()
	x.hedged = h
	if x.forwarder.hedgeLines.Allow() {
		x.forwarder.options.Log.Info("request hedged", "request", x.id, "service", s.name, "route", x.route.Name, "upstreams", []string{h.First, h.Second},
			"delay_ms", h.Delay.Milliseconds(), "first_expected_ms", h.FirstExpected.Milliseconds(), "second_expected_ms", h.SecondExpected.Milliseconds(), "outcome", h.Outcome)
	}
}
