package quarantiner

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"

	"github.com/juju/errors"
)

// Report is what one entry tells another, or the store, of a request.
type Report struct {
	Fingerprint Fingerprint   `json:"fingerprint"`
	Crashes     []CrashReport `json:"crashes,omitempty"`
	// ClearedAge is the time since a copy of the request last got a complete response,
	// in nanoseconds, 0 if none did. Entries' clocks differ.
	ClearedAge time.Duration `json:"cleared,omitempty"`
	// StoredEra is the era of the store that has the record, 0 if none is known to.
	StoredEra uint64 `json:"era,omitempty"`
}

// CrashReport is the crash of a process during a request.
type CrashReport struct {
	Process
	// Age is the time since the crash, in nanoseconds.
	Age time.Duration `json:"age"`
}

const (
	// maxReports bounds the reports in one message.
	maxReports = maxRecords
	// maxName bounds the name of an upstream in bytes.
	maxName = 256
)

// Check returns an error that satisfies errors.Is(err, errors.NotValid) if the report
// can't be used.
func (r *Report) Check() error {
	if len(r.Crashes) > maxCrashes {
		return errors.NotValidf("report of %d crashes", len(r.Crashes))
	}
	if r.ClearedAge < 0 {
		return errors.NotValidf("age %v of a response", r.ClearedAge)
	}
	for _, c := range r.Crashes {
		if c.Upstream == "" || len(c.Upstream) > maxName || c.Age < 0 {
			return errors.NotValidf("crash of %.40q %v ago", c.Upstream, c.Age)
		}
	}
	return nil
}

// Change is the effect of a report on a table.
type Change struct {
	Fingerprint Fingerprint
	Crashes     int
	// Quarantined and Lifted report that a quarantine has begun or ended.
	Quarantined, Lifted bool
}

// Merge merges reports of another entry or of the store and returns what has changed.
// If one of them is invalid, none is merged, and the error satisfies
// errors.Is(err, errors.NotValid).
func (t *Table) Merge(now time.Time, reports []Report) ([]Change, error) {
	if len(reports) > maxReports {
		return nil, errors.NotValidf("%d reports of crashes", len(reports))
	}
	for i := range reports {
		if err := reports[i].Check(); err != nil {
			return nil, err
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []Change
	for i := range reports {
		if c, ok := t.merge(now, &reports[i]); ok {
			changes = append(changes, c)
		}
	}
	return changes, nil
}

// merge merges one report and reports whether it changed what is known. The lock must be
// held.
func (t *Table) merge(now time.Time, p *Report) (Change, bool) {
	if t.records[p.Fingerprint] == nil && p.expired() {
		return Change{}, false
	}
	r := t.record(now, p.Fingerprint)
	before, changed := r.quarantined(now), false
	if p.ClearedAge > 0 {
		changed = r.clear(now.Add(-p.ClearedAge))
		r.stored = r.stored && !changed
	}
	for _, c := range p.Crashes {
		if r.addCrash(crash{Process: c.Process, at: now.Add(-c.Age)}) {
			changed = true
		}
	}
	if p.StoredEra > 0 && (!r.stored || p.StoredEra > r.storedEra) {
		r.stored, r.storedEra = true, p.StoredEra
	}
	after := r.quarantined(now)
	return Change{Fingerprint: p.Fingerprint, Crashes: len(r.crashes), Quarantined: after && !before, Lifted: before && !after}, changed
}

// expired reports whether a report is too old to be of use.
func (r *Report) expired() bool {
	age := r.ClearedAge
	for i, c := range r.Crashes {
		if i == 0 && age == 0 || c.Age < age {
			age = c.Age
		}
	}
	return age > recordTTL || len(r.Crashes) == 0
}

func (r *record) report(now time.Time, f Fingerprint) Report {
	p := Report{Fingerprint: f}
	for _, c := range r.crashes {
		p.Crashes = append(p.Crashes, CrashReport{Process: c.Process, Age: max(0, now.Sub(c.at))})
	}
	if !r.clearedAt.IsZero() {
		p.ClearedAge = max(1, now.Sub(r.clearedAt))
	}
	if r.stored {
		p.StoredEra = r.storedEra
	}
	return p
}

// Reports returns reports of all requests.
func (t *Table) Reports(now time.Time) []Report {
	return t.collect(now, func(*record) bool { return true })
}

// TakeUnreported returns reports of the requests that other entries are to be told of,
// and counts them as reported.
func (t *Table) TakeUnreported(now time.Time) []Report {
	return t.collect(now, func(r *record) bool {
		u := r.unreported
		r.unreported = false
		return u
	})
}

// Unstored returns reports of the requests whose quarantine, or its end, the store may not
// have in an era. Unless all is set, only those are returned that this entry caused.
func (t *Table) Unstored(now time.Time, era uint64, all bool) []Report {
	return t.collect(now, func(r *record) bool {
		return (r.quarantined(now) || r.storedEra > 0) && (!r.stored || r.storedEra < era) && (all || r.own)
	})
}

// SetStored records that the store has the quarantine of a request in an era.
func (t *Table) SetStored(f Fingerprint, era uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[f]; r != nil {
		r.stored, r.storedEra = true, max(era, 1)
		t.markUnreported(r)
	}
}

func (t *Table) collect(now time.Time, include func(*record) bool) []Report {
	if t.Empty() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Report
	for f, r := range t.records {
		if include(r) {
			out = append(out, r.report(now, f))
		}
	}
	slices.SortFunc(out, func(a, b Report) int { return cmp.Compare(a.Fingerprint.String(), b.Fingerprint.String()) })
	return out
}

// Digest returns a hash of what is known of all requests, 0 if nothing is. It is equal
// for tables whose merger would not change which requests are in quarantine.
func (t *Table) Digest() uint64 {
	if t.Empty() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := uint64(0)
	for f, r := range t.records {
		if len(r.crashes) >= crashThreshold {
			sum ^= checksum(f, Process{})
			continue
		}
		for _, c := range r.crashes {
			sum ^= checksum(f, c.Process)
		}
	}
	return sum
}

func checksum(f Fingerprint, p Process) uint64 {
	h := fnv.New64a()
	h.Write(f[:])
	h.Write(binary.BigEndian.AppendUint64([]byte(p.Upstream), uint64(p.StartedAt)))
	return h.Sum64()
}
