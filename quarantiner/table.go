package quarantiner

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crashThreshold is the number of processes of upstreams that must have crashed
	// during copies of a request before it is in quarantine. Requests that only ran
	// beside the cause of a crash rarely see that many.
	crashThreshold = 3
	// maxCrashes bounds the crashes that are kept of one request.
	maxCrashes = 8
	// quarantineTime is how long after the last crash a request stays in quarantine.
	// After that, one more crash is enough, until the record expires.
	quarantineTime = time.Hour
	recordTTL      = 2 * quarantineTime
	// maxRecords bounds the requests of which crashes are known.
	maxRecords = 4096
)

// Process identifies one process of an upstream.
type Process struct {
	Upstream string `json:"upstream"`
	// StartedAt is its start time in Unix milliseconds, 0 if unknown.
	StartedAt int64 `json:"born,omitempty"`
}

// crash is the crash of a process during a request.
type crash struct {
	Process
	at time.Time
}

// record is what is known of one request.
type record struct {
	// crashes holds the crashes since clearedAt, the first one first.
	crashes []crash
	// clearedAt is when a copy of the request last got a complete response, the zero
	// time if none did.
	clearedAt time.Time
	// unreported is set if other entries are to be told of the record.
	unreported bool
	// own is set if a crash or a response that this entry noticed began or ended the
	// quarantine.
	own bool
	// stored is set if the store has the record as of its era storedEra.
	stored    bool
	storedEra uint64
}

// changedAt returns the time of the last event of the record.
func (r *record) changedAt() time.Time {
	at := r.clearedAt
	for _, c := range r.crashes {
		if c.at.After(at) {
			at = c.at
		}
	}
	return at
}

func (r *record) quarantined(now time.Time) bool {
	return len(r.crashes) >= crashThreshold && now.Sub(r.changedAt()) < quarantineTime
}

// addCrash adds a crash unless it is known or was before a complete response. It reports
// whether the record has changed.
func (r *record) addCrash(c crash) bool {
	known := slices.ContainsFunc(r.crashes, func(k crash) bool { return k.Process == c.Process })
	if known || len(r.crashes) >= maxCrashes || !c.at.After(r.clearedAt) {
		return false
	}
	r.crashes = append(r.crashes, c)
	slices.SortFunc(r.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	return true
}

// clear removes the crashes up to a complete response. It reports whether the record has
// changed.
func (r *record) clear(at time.Time) bool {
	if !at.After(r.clearedAt) {
		return false
	}
	r.clearedAt = at
	r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return !c.at.After(at) })
	return true
}

// Table holds the requests during which upstreams crashed. Its zero value is empty and
// ready to use. It may be used concurrently.
type Table struct {
	// size is the number of records, for the case that there are none.
	size atomic.Int64
	// changed receives a value when there is a record to report.
	changed chan struct{}

	mu      sync.Mutex
	records map[Fingerprint]*record
}

// NewTable returns an empty table that signals changes.
func NewTable() *Table { return &Table{changed: make(chan struct{}, 1)} }

// Empty reports whether nothing is known of any request.
func (t *Table) Empty() bool { return t.size.Load() == 0 }

// Quarantined reports whether requests with the fingerprint must not be forwarded.
func (t *Table) Quarantined(now time.Time, f Fingerprint) bool {
	if t.Empty() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	return r != nil && r.quarantined(now)
}

// RecordCrash records that a process of an upstream crashed while it ran a request of
// this entry. It returns the number of crashes during the request that are known, and
// whether it is in quarantine since this one.
func (t *Table) RecordCrash(now time.Time, f Fingerprint, p Process) (crashes int, quarantined bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(now, f)
	before := r.quarantined(now)
	if r.addCrash(crash{Process: p, at: now}) {
		r.stored = false
		t.markUnreported(r)
	}
	quarantined = r.quarantined(now) && !before
	r.own = r.own || quarantined
	return len(r.crashes), quarantined
}

// RecordResponse records a complete response to a request. It reports whether crashes
// were known of.
func (t *Table) RecordResponse(now time.Time, f Fingerprint) bool {
	if t.Empty() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	if r == nil || len(r.crashes) == 0 || !r.clear(now) {
		return false
	}
	r.stored, r.own = false, true
	t.markUnreported(r)
	return true
}

// record returns the record of a request, which it creates if needed. The lock must be
// held.
func (t *Table) record(now time.Time, f Fingerprint) *record {
	r := t.records[f]
	if r != nil {
		return r
	}
	if t.records == nil {
		t.records = make(map[Fingerprint]*record)
	}
	t.evict(now)
	r = &record{}
	t.records[f] = r
	t.size.Store(int64(len(t.records)))
	return r
}

// evict removes expired records, and if there are too many the oldest one, those in
// quarantine last. The lock must be held.
func (t *Table) evict(now time.Time) {
	if len(t.records) < maxRecords {
		return
	}
	var oldest Fingerprint
	var worst *record
	for f, r := range t.records {
		if now.Sub(r.changedAt()) > recordTTL {
			delete(t.records, f)
			continue
		}
		q := r.quarantined(now)
		if worst == nil || !q && worst.quarantined(now) || q == worst.quarantined(now) && r.changedAt().Before(worst.changedAt()) {
			oldest, worst = f, r
		}
	}
	if len(t.records) >= maxRecords {
		delete(t.records, oldest)
	}
}

// Expire removes expired records.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for f, r := range t.records {
		if now.Sub(r.changedAt()) > recordTTL {
			delete(t.records, f)
		}
	}
	t.size.Store(int64(len(t.records)))
}

// markUnreported marks a record to be reported. The lock must be held.
func (t *Table) markUnreported(r *record) {
	r.unreported = true
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// Status is the state of one request.
type Status struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Crashes     int         `json:"crashes"`
	Quarantined bool        `json:"quarantined"`
	Stored      bool        `json:"stored"`
	// Age is the time since the last crash or complete response.
	Age time.Duration `json:"age_ns"`
}

// Status returns the state of all requests during which upstreams crashed.
func (t *Table) Status(now time.Time) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Status, 0, len(t.records))
	for f, r := range t.records {
		out = append(out, Status{Fingerprint: f, Crashes: len(r.crashes), Quarantined: r.quarantined(now), Stored: r.stored, Age: now.Sub(r.changedAt())})
	}
	return out
}
