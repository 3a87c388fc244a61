package placer

import "time"

//go:generate go tool stringer -type=Result -linecomment -output=result_string.go

// Result says how a request ended at an upstream.
type Result int

// The results of sending a request to an upstream.
const (
	// Answered means a whole answer that tells of no fault.
	Answered Result = iota // answered
	// Failed means an answer that tells of a fault, or none at all.
	Failed // failed
	// Refused means that the upstream did not run the request.
	Refused // refused
	// Dropped means that this entry gave the request up.
	Dropped // dropped
)

// Work is how long the requests of one kind take at an upstream that works at
// its usual pace. Its zero value is unknown.
type Work struct{ usual time.Duration }

// Usual returns the average, 0 before any answer.
func (w *Work) Usual() time.Duration { return w.usual }

// Attempt is one request at one upstream.
type Attempt struct {
	upstream *Upstream
	begun    time.Time
	// slowness and above are what the upstream was like at the start: they
	// decide how long the whole request takes.
	slowness float64
	above    bool
}

// Upstream returns where the request is.
func (a *Attempt) Upstream() *Upstream { return a.upstream }

// Start counts a request that is sent to the upstream.
func (f *Fleet) Start(now time.Time, u *Upstream) *Attempt {
	a := &Attempt{upstream: u, begun: now, slowness: u.slowness(now), above: u.above(now)}
	u.own++
	return a
}

// Finish counts a request that ended. Work is that of its kind, and learns
// from it.
func (f *Fleet) Finish(now time.Time, a *Attempt, r Result, work *Work) {
	u := a.upstream
	u.own--
	switch r {
	case Answered:
		u.failures, u.ejections = 0, 0
		u.judge(now, false)
		f.learn(a, now.Sub(a.begun), work)
	case Failed:
		u.failures++
		u.judge(now, true)
		f.eject(now, u)
	case Refused:
		f.refuse(now, u)
	}
}

// refuse takes in that an upstream did not run a request. It is full, unless it
// told of free slots just now: then it refuses for another reason, and the next
// request may fare better.
func (f *Fleet) refuse(now time.Time, u *Upstream) {
	if now.Sub(u.report.At) < refusalFresh && u.busy(now) < float64(u.Slots()) {
		return
	}
	u.report.Running = max(u.report.Running, u.Slots())
	u.report.At, u.ownThen = now, u.own
}

// refusalFresh is the age up to which a report tells why a request was refused.
const refusalFresh = 100 * time.Millisecond

const (
	// learnShare is the weight of one answer in averages.
	learnShare = 1.0 / 16
	// maxKnee bounds what is learned of the last slots.
	maxKnee = 3
)

// learn takes in how long an answered request took.
func (f *Fleet) learn(a *Attempt, took time.Duration, work *Work) {
	f.usual = average(f.usual, took)
	paced := time.Duration(float64(took) / max(a.slowness, 1))
	if !a.above {
		work.usual = average(work.usual, paced)
		return
	}
	if work.usual == 0 {
		return
	}
	ratio := min(max(float64(paced)/float64(work.usual), 0), maxKnee)
	if f.knee == 0 {
		f.knee = 1
	}
	f.knee += learnShare * (ratio - f.knee)
}

func average(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(learnShare*float64(sample-old))
}

// Silent counts a question for an upstream's load that had no answer.
func (f *Fleet) Silent(now time.Time, u *Upstream) {
	u.silent++
	if u.silent >= maxSilent {
		f.keepOut(now, u)
	}
}

const (
	// maxFailures is how many failures in a row eject an upstream. One in ten
	// requests may fail by itself without three in a row being likely.
	maxFailures = 3
	// maxSilent is the same for questions without an answer.
	maxSilent = 2
	// ejectFor is the first ejection's length; each further one doubles it up
	// to ejectMost.
	ejectFor  = 1 * time.Second
	ejectMost = 8 * time.Second
	// keptShare is the part of the upstreams that ejection must leave.
	keptShare = 0.5
)

func (f *Fleet) eject(now time.Time, u *Upstream) {
	if u.failures >= maxFailures || u.ejections > 0 {
		f.keepOut(now, u)
	}
}

// keepOut ejects an upstream unless too many are out already.
func (f *Fleet) keepOut(now time.Time, u *Upstream) {
	in := 0
	for _, v := range f.list {
		if v != u && v.Usable(now) {
			in++
		}
	}
	if float64(in) < keptShare*float64(len(f.list)) {
		return
	}
	u.ejected = now.Add(min(ejectFor<<min(u.ejections, 3), ejectMost))
	u.ejections++
	u.failures, u.silent = 0, 0
}
