package apportioner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/juju/errors"
)

// fleet is a set of entries in virtual time that exchange reports.
type fleet struct {
	now    time.Time
	rand   *rand.Rand
	limits map[string]Limit
	tables []*Table
	// interval is how often entries exchange reports while a quota is nearly used up.
	interval time.Duration
	// exchangedAt is when each entry last exchanged all counters, and downUntil when it runs
	// again.
	exchangedAt, downUntil []time.Time
	// cut holds the entries that exchange reports only with each other, and frozenUntil when an
	// entry goes on.
	cut map[int]bool
	// pairAt is when two entries last exchanged reports: one exchange serves both.
	pairAt      map[[2]int]time.Time
	frozenUntil map[int]time.Time
	// sent and admitted hold when requests arrived and were admitted, by customer.
	sent, admitted map[string][]time.Time
}

const testSlack = 5

// pollInterval is how often entries check whether an exchange is due, as in runner.
const pollInterval = 50 * time.Millisecond

func newFleet(n int, limits map[string]Limit) *fleet {
	f := &fleet{
		now: time.Unix(1000, 0), interval: 200 * time.Millisecond, rand: rand.New(rand.NewPCG(1, 2)), limits: limits, tables: make([]*Table, n),
		exchangedAt: make([]time.Time, n), downUntil: make([]time.Time, n), cut: make(map[int]bool), pairAt: make(map[[2]int]time.Time),
		frozenUntil: make(map[int]time.Time), sent: make(map[string][]time.Time), admitted: make(map[string][]time.Time),
	}
	for i := range n {
		f.start(i)
	}
	return f
}

func (f *fleet) start(i int) {
	f.tables[i] = New(f.now, fmt.Sprint("e", i), f.now.UnixNano(), testSlack)
	f.tables[i].Configure(f.now, f.limits)
}

// kill stops entries, which start again after d.
func (f *fleet) kill(entries []int, d time.Duration) {
	for _, i := range entries {
		f.downUntil[i] = f.now.Add(d)
	}
}

func (f *fleet) stopped(i int) bool {
	return f.tables[i] == nil || f.now.Before(f.downUntil[i]) || f.now.Before(f.frozenUntil[i])
}

// step advances by 10 ms: entries that are due exchange reports.
func (f *fleet) step() {
	f.now = f.now.Add(10 * time.Millisecond)
	for i := range f.tables {
		if !f.downUntil[i].IsZero() && !f.now.Before(f.downUntil[i]) {
			f.downUntil[i] = time.Time{}
			f.start(i)
		}
		since := f.now.Sub(f.exchangedAt[i])
		if f.stopped(i) || since < f.interval || (f.now.UnixMilli()+10*int64(i))%pollInterval.Milliseconds() != 0 {
			continue
		}
		urgent := f.tables[i].Urgent(f.now)
		if !urgent && since < 500*time.Millisecond {
			continue
		}
		f.exchangedAt[i] = f.now
		f.exchange(i)
	}
}

func (f *fleet) exchange(i int) {
	t := f.tables[i]
	t.SetMembership(f.now, Membership{Alone: len(f.tables) == 1})
	// As in runner, all others get the same report.
	report := t.Report(f.now, false)
	for j, other := range f.tables {
		if i == j || f.stopped(j) || f.cut[i] != f.cut[j] || f.now.Sub(f.pairAt[[2]int{min(i, j), max(i, j)}]) < f.interval/2 {
			continue
		}
		f.pairAt[[2]int{min(i, j), max(i, j)}] = f.now
		_ = other.Receive(f.now, report)
		_ = t.Receive(f.now, other.Report(f.now, false))
	}
	t.Exchanged()
}

// run sends requests of each customer for d, at a rate and to the entries that spread returns.
func (f *fleet) run(d time.Duration, demand map[string]float64, spread func() int) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
		for name, rate := range demand {
			for expected := rate * 0.01; expected > 0; expected-- {
				if f.rand.Float64() > expected {
					continue
				}
				i := spread()
				if f.stopped(i) {
					continue
				}
				f.sent[name] = append(f.sent[name], f.now)
				if f.tables[i].Admit(f.now, name).Admitted {
					f.admitted[name] = append(f.admitted[name], f.now)
				}
			}
		}
	}
}

// most returns the most requests admitted in any window.
func most(times []time.Time, window time.Duration) int {
	n, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		n = max(n, i-first+1)
	}
	return n
}

// checkBound fails if more requests were admitted in a window of 5 s than a quota allows.
func (f *fleet) checkBound(t *testing.T, name string, l Limit) {
	t.Helper()
	bound := (l.Rate*5+l.Burst)*1.1 + 20
	if got := most(f.admitted[name], 5*time.Second); float64(got) > bound {
		t.Errorf("%s: got: %d requests in 5 s want: at most %.0f", name, got, bound)
	}
}

func (f *fleet) anywhere() int { return f.rand.IntN(len(f.tables)) }

// TestQuiet guards against rejections within quotas that come from portions of less than one
// request: many small customers whose requests arrive at any entry.
func TestQuiet(t *testing.T) {
	for _, entries := range []int{1, 6, 20} {
		t.Run(fmt.Sprint("entries=", entries), func(t *testing.T) {
			limits, demand := make(map[string]Limit), make(map[string]float64)
			// Small customers have more than a quarter of the requests, as with 80 customers and
			// a largest one of 100, which take a minute under the race detector.
			for i := range 12 {
				name := fmt.Sprint("c", i)
				demand[name] = 1 + 15/float64(1+i*i)
				limits[name] = Limit{Rate: 1.6 * demand[name], Burst: 1.6 * demand[name]}
			}
			f := newFleet(entries, limits)
			f.run(5*time.Second, nil, f.anywhere)
			f.run(30*time.Second, demand, f.anywhere)
			sent, rejected := 0, 0
			for name := range limits {
				sent += len(f.sent[name])
				rejected += len(f.sent[name]) - len(f.admitted[name])
			}
			if 200*rejected > sent {
				t.Errorf("got: %d of %d rejected want: under 1 in 200", rejected, sent)
			}
		})
	}
}

// TestFlood guards against floods that exceed a quota while entries don't know of each other's
// admissions, and against entries that use less than the quota in total.
func TestFlood(t *testing.T) {
	for _, v := range []struct {
		name    string
		entries int
		limit   Limit
		// disturb happens within the flood, 3 s after its begin.
		disturb func(f *fleet)
		spread  func(f *fleet) func() int
		// least is the fraction of the quota that must be served.
		least float64
		// interval is that of reports, 0 meaning 200 ms.
		interval time.Duration
	}{
		{name: "one entry", entries: 1, limit: Limit{100, 100}, least: 0.95},
		{name: "6 entries", entries: 6, limit: Limit{100, 100}, least: 0.93},
		{name: "20 entries", entries: 20, limit: Limit{100, 100}, least: 0.93},
		{name: "20 entries, small", entries: 20, limit: Limit{3, 3}, least: 0.9},
		{name: "40 entries, rare reports", entries: 40, limit: Limit{270, 270}, least: 0.85, interval: 800 * time.Millisecond},
		{name: "no burst", entries: 8, limit: Limit{50, 0}, least: 0.85},
		{name: "at one entry", entries: 12, limit: Limit{100, 100}, least: 0.93, spread: func(*fleet) func() int { return func() int { return 0 } }},
		{name: "moves to others", entries: 12, limit: Limit{100, 100}, least: 0.9, spread: func(f *fleet) func() int {
			start := f.now
			return func() int {
				return f.rand.IntN(4) + 4*min(2, int(f.now.Sub(start)/(3*time.Second)))
			}
		}},
		{name: "all killed", entries: 8, limit: Limit{100, 100}, least: 0.7, disturb: func(f *fleet) { f.kill([]int{0, 1, 2, 3, 4, 5, 6, 7}, time.Second) }},
		{name: "30 entries, all killed", entries: 30, limit: Limit{270, 270}, least: 0.7, interval: 500 * time.Millisecond, disturb: func(f *fleet) {
			for i := range f.tables {
				f.kill([]int{i}, time.Second)
			}
		}},
		{name: "half killed", entries: 8, limit: Limit{100, 100}, least: 0.75, disturb: func(f *fleet) { f.kill([]int{0, 1, 2, 3}, 2*time.Second) }},
		{name: "a third cut off", entries: 12, limit: Limit{100, 100}, least: 0.75, disturb: func(f *fleet) {
			f.cut = map[int]bool{0: true, 1: true, 2: true, 3: true}
		}},
		{name: "one cut off", entries: 6, limit: Limit{100, 100}, least: 0.85, disturb: func(f *fleet) { f.cut = map[int]bool{0: true} }},
		{name: "frozen and awake again", entries: 8, limit: Limit{100, 100}, least: 0.8, disturb: func(f *fleet) {
			f.frozenUntil = map[int]time.Time{0: f.now.Add(4 * time.Second), 1: f.now.Add(4 * time.Second)}
		}},
		{name: "leaving in order", entries: 8, limit: Limit{100, 100}, least: 0.85, disturb: func(f *fleet) {
			f.tables[0].SetLeaving()
			f.exchange(0)
			f.tables[0] = nil
		}},
	} {
		t.Run(v.name, func(t *testing.T) {
			f := newFleet(v.entries, map[string]Limit{"c": v.limit})
			if v.interval > 0 {
				f.interval = v.interval
			}
			spread := f.anywhere
			if v.spread != nil {
				spread = v.spread(f)
			}
			f.run(6*time.Second, map[string]float64{"c": 0.6 * v.limit.Rate}, spread)
			f.run(3*time.Second, map[string]float64{"c": 6 * v.limit.Rate}, spread)
			if v.disturb != nil {
				v.disturb(f)
			}
			begin := len(f.admitted["c"])
			f.run(9*time.Second, map[string]float64{"c": 6 * v.limit.Rate}, spread)
			f.checkBound(t, "c", v.limit)
			if served := float64(len(f.admitted["c"])-begin) / (9 * v.limit.Rate); served < v.least {
				t.Errorf("got: %.2f of the quota served want: at least %.2f", served, v.least)
			}
		})
	}
}

// TestLowerLimit guards against a lowered quota that entries go on exceeding.
func TestLowerLimit(t *testing.T) {
	f := newFleet(8, map[string]Limit{"c": {100, 100}})
	f.run(5*time.Second, map[string]float64{"c": 60}, f.anywhere)
	low := Limit{10, 10}
	for _, table := range f.tables {
		table.Configure(f.now, map[string]Limit{"c": low})
	}
	f.admitted["c"] = nil
	f.run(10*time.Second, map[string]float64{"c": 60}, f.anywhere)
	f.checkBound(t, "c", low)
	if got := len(f.admitted["c"]); got < 95 {
		t.Errorf("got: %d requests in 10 s want: at least 95 of a quota of 10 per second", got)
	}
}

// TestRetryAfter guards against a Retry-After before there is room, and against one that brings all
// rejected requests back at the same time.
func TestRetryAfter(t *testing.T) {
	f := newFleet(1, map[string]Limit{"c": {10, 1}})
	f.tables[0].SetMembership(f.now, Membership{Alone: true})
	f.run(5*time.Second, nil, f.anywhere)
	seen := make(map[time.Duration]bool)
	for range 50 {
		if d := f.tables[0].Admit(f.now, "c"); !d.Admitted {
			wait := d.RetryAfter
			seen[wait] = true
			if wait < minRetryAfter || wait > 2*time.Second {
				t.Fatalf("got: Retry-After of %v want: %v to 2 s", wait, minRetryAfter)
			}
		}
	}
	if len(seen) < 20 {
		t.Errorf("got: %d different times want: jitter", len(seen))
	}
}

// TestReturn guards against requests that were sent to no upstream and use up a quota.
func TestReturn(t *testing.T) {
	f := newFleet(1, map[string]Limit{"c": {1, 1}})
	f.run(5*time.Second, nil, f.anywhere)
	for i := range 100 {
		if !f.tables[0].Admit(f.now, "c").Admitted {
			t.Fatalf("request %d: got: rejected want: admitted, since none was sent", i)
		}
		f.tables[0].Return(f.now, "c")
	}
}

// TestInvalidMessage guards against figures of another entry that make sums useless.
func TestInvalidMessage(t *testing.T) {
	table := newFleet(1, map[string]Limit{"c": {1, 1}}).tables[0]
	for _, m := range []Message{{}, {From: "x", Counts: []Count{{Customer: "c", Demand: -1}}}, {From: "x", Counts: []Count{{Customer: "c", Level: 1e300}}}, {From: "x", Counts: []Count{{Customer: "c", Admitted: -1}}}} {
		if err := table.Receive(time.Unix(1000, 0), m); !errors.Is(err, errors.NotValid) {
			t.Errorf("%+v: got: %v want: an error that is NotValid", m, err)
		}
	}
}

// BenchmarkAdmit measures one decision with 1,000 customers and 20 other entries.
func BenchmarkAdmit(b *testing.B) {
	limits := make(map[string]Limit)
	names := make([]string, 1000)
	for i := range names {
		names[i] = fmt.Sprint("c", i)
		limits[names[i]] = Limit{Rate: 100, Burst: 100}
	}
	f := newFleet(21, limits)
	f.run(5*time.Second, nil, f.anywhere)
	for _, table := range f.tables {
		for _, name := range names {
			table.Admit(f.now, name)
		}
	}
	f.exchange(0)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		f.now = f.now.Add(time.Millisecond)
		f.tables[0].Admit(f.now, names[i%len(names)])
	}
}
