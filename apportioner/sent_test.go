package apportioner

import (
	"testing"
	"time"
)

// queued is a request that was admitted and waits to be sent.
type queued struct {
	entry int
	at    time.Time
}

// runQueued sends requests for d at a rate. Admitted ones wait for delay, and while the service stalls. It
// returns when requests were sent, and the number that were admitted and too late to be sent.
func (f *fleet) runQueued(d time.Duration, rate float64, delay time.Duration, stalls func(since time.Duration) bool) (sent []time.Time, admitted, late int) {
	var waiting []queued
	begin := f.now
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
		for expected := rate * 0.01; expected > 0; expected-- {
			if f.rand.Float64() > expected {
				continue
			}
			i := f.anywhere()
			if f.tables[i].Admit(f.now, "c").Admitted {
				waiting = append(waiting, queued{i, f.now})
				admitted++
			}
		}
		if stalls(f.now.Sub(begin)) {
			continue
		}
		for len(waiting) > 0 && f.now.Sub(waiting[0].at) >= delay {
			w := waiting[0]
			waiting = waiting[1:]
			if f.tables[w.entry].Send(f.now, "c", f.now.Sub(w.at)).Admitted {
				sent = append(sent, f.now)
			} else {
				late++
			}
		}
	}
	return sent, admitted, late
}

// TestStall guards against a service that stalls and goes on: the requests that were admitted meanwhile must
// not reach upstreams together beyond the bound of the quota. Requests that wait for as long at all times,
// and those of a customer within its quota, must not be rejected for it.
func TestStall(t *testing.T) {
	const window = 5 * time.Second
	for _, v := range []struct {
		name    string
		entries int
		// limit is the rate and the burst.
		limit  float64
		demand float64
		delay  time.Duration
		// stall is how long the service stalls 8 s after the begin.
		stall time.Duration
		// lateLimit is the greatest fraction of admitted requests that may be rejected as late.
		lateLimit float64
	}{
		{name: "flood, stall", entries: 4, limit: 60, demand: 360, stall: 3 * time.Second, lateLimit: 0.1},
		{name: "flood, long stall", entries: 6, limit: 60, demand: 360, stall: 6 * time.Second, lateLimit: 0.3},
		{name: "flood, slow", entries: 6, limit: 60, demand: 360, delay: 1200 * time.Millisecond, lateLimit: 0.03},
		{name: "flood, many entries, stall", entries: 20, limit: 60, demand: 360, stall: 3 * time.Second, lateLimit: 0.1},
		{name: "flood, few requests, stall", entries: 20, limit: 10, demand: 60, stall: 3 * time.Second, lateLimit: 0.1},
		{name: "within quota, stall", entries: 6, limit: 60, demand: 37, stall: 3 * time.Second},
		{name: "within quota, slow", entries: 6, limit: 60, demand: 37, delay: 1200 * time.Millisecond},
		{name: "within quota, few requests, slow", entries: 6, limit: 16, demand: 10, delay: 1200 * time.Millisecond},
	} {
		t.Run(v.name, func(t *testing.T) {
			limit := Limit{Rate: v.limit, Burst: v.limit}
			f := newFleet(v.entries, map[string]Limit{"c": limit})
			f.run(5*time.Second, map[string]float64{"c": 0.5 * v.limit}, f.anywhere)
			sent, admitted, late := f.runQueued(20*time.Second, v.demand, v.delay, func(since time.Duration) bool {
				return since > 8*time.Second && since < 8*time.Second+v.stall
			})
			bound := int((limit.Rate*window.Seconds()+limit.Burst)*1.1 + 20)
			if got := most(sent, window); got > bound {
				t.Errorf("got: %d requests sent in %v want: at most %d", got, window, bound)
			}
			t.Logf("most %d of %d, %d of %d late", most(sent, window), bound, late, admitted)
			if float64(late) > v.lateLimit*float64(admitted) {
				t.Errorf("got: %d of %d rejected as late want: at most %.2f", late, admitted, v.lateLimit)
			}
		})
	}
}
