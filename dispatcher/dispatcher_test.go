package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "poplarwind/internal/seeder"
	"poplarwind/parser"
)

var start = time.Unix(1e6, 0)

// model applies random steps to a dispatcher and tracks the expected state.
type model struct {
	t     *rapid.T
	d     *Dispatcher
	now   time.Time
	calls []*Call
	// inFlight holds the running attempts, and ended the calls that have ended.
	inFlight []*Attempt
	ended    map[*Call]bool
	sent     map[*Call][]*Attempt
	rejected map[*Call]bool
	notRun   map[*Call]bool
	draining map[string]bool
	slots    int
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: start, ended: map[*Call]bool{}, sent: map[*Call][]*Attempt{}, rejected: map[*Call]bool{}, notRun: map[*Call]bool{}, draining: map[string]bool{}}
	m.slots = rapid.IntRange(1, 4).Draw(t, "slots")
	m.d = New(Options{Slots: m.slots, QueueLimit: 16, HedgeRatio: 0.1, RetryRatio: 0.2})
	for i := range rapid.IntRange(1, 5).Draw(t, "servers") {
		m.d.Add(fmt.Sprint("s", i), fmt.Sprint(i), "a", i%2 == 0, rapid.Bool().Draw(t, "cold"))
	}
	return m
}

// executeOrders executes the dispatcher's orders and checks each of them.
func (m *model) executeOrders() {
	for {
		o, ok := m.d.Next(m.now)
		if !ok {
			return
		}
		c := o.Call()
		if m.ended[c] || m.rejected[c] {
			m.t.Fatal("order for a call that has ended")
		}
		a := o.Attempt()
		if a == nil {
			m.rejected[c] = len(m.attemptsOf(c)) == 0
			continue
		}
		m.checkAttempt(c, a)
		m.sent[c] = append(m.sent[c], a)
		m.inFlight = append(m.inFlight, a)
	}
}

func (m *model) checkAttempt(c *Call, a *Attempt) {
	s := a.Server()
	if m.draining[s.Name()] {
		m.t.Fatalf("%s is draining and was sent a call", s.Name())
	}
	if s.InFlight() > m.slots+1 {
		m.t.Fatalf("%s: got: %d in flight want: at most %d", s.Name(), s.InFlight(), m.slots+1)
	}
	for _, b := range m.sent[c] {
		if b.Server() == s {
			m.t.Fatal("call sent twice to the same server")
		}
	}
	if len(m.sent[c]) > 0 && !c.repeatable && !m.notRun[c] {
		m.t.Fatal("call that is not repeatable sent twice")
	}
	if len(m.sent[c]) >= maxAttempts {
		m.t.Fatalf("attempts: got: more than %d", maxAttempts)
	}
}

func (m *model) attemptsOf(c *Call) (out []*Attempt) {
	for _, a := range m.inFlight {
		if a.Call() == c {
			out = append(out, a)
		}
	}
	return out
}

func (m *model) submit() {
	c := &Call{}
	class := rapid.SampledFrom([]parser.Class{parser.Urgent, parser.Normal, parser.Bulk}).Draw(m.t, "class")
	timeout := time.Duration(rapid.IntRange(1, 2000).Draw(m.t, "deadline")) * time.Millisecond
	c.Reset(class, m.now.Add(timeout), rapid.Bool().Draw(m.t, "repeatable"))
	if m.d.Submit(m.now, c) != nil {
		m.rejected[c] = true
	}
	m.calls = append(m.calls, c)
}

// endAttempt ends a random attempt, and its call unless that is retried.
func (m *model) endAttempt() {
	if len(m.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.inFlight)-1).Draw(m.t, "attempt")
	a := m.inFlight[i]
	m.inFlight = append(m.inFlight[:i:i], m.inFlight[i+1:]...)
	c := a.Call()
	r := rapid.SampledFrom([]Result{Completed, Completed, Failed, Shed, Canceled}).Draw(m.t, "result")
	m.d.Finish(m.now, a, r, rapid.IntRange(-1, 5).Draw(m.t, "load"))
	if m.ended[c] {
		return
	}
	if r == Completed || r == Canceled {
		m.endCall(c)
		return
	}
	notRun := r == Shed && rapid.Bool().Draw(m.t, "unsent")
	m.notRun[c] = notRun
	if len(m.attemptsOf(c)) == 0 && !m.d.RequestRetry(m.now, c, notRun) {
		m.endCall(c)
	}
}

func (m *model) endCall(c *Call) {
	m.d.Cancel(c)
	m.ended[c] = true
}

// TestDispatcherInvariants applies random steps to a dispatcher and checks its
// invariants: no call is sent to a draining server, beyond a server's limit or
// twice to the same server, no call that is not repeatable is sent twice, hedges
// and attempts stay within their limits, and every call ends.
func TestDispatcherInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0, 1, 2:
				m.submit()
			case 3, 4, 5:
				m.endAttempt()
			case 6:
				if n := len(m.inFlight); n > 0 {
					m.d.RequestHedge(m.inFlight[rapid.IntRange(0, n-1).Draw(t, "hedge")].Call())
				}
			case 7:
				s := m.d.Servers()[rapid.IntRange(0, len(m.d.Servers())-1).Draw(t, "server")]
				if rapid.IntRange(0, 4).Draw(t, "drain") == 0 {
					m.d.MarkDraining(s.Name())
					m.draining[s.Name()] = true
				}
			case 8:
				s := m.d.Servers()[rapid.IntRange(0, len(m.d.Servers())-1).Draw(t, "probed")]
				r := ProbeResult{OK: rapid.Bool().Draw(t, "ok"), Draining: m.draining[s.Name()], Load: -1}
				m.d.RecordProbe(m.now, s.Name(), r)
			}
			m.executeOrders()
		}
		m.finish()
	})
}

// finish ends all attempts, advances the time past all deadlines and checks the
// final state.
func (m *model) finish() {
	for len(m.inFlight) > 0 {
		a := m.inFlight[0]
		m.inFlight = m.inFlight[1:]
		m.d.Finish(m.now, a, Completed, -1)
		if !m.ended[a.Call()] {
			m.endCall(a.Call())
		}
		m.executeOrders()
	}
	m.now = m.now.Add(time.Hour)
	for _, s := range m.d.Servers() {
		m.d.UpdateDraining(s.Name(), false, false)
		m.d.RecordProbe(m.now, s.Name(), ProbeResult{OK: true, Load: -1})
		m.draining[s.Name()] = false
	}
	m.executeOrders()
	for _, c := range m.calls {
		if !m.ended[c] && !m.rejected[c] {
			m.t.Fatalf("call did not end: waiting %v, attempts %d", c.Waiting(), c.Attempts())
		}
	}
	n := m.d.Counts()
	if float64(n.Hedges) > 0.1*float64(n.Calls)+1e-6 {
		m.t.Fatalf("hedges: got: %d of %d calls want: at most 1/10", n.Hedges, n.Calls)
	}
	if m.d.Waiting() != 0 {
		m.t.Fatalf("waiting: got: %d want: 0", m.d.Waiting())
	}
}

// TestEjectionKeepsHalf lets every call fail and checks that at least 1/2 of the
// servers remain usable.
func TestEjectionKeepsHalf(t *testing.T) {
	d := New(Options{Slots: 1, QueueLimit: 100})
	for i := range 6 {
		d.Add(fmt.Sprint(i), fmt.Sprint(i), "a", true, false)
	}
	now := start
	for range 10 * ejectionThreshold {
		c := &Call{}
		c.Reset(parser.Normal, now.Add(time.Hour), true)
		_ = d.Submit(now, c)
		for o, ok := d.Next(now); ok; o, ok = d.Next(now) {
			d.Finish(now, o.Attempt(), Failed, -1)
			d.Cancel(o.Call())
		}
		usable := 0
		for _, s := range d.Servers() {
			if s.Usable(now) {
				usable++
			}
		}
		if usable < 3 {
			t.Fatalf("usable: got: %d want: at least 3", usable)
		}
	}
}

// TestColdServerRampsUp checks that the limit of a cold server rises with its
// responses.
func TestColdServerRampsUp(t *testing.T) {
	d := New(Options{Slots: 4})
	s := d.Add("s", "1", "a", true, true)
	for want := 1; want <= 4; want++ {
		if got := s.FreeSlots(start); got != want {
			t.Errorf("limit: got: %d want: %d", got, want)
		}
		for range rampResponses {
			s.recordSuccess(time.Millisecond)
		}
	}
}

// TestClassPriority queues calls of all classes for a server with one slot and
// checks that they are sent in order of priority.
func TestClassPriority(t *testing.T) {
	d := New(Options{Slots: 1})
	d.Add("s", "1", "a", true, false)
	var calls []*Call
	for _, k := range []parser.Class{parser.Bulk, parser.Bulk, parser.Normal, parser.Urgent} {
		c := &Call{}
		c.Reset(k, start.Add(time.Hour), true)
		if err := d.Submit(start, c); err != nil {
			t.Fatal(err)
		}
		calls = append(calls, c)
	}
	var inFlight []*Attempt
	for _, i := range []int{3, 2, 0, 1} {
		o, ok := d.Next(start)
		if !ok {
			d.Finish(start, inFlight[0], Completed, -1)
			inFlight = inFlight[1:]
			o, ok = d.Next(start)
		}
		if !ok || o.Call() != calls[i] {
			t.Fatalf("next: got: %v want: call %d", o.Call(), i)
		}
		inFlight = append(inFlight, o.Attempt())
		if len(inFlight) > 2 {
			t.Fatalf("in flight: got: %d want: at most one slot and one overcommitted call", len(inFlight))
		}
	}
}

// TestLateCallIsRejected checks that a waiting call is rejected when its
// deadline can no longer be met.
func TestLateCallIsRejected(t *testing.T) {
	d := New(Options{Slots: 1})
	d.Add("s", "1", "a", true, false)
	var first, second Call
	first.Reset(parser.Normal, start.Add(time.Second), true)
	second.Reset(parser.Normal, start.Add(time.Second), true)
	_ = d.Submit(start, &first)
	_ = d.Submit(start, &second)
	if o, ok := d.Next(start); !ok || o.Call() != &first {
		t.Fatal("first call: got: not sent")
	}
	if o, ok := d.Next(start.Add(2 * time.Second)); !ok || o.Err() != ErrLate || o.Call() != &second {
		t.Errorf("second call: got: %v want: %v", o.Err(), ErrLate)
	}
}
