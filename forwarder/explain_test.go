package forwarder

import (
	"context"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"poplarwind/apportioner"
	"poplarwind/placer"
	"poplarwind/router"
)

// explainCases are states of an entry. Prepare brings about the state.
var explainCases = []struct {
	name, path, key string
	prepare         func(*testbed, *Forwarder)
	outcome, cause  string
	// obstacle is that of every upstream, or of all but the chosen one.
	obstacle string
}{
	{"free", "/read/1", testKey, func(tb *testbed, f *Forwarder) {
		tb.setLoad(map[string]int{"u0": 3, "u1": 3})
		f.probeAll()
	}, OutcomeSent, "", "full"},
	{"all full", "/read/1", testKey, func(tb *testbed, f *Forwarder) {
		tb.setLoad(map[string]int{"u0": 3, "u1": 3, "u2": 3})
		f.probeAll()
	}, OutcomeQueued, "", "full"},
	{"full queue", "/any/1", "", func(tb *testbed, f *Forwarder) {
		tb.work = 600 * time.Millisecond
		sendWithKey(f, "/any/1", "first", "")
		tb.setLoad(map[string]int{"u0": 3, "u1": 3, "u2": 3})
		f.probeAll()
		for i := range 60 {
			go sendWithKey(f, "/any/1", fmt.Sprint("q", i), "")
		}
		time.Sleep(100 * time.Millisecond)
		f.probeAll()
	}, OutcomeRejected, errNoSlot.Error(), "full"},
	{"paused", "/read/1", testKey, func(_ *testbed, f *Forwarder) { f.pauseAll(5 * time.Second) }, OutcomeRejected, errPaused.Error(), "paused"},
	{"pause ends soon", "/read/1", testKey, func(_ *testbed, f *Forwarder) { f.pauseAll(time.Second) }, OutcomeQueued, "", "paused"},
	{"evacuated", "/read/1", testKey, func(_ *testbed, f *Forwarder) { f.SetEvacuated(map[string]bool{"a": true}) }, OutcomeRejected, errEvacuated.Error(), "domain evacuated"},
	{"no upstream", "/read/1", testKey, func(_ *testbed, f *Forwarder) {
		for i := range 3 {
			f.RemoveUpstream(fmt.Sprint("u", i))
		}
	}, OutcomeRejected, errNoUpstream.Error(), ""},
	{"no route", "/none/1", testKey, nil, OutcomeRejected, errNoRoute.Error(), ""},
	{"unknown key", "/read/1", "shut-sesame", nil, OutcomeRejected, errNoCustomer.Error(), ""},
	{"no key", "/read/1", "", nil, OutcomeRejected, errNoKey.Error(), ""},
	{"no key needed", "/any/1", "", nil, OutcomeSent, "", ""},
	{"quota used up", "/read/1", testKey, func(_ *testbed, f *Forwarder) {
		for i := range 30 {
			sendKey(f, "/read/1", fmt.Sprint("q", i))
		}
	}, OutcomeRejected, errOverQuota.Error(), ""},
	{"draining", "/read/1", testKey, func(_ *testbed, f *Forwarder) { f.RejectNew() }, OutcomeRejected, errDraining.Error(), ""},
	{"evacuations unknown", "/read/1", testKey, func(_ *testbed, f *Forwarder) { f.options.AwaitEvacuations = true }, OutcomeRejected, errNoEvacuations.Error(), ""},
	{"no configuration", "/read/1", testKey, func(_ *testbed, f *Forwarder) { f.table.Store(nil) }, OutcomeRejected, errNoConfig.Error(), ""},
}

func (tb *testbed) setLoad(load map[string]int) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.load = load
}

// probeAll records a report of each upstream with the load that it has now.
func (f *Forwarder) probeAll() {
	x := &exchange{forwarder: f, service: f.service("s"), healthURI: "/health"}
	for _, u := range x.service.fleet.List() {
		if c, err := f.pool.NewConn(context.Background(), u.Addr(), 100); err == nil {
			x.probeConn(c, u)
			f.pool.Discard(c)
		}
	}
	time.Sleep(time.Millisecond)
}

func (f *Forwarder) pauseAll(d time.Duration) {
	s := f.service("s")
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.fleet.List() {
		s.fleet.RecordPause(time.Now(), u, d)
	}
}

// TestExplanationComesTrue explains a request and then sends it: an explanation that says something
// else than what happens misleads operators.
func TestExplanationComesTrue(t *testing.T) {
	for _, c := range explainCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tb := &testbed{runs: map[string]int{}}
				f := tb.newEntry(t, 3)
				quotas := apportioner.New(time.Now(), "e", 1, 0)
				quotas.Configure(time.Now(), map[string]apportioner.Limit{testCustomer: {Rate: 5, Burst: 5}})
				f.options.Quota = quotas
				f.Configure(newCustomerTable(t, 2, newTestCustomer(testKey)...))
				if c.prepare != nil {
					c.prepare(tb, f)
				}
				q := Query{Host: "h", Path: c.path, Timeout: 1500 * time.Millisecond}
				if c.key != "" {
					d := router.DigestOf([]byte(c.key))
					q.Key = &d
				}
				e := f.Explain(q)
				if e.Outcome != c.outcome || e.Cause != c.cause {
					t.Errorf("explained: got: %s, %q want: %s, %q", e.Outcome, e.Cause, c.outcome, c.cause)
				}
				for _, u := range e.Upstreams {
					if u.ID != e.Chosen && c.obstacle != "" && u.Obstacle != c.obstacle {
						t.Errorf("%s: got: obstacle %q want: %q", u.ID, u.Obstacle, c.obstacle)
					}
				}
				var mu sync.Mutex
				var record *Record
				f.options.OnComplete = func(r *Record) {
					mu.Lock()
					defer mu.Unlock()
					if r.ID == "explained" {
						record = r
					}
				}
				resp := sendWithKey(f, c.path, "explained", c.key)
				mu.Lock()
				done := record
				mu.Unlock()
				switch e.Outcome {
				case OutcomeSent:
					if resp.StatusCode() != 200 || done.QueueTime > 0 || c.obstacle != "" && !slices.Equal(done.Upstreams, []string{e.Chosen}) {
						t.Errorf("got: %d from %v after %v in the queue want: 200 from %s at once", resp.StatusCode(), done.Upstreams, done.QueueTime, e.Chosen)
					}
				case OutcomeQueued:
					if done.QueueTime == 0 {
						t.Errorf("got: %d without a wait want: a request that was queued", resp.StatusCode())
					}
				default:
					if resp.StatusCode() != e.Status || done.Cause != e.Cause || done.Duration > 10*time.Millisecond {
						t.Errorf("got: %d, %q after %v want: %d, %q at once", resp.StatusCode(), done.Cause, done.Duration, e.Status, e.Cause)
					}
					after, _ := strconv.ParseFloat(string(resp.Header.Peek("Retry-After")), 64)
					if least := e.RetryAfter.Seconds(); after < 0.6*least || after > 1.6*least {
						t.Errorf("got: Retry-After %v want: about %v", after, least)
					}
				}
				tb.endTest()
			})
		})
	}
}

// TestExplainChangesNothing explains requests again and again: queries of operators must neither use up
// quotas, load probes or the turns of a traffic split, nor keep or create services.
func TestExplainChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := &testbed{runs: map[string]int{}, reached: map[string]int{}}
		f := tb.newEntry(t, 3)
		quotas := apportioner.New(time.Now(), "e", 1, 0)
		quotas.Configure(time.Now(), map[string]apportioner.Limit{testCustomer: {Rate: 5, Burst: 5}})
		f.options.Quota = quotas
		s := newCustomerTable(t, 2, newTestCustomer(testKey)...).Spec()
		s.Routes = append(s.Routes, router.Route{Name: "split", Host: "h", Prefix: "/split/", Attempts: 1, Timeout: time.Second, Targets: []router.SplitTarget{{Service: "s", Weight: 2}, {Service: "t", Weight: 1}}})
		table, err := router.NewTable(s, nil)
		if err != nil {
			t.Fatal(err)
		}
		f.Configure(table)
		d := router.DigestOf([]byte(testKey))
		explain := func(path string) *Explanation {
			e := f.Explain(Query{Host: "h", Path: path, Key: &d, Timeout: 1500 * time.Millisecond})
			if e.Quota != nil {
				// That of a quota has random jitter.
				e.RetryAfter = 0
			}
			return e
		}
		state := func() string {
			return fmt.Sprintf("%+v %+v %+v %v", f.Status(), quotas.Status(time.Now()), quotas.Totals(), len(f.services))
		}
		for step := range 3 {
			before, first := state(), explain("/read/1")
			split := explain("/split/1").Service
			for range 50 {
				if got := explain("/read/1"); !reflect.DeepEqual(got, first) {
					t.Fatalf("got: %+v want: %+v", got, first)
				}
				if got := explain("/split/1").Service; got != split {
					t.Fatalf("split: got: %s want: %s", got, split)
				}
			}
			if got := state(); got != before || tb.reachedBy("u0")+tb.reachedBy("u1")+tb.reachedBy("u2") > 0 && step == 0 {
				t.Errorf("got: %s want: %s", got, before)
			}
			if route := table.Find("h", "/split/1"); route.NextService() != split {
				t.Errorf("got: another service than explained want: %s", split)
			}
			if got := sendKey(f, "/read/1", fmt.Sprint("r", step)).StatusCode(); first.Outcome == OutcomeSent && got != 200 {
				t.Errorf("got: %d want: 200, as explained", got)
			}
			time.Sleep(300 * time.Millisecond)
		}
		if f.Explain(Query{Host: "h", Path: "/split/1", Key: &d}); f.services["t"] != nil {
			t.Error("got: a service that was explained only want: none")
		}
		tb.endTest()
	})
}

// TestExplainCutOff explains a request at an entry that is cut off: it would be relayed, and the quota is
// counted by the other entry.
func TestExplainCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newRelayPair(t)
		p.cut.options.Relays = func(string) []string { return []string{"far"} }
		e := p.cut.Explain(Query{Host: "h", Path: "/read/1"})
		if e.Outcome != OutcomeRelayed || !e.Cut || !slices.Equal(e.Relays, []string{"far"}) {
			t.Errorf("got: %+v want: relayed to far", e)
		}
		p.tb.endTest()
	})
}

// TestExplainReasons checks the reasons that only upstreams in a common state have.
func TestExplainReasons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := &testbed{runs: map[string]int{}}
		f := tb.newEntry(t, 0)
		s := f.service("s")
		s.fleet.SetWarmup(2, time.Minute)
		now := time.Now()
		for _, id := range []string{"draining", "leaving", "rate limited, no portion", "cold, no portion"} {
			f.PutUpstream(placer.Spec{ID: id, Service: "s", Addr: id, Domain: "a", Slots: 3, Draining: id == "draining"})
		}
		s.fleet.RecordLeaving(s.fleet.Find("leaving"))
		s.fleet.RecordLimit(now, s.fleet.Find("rate limited, no portion"), placer.RateLimit{Rate: 1, Limited: true, At: now})
		s.fleet.RecordWarmup(now, s.fleet.Find("cold, no portion"), time.Minute, now)
		for _, u := range f.Explain(Query{Host: "h", Path: "/read/1"}).Upstreams {
			if u.Obstacle != u.ID || u.Order != 0 {
				t.Errorf("%s: got: %q, order %d want: the reason, not probed", u.ID, u.Obstacle, u.Order)
			}
		}
		tb.endTest()
	})
}
