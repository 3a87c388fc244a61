package placer

import (
	"math"
	"time"
)

// Spec is what service discovery tells of an upstream.
type Spec struct {
	// ID names one upstream; an upstream that starts again may keep it.
	ID      string `json:"id"`
	Service string `json:"service"`
	// Addr is an IP number and a port.
	Addr   string `json:"addr"`
	Domain string `json:"domain"`
	// Version is that of the upstream's software.
	Version string `json:"version,omitempty"`
	// Slots is how many requests it runs at once, at least 1.
	Slots int `json:"slots"`
	// Leaving says that it takes no new requests.
	Leaving bool `json:"leaving,omitempty"`
	// Warmup is how much longer it was slow when it told so.
	Warmup time.Duration `json:"warmup,omitempty"`
	// Born is when its process started, in Unix milliseconds, 0 if untold.
	Born int64 `json:"born,omitempty"`
}

// Report is what an upstream tells of its load.
type Report struct {
	// Running and Waiting count requests of all entries.
	Running, Waiting int
	// Slots is how many it runs at once, 0 if untold.
	Slots int
	// Slowness is how long work takes at the moment, 1 being as usual.
	Slowness float64
	// At is when the report was received.
	At time.Time
}

// Upstream is one upstream as an entry sees it.
type Upstream struct {
	spec Spec
	// own counts this entry's requests in flight.
	own int
	// report is the last one, its At zero if there was none; ownThen is what
	// own was when it came.
	report  Report
	ownThen int
	// failures counts failed requests since the last good one.
	failures int
	// faults is the part of its last requests that failed, as of judged.
	faults float64
	judged time.Time
	// ejected is until when the upstream is not used, and ejections how often
	// in a row that happened.
	ejected   time.Time
	ejections int
	// warm is when its slow start is over.
	warm time.Time
	// gone says that it left or is another one's address now.
	gone bool
	// credit is how many questions for its load are paid for, as of asked.
	credit float64
	asked  time.Time
	// silent counts questions without an answer since the last answer.
	silent int
}

// Spec returns what service discovery tells.
func (u *Upstream) Spec() Spec { return u.spec }

// ID returns the name.
func (u *Upstream) ID() string { return u.spec.ID }

// Addr returns the address to connect to.
func (u *Upstream) Addr() string { return u.spec.Addr }

// Own returns how many requests of this entry are in flight.
func (u *Upstream) Own() int { return u.own }

// Slots returns how many requests it runs at once.
func (u *Upstream) Slots() int { return max(1, u.spec.Slots) }

// Report returns the last report, with a zero At if there was none.
func (u *Upstream) Report() Report { return u.report }

// Ejected reports whether the upstream is kept out after failures.
func (u *Upstream) Ejected(now time.Time) bool { return now.Before(u.ejected) }

// Usable reports whether requests may be sent to the upstream.
func (u *Upstream) Usable(now time.Time) bool {
	return !u.gone && !u.spec.Leaving && !u.Ejected(now)
}

const (
	// faultShare is the weight of one request in the part that failed.
	faultShare = 0.2
	// faultFade is the time in which what failed counts half: without it an
	// upstream that is avoided would never be found sound again.
	faultFade = 2 * time.Second
	// faultCost is what the part that failed costs, in units of a request's
	// work: a request that fails takes its time and has to be sent again.
	faultCost = 4
)

// faulty returns the part of the last requests that failed.
func (u *Upstream) faulty(now time.Time) float64 {
	if u.faults == 0 {
		return 0
	}
	return u.faults * math.Exp2(-float64(now.Sub(u.judged))/float64(faultFade))
}

// judge takes in whether a request failed.
func (u *Upstream) judge(now time.Time, failed bool) {
	u.faults, u.judged = u.faulty(now)*(1-faultShare), now
	if failed {
		u.faults += faultShare
	}
}

const (
	// reportFade is the age at which what a report tells of other entries'
	// requests counts for nothing: about the length of a request's work.
	reportFade = 250 * time.Millisecond
	// slowFade is the same for slowness, which lasts about this long.
	slowFade = 150 * time.Millisecond
)

// busy estimates the requests of all entries at the upstream: those of this
// entry, and others by the last report as long as it is fresh.
func (u *Upstream) busy(now time.Time) float64 {
	others := u.report.Running + u.report.Waiting - u.ownThen
	if u.report.At.IsZero() || others <= 0 {
		return float64(u.own)
	}
	left := 1 - float64(now.Sub(u.report.At))/float64(reportFade)
	return float64(u.own) + max(0, left)*float64(others)
}

// told returns how many requests of all entries the upstream has if those of
// others are as many as it last told. One that told nothing counts as full.
func (u *Upstream) told() int {
	if u.report.At.IsZero() {
		return max(u.own, u.Slots())
	}
	return u.own + max(0, u.report.Running+u.report.Waiting-u.ownThen)
}

// slowness estimates how long work takes compared with the usual.
func (u *Upstream) slowness(now time.Time) float64 {
	s := 1.0
	if !u.report.At.IsZero() && u.report.Slowness > 0 && now.Sub(u.report.At) < slowFade {
		s = u.report.Slowness
	}
	if now.Before(u.warm) {
		s *= coldFactor
	}
	return s
}

// coldFactor is how many times as long work takes after a start.
const coldFactor = 2

// maxCredit is how many questions may be asked at once, so that a burst is
// answered well; the average stays within the budget.
const maxCredit = 20

// pay takes one question out of the budget of rate a second, if there is one
// left. A rate of 0 is without bound.
func (u *Upstream) pay(now time.Time, rate float64) bool {
	if rate <= 0 {
		return true
	}
	u.credit, u.asked = u.left(now, rate), now
	if u.credit < 1 {
		return false
	}
	u.credit--
	return true
}

// left returns how many questions are paid for by now.
func (u *Upstream) left(now time.Time, rate float64) float64 {
	if rate <= 0 || u.asked.IsZero() {
		return maxCredit
	}
	return min(maxCredit, u.credit+rate*now.Sub(u.asked).Seconds())
}

// hear takes in a report.
func (u *Upstream) hear(r Report) {
	if r.At.Before(u.report.At) {
		return
	}
	u.report, u.ownThen = r, u.own
	u.silent = 0
}
