package placer

import "time"

//go:generate go tool stringer -type=Departure -linecomment -output=departure_string.go

// Departure is what an entry knows of the departure of an upstream's process from the
// process itself, whatever its service discovery record says.
type Departure int

// The states of departure. They never go back for a process.
const (
	// Staying means that nothing is known.
	Staying Departure = iota // staying
	// ReportedLeaving means that it has told another entry that it leaves. It is used
	// when no other upstream has room, since reports may be wrong.
	ReportedLeaving // reported
	// Leaving means that it has told this entry. It gets no more requests.
	Leaving // leaving
)

// leavingCost is the cost of a request at an upstream that leaves, according to another
// entry, relative to the typical duration of a request's work. It exceeds that of a slow
// one in another failure domain.
const leavingCost = 8

// Departure returns what is known of the upstream's departure.
func (u *Upstream) Departure() Departure { return u.process.departure }

// RecordLeaving records that the upstream has told this entry that it leaves. It reports
// whether this is news.
func (f *Fleet) RecordLeaving(u *Upstream) bool {
	if u.process.departure == Leaving {
		return false
	}
	u.process.departureUnreported = u.process.departure == Staying
	u.process.departure = Leaving
	return true
}

// ApplyLeavingReport records that an upstream whose process was started at startedAt has told
// another entry that it leaves. It returns the upstream if this is news.
func (f *Fleet) ApplyLeavingReport(id string, startedAt int64) *Upstream {
	u := f.Find(id)
	if u == nil || u.spec.StartedAt != startedAt || u.process.departure != Staying {
		return nil
	}
	u.process.departure = ReportedLeaving
	return u
}

// TakeUnreportedLeaving appends to dst the upstreams whose departure other entries are to be
// told of, and counts them as reported.
func (f *Fleet) TakeUnreportedLeaving(dst []*Upstream) []*Upstream {
	for _, u := range f.upstreams {
		if u.process.departureUnreported {
			u.process.departureUnreported = false
			dst = append(dst, u)
		}
	}
	return dst
}

// processState is what an entry knows of an upstream's process from the process itself. It
// is kept when the service discovery record is removed, since that may return.
type processState struct {
	pause               pauseState
	departure           Departure
	departureUnreported bool
}

// removedProcess is the state of a process whose record was removed at a time.
type removedProcess struct {
	startedAt int64
	removedAt time.Time
	processState
}

// removedTTL is how long the state of a process whose record was removed is kept, and at
// least until the end of its pause.
const removedTTL = 5 * time.Minute

// Empty reports whether the fleet has no upstream and knows nothing of any that was removed.
func (f *Fleet) Empty(now time.Time) bool {
	f.forgetProcesses(now)
	return len(f.upstreams) == 0 && len(f.removedProcesses) == 0
}

// forgetProcesses forgets the processes whose records were removed long ago.
func (f *Fleet) forgetProcesses(now time.Time) {
	for id, p := range f.removedProcesses {
		if now.Sub(p.removedAt) >= removedTTL && !now.Before(p.pause.until) {
			delete(f.removedProcesses, id)
		}
	}
}

// keepProcess keeps the state of the process of an upstream that is removed.
func (f *Fleet) keepProcess(now time.Time, u *Upstream) {
	f.forgetProcesses(now)
	if u.process == (processState{}) {
		return
	}
	if f.removedProcesses == nil {
		f.removedProcesses = make(map[string]removedProcess)
	}
	f.removedProcesses[u.spec.ID] = removedProcess{startedAt: u.spec.StartedAt, removedAt: now, processState: u.process}
}

// takeProcess returns the state of the process of an upstream that was removed before, a
// zero one if it was not.
func (f *Fleet) takeProcess(s Spec) processState {
	kept := f.removedProcesses[s.ID]
	delete(f.removedProcesses, s.ID)
	if kept.startedAt != s.StartedAt {
		return processState{}
	}
	return kept.processState
}
