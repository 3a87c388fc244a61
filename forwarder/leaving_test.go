package forwarder

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/placer"
)

// leavingUpstream returns the first upstream that has told the entry that it leaves.
func leavingUpstream(f *Forwarder) (string, bool) {
	for _, u := range f.Status()[0].Upstreams {
		if u.Departure == placer.Leaving.String() {
			return u.ID, true
		}
	}
	return "", false
}

// TestNoRequestsToLeavingUpstream has one of two upstreams say that it leaves, though its
// record says that it is ready: no request reaches it any more, also when the record is
// removed and returns, and a new process under its name is used.
func TestNoRequestsToLeavingUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := &testbed{runs: make(map[string]int), load: make(map[string]int), reached: make(map[string]int), plan: []fault{leaves}}
		defer tb.close()
		e := tb.newEntry(t, 2)
		if got := send(e, "/order/1", "first").StatusCode(); got != fasthttp.StatusOK {
			t.Errorf("got: %d want: 200 of the leaving upstream", got)
		}
		id, ok := leavingUpstream(e)
		if reports := e.TakeLeavingReports(); !ok || len(reports) != 1 || reports[0].Upstream != id {
			t.Fatalf("got: %q leaves, reports %v want: one upstream, reported", id, reports)
		}
		spec := placer.Spec{ID: id, Service: "s", Addr: id, Domain: "a", Slots: 3}
		before := tb.reachedBy(id)
		for i := range 40 {
			time.Sleep(100 * time.Millisecond)
			if i == 20 {
				e.RemoveUpstream(id)
				e.PutUpstream(spec)
			}
			if got := send(e, "/read/1", fmt.Sprint("r", i)).StatusCode(); got != fasthttp.StatusOK {
				t.Errorf("got: %d want: 200 of the other upstream", got)
			}
		}
		if got := tb.reachedBy(id) - before; got > 0 {
			t.Errorf("got: %d requests and load probes after it said that it leaves want: none", got)
		}
		spec.StartedAt = 1
		e.PutUpstream(spec)
		for i := range 40 {
			time.Sleep(100 * time.Millisecond)
			send(e, "/read/1", fmt.Sprint("s", i))
		}
		time.Sleep(time.Second)
		if got := tb.reachedBy(id) - before; got == 0 {
			t.Error("got: no requests to a new process want: some")
		}
	})
}

// TestLeavingInLoadProbe has all upstreams say in responses to load probes that they leave:
// they get no requests, and the entry does not count as cut off from them.
func TestLeavingInLoadProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := &testbed{runs: make(map[string]int), load: make(map[string]int), reached: make(map[string]int), leavingProbes: true}
		defer tb.close()
		e := tb.newEntry(t, 5)
		for i := range 30 {
			if got := send(e, "/order/1", fmt.Sprint("r", i)).StatusCode(); got != fasthttp.StatusServiceUnavailable {
				t.Errorf("got: %d want: 503", got)
			}
		}
		if len(tb.runs) > 0 {
			t.Errorf("got: %d requests run want: none", len(tb.runs))
		}
		for _, u := range e.Status()[0].Upstreams {
			if tb.reachedBy(u.ID) > 1 || u.Ejected {
				t.Errorf("%s: got: %d load probes, ejected %v want: at most one, not ejected", u.ID, tb.reachedBy(u.ID), u.Ejected)
			}
		}
	})
}

// TestLeavingReports applies reports of another entry: upstreams that it names are used only
// when no other is, and an invalid report has no effect.
func TestLeavingReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := &testbed{runs: make(map[string]int), load: make(map[string]int), reached: make(map[string]int)}
		defer tb.close()
		e := tb.newEntry(t, 2)
		valid := LeavingReport{Service: "s", Upstream: "u0"}
		if err := e.ApplyLeavingReports("other", []LeavingReport{valid, {Service: "s"}}); !errors.Is(err, errors.NotValid) {
			t.Errorf("got: %v want: not valid", err)
		}
		if got := e.Status()[0].Upstreams[0].Departure; got != "" {
			t.Errorf("got: departure %q after an invalid report want: none", got)
		}
		if err := e.ApplyLeavingReports("other", []LeavingReport{valid, {Service: "none", Upstream: "u1"}, {Service: "s", Upstream: "u9"}}); err != nil {
			t.Error(err)
		}
		for i := range 20 {
			send(e, "/order/1", fmt.Sprint("r", i))
		}
		if len(tb.runs) != 20 || len(e.TakeLeavingReports()) > 0 {
			t.Errorf("got: %d of 20 requests run, or a report passed on want: all, none", len(tb.runs))
		}
		e.RemoveUpstream("u1")
		if got := send(e, "/order/1", "last").StatusCode(); got != fasthttp.StatusOK {
			t.Errorf("got: %d with only the reported upstream left want: 200", got)
		}
	})
}
