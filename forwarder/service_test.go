package forwarder

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"poplarwind/placer"
)

// TestRetryAllowance checks how the load-independent retry allowance is
// divided: assigned entries get most of it, and all entries together do not
// exceed it, even when as many entries again replace the assigned ones.
func TestRetryAllowance(t *testing.T) {
	const entries, assigned, allowance = 140, 6, 218
	o := Options{RetryBudget: RetryBudget{Allowance: allowance, Window: 10 * time.Second}}
	spend := func(isAssigned bool) int {
		o.Entries = func(string) EntrySet {
			return EntrySet{Total: entries, Assigned: assigned, IsAssigned: isAssigned, ProbeFraction: [placer.Scopes]float64{1, 1}}
		}
		s := &service{name: "s", serviceTimes: make(map[string]*placer.ServiceTime)}
		now := time.Unix(1000, 0)
		s.updateLimits(o, now)
		n := 0
		for s.retryBudget.Spend(now) {
			n++
		}
		return n
	}
	assignedRetries, otherRetries := spend(true), spend(false)
	if assignedRetries < allowance/assigned/4 {
		t.Errorf("got: %d retries by an assigned entry want: at least a quarter of its fair share of %d", assignedRetries, allowance)
	}
	if total := 2*assigned*assignedRetries + entries*otherRetries; total > allowance {
		t.Errorf("got: %d retries by all entries want: at most %d", total, allowance)
	}
}

// allowanceFleet is the entries assigned to a service, each of which spends its
// retries.
type allowanceFleet struct {
	options  Options
	now      time.Time
	entries  []*service
	loads    []float64
	spentAt  []time.Time
	restarts []time.Time
}

const (
	testAllowance = 218
	testWindow    = 10 * time.Second
)

func newAllowanceFleet(n int) *allowanceFleet {
	f := &allowanceFleet{now: time.Unix(1000, 0), loads: make([]float64, n), restarts: make([]time.Time, n)}
	f.options.RetryBudget = RetryBudget{Ratio: 0.2, Allowance: testAllowance, Window: testWindow}
	for range n {
		f.entries = append(f.entries, &service{name: "s", serviceTimes: make(map[string]*placer.ServiceTime)})
	}
	return f
}

// step advances the time by half a second and updates the limits.
func (f *allowanceFleet) step() {
	f.now = f.now.Add(500 * time.Millisecond)
	total := 0.0
	for _, n := range f.loads {
		total += n
	}
	for i, s := range f.entries {
		f.options.Entries = func(string) EntrySet {
			return EntrySet{Total: 3 * len(f.entries), Assigned: len(f.entries), IsAssigned: true, LoadFraction: f.loads[i] / total, ProbeFraction: [placer.Scopes]float64{1, 1}}
		}
		s.updateLimits(f.options, f.now)
	}
}

// spend spends up to n retries of one entry.
func (f *allowanceFleet) spend(i, n int) {
	for range n {
		if !f.entries[i].retryBudget.Spend(f.now) {
			return
		}
		f.spentAt = append(f.spentAt, f.now)
	}
}

// most returns the largest number of retries in any window.
func (f *allowanceFleet) most() int {
	most, first := 0, 0
	for i, at := range f.spentAt {
		for at.Sub(f.spentAt[first]) >= testWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestAllowanceUsed sheds requests at all entries of a service alike while its load
// is uneven: they can use most of the allowance.
func TestAllowanceUsed(t *testing.T) {
	f := newAllowanceFleet(6)
	for i := range f.loads {
		f.loads[i] = float64(1 + 10*(i%3))
	}
	for range 25 {
		f.step()
	}
	for i := range f.entries {
		f.spend(i, 1000)
	}
	if got := f.most(); got < testAllowance*6/10 {
		t.Errorf("got: %d retries in a window want: at least 6 in 10 of %d", got, testAllowance)
	}
}

// TestAllowanceBounded moves load between entries at random, restarts each at most
// once per window, and spends as many retries as possible: in no window do they
// exceed the allowance.
func TestAllowanceBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "entries")
		f := newAllowanceFleet(n)
		for i := range f.loads {
			f.loads[i] = 1
		}
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "entry")
			switch rapid.SampledFrom([]string{"load", "restart", "spend", "spend", "none"}).Draw(t, "event") {
			case "load":
				f.loads[i] = rapid.SampledFrom([]float64{1, 1, 50, 500}).Draw(t, "load")
			case "restart":
				if f.now.Sub(f.restarts[i]) >= testWindow {
					f.restarts[i] = f.now
					f.entries[i] = &service{name: "s", serviceTimes: make(map[string]*placer.ServiceTime)}
				}
			case "spend":
				f.spend(i, 1000)
			}
			f.step()
		}
		if got := f.most(); got > testAllowance {
			t.Errorf("got: %d retries in a window want: at most %d", got, testAllowance)
		}
	})
}

// TestServicesOfOddUpstreams has upstreams of ever other services registered and removed, and routes of
// ever other names. What the forwarder keeps of them must not grow, and a service with an upstream or
// requests must stay.
func TestServicesOfOddUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := &testbed{runs: map[string]int{}, work: time.Millisecond}
		f := tb.newEntry(t, 2)
		for i := range 1000 {
			id := fmt.Sprint("odd", i)
			f.PutUpstream(placer.Spec{ID: id, Service: id, Addr: id, Domain: "a", Slots: 1})
			f.service("s").admit(id, false)
			f.RemoveUpstream(id)
		}
		if got := send(f, "/read/1", "r1").StatusCode(); got != 200 {
			t.Errorf("got: %d want: 200", got)
		}
		for range 3 {
			time.Sleep(serviceTTL / 2)
			f.Trim()
		}
		time.Sleep(time.Second)
		f.Trim()
		if got := len(f.services); got != 1 {
			t.Errorf("got: %d services want: 1", got)
		}
		if got := len(f.services["s"].serviceTimes); got > 2 {
			t.Errorf("got: service times of %d routes want: at most 2", got)
		}
		if got := send(f, "/read/1", "r2").StatusCode(); got != 200 {
			t.Errorf("got: %d want: 200", got)
		}
		tb.close()
		time.Sleep(time.Minute)
	})
}
