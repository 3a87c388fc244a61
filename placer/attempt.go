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

// Start counts a request that is sent to the upstream.
func (f *Fleet) Start(u *Upstream) { u.own++ }

// Finish counts a request that ended after took.
func (f *Fleet) Finish(now time.Time, u *Upstream, r Result, took time.Duration) {
	u.own--
	switch r {
	case Answered:
		u.failures, u.ejections = 0, 0
		f.learn(took)
	case Failed:
		u.failures++
		f.eject(now, u)
	case Refused:
		u.report.Running = max(u.report.Running, u.Slots())
		u.report.At, u.ownThen = now, u.own
	}
}

// learnShare is the weight of one answer in the average time.
const learnShare = 1.0 / 16

func (f *Fleet) learn(took time.Duration) {
	if f.usual == 0 {
		f.usual = took
		return
	}
	f.usual += time.Duration(learnShare * float64(took-f.usual))
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
