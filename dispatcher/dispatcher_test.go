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

// machine drives a dispatcher by random steps and keeps its own account.
type machine struct {
	t     *rapid.T
	d     *Dispatcher
	now   time.Time
	calls []*Call
	// flight holds attempts under way; ended counts the ends of each call.
	flight  []*Attempt
	left    map[*Call]bool
	sent    map[*Call][]*Attempt
	refused map[*Call]bool
	unsent  map[*Call]bool
	leaving map[string]bool
	slots   int
}

func newMachine(t *rapid.T) *machine {
	m := &machine{t: t, now: start, left: map[*Call]bool{}, sent: map[*Call][]*Attempt{}, refused: map[*Call]bool{}, unsent: map[*Call]bool{}, leaving: map[string]bool{}}
	m.slots = rapid.IntRange(1, 4).Draw(t, "slots")
	m.d = New(Options{Slots: m.slots, Queue: 16, Hedge: 0.1, Retry: 0.2})
	for i := range rapid.IntRange(1, 5).Draw(t, "servers") {
		m.d.Add(fmt.Sprint("s", i), fmt.Sprint(i), "a", i%2 == 0, rapid.Bool().Draw(t, "cold"))
	}
	return m
}

// orders carries out what the dispatcher wants, checking each order.
func (m *machine) orders() {
	for {
		o, ok := m.d.Next(m.now)
		if !ok {
			return
		}
		c := o.Call()
		if m.left[c] || m.refused[c] {
			m.t.Fatal("order for a call that is over")
		}
		a := o.Attempt()
		if a == nil {
			m.refused[c] = len(m.running(c)) == 0
			continue
		}
		m.check(c, a)
		m.sent[c] = append(m.sent[c], a)
		m.flight = append(m.flight, a)
	}
}

func (m *machine) check(c *Call, a *Attempt) {
	s := a.Server()
	if m.leaving[s.Name()] {
		m.t.Fatalf("%s is leaving and got a call", s.Name())
	}
	if s.Own() > m.slots+1 {
		m.t.Fatalf("%s: got: %d in flight want: at most %d", s.Name(), s.Own(), m.slots+1)
	}
	for _, b := range m.sent[c] {
		if b.Server() == s {
			m.t.Fatal("a call came to one server twice")
		}
	}
	if len(m.sent[c]) > 0 && !c.repeat && !m.unsent[c] {
		m.t.Fatal("a call that must not run twice was sent twice")
	}
	if len(m.sent[c]) >= maxAttempts {
		m.t.Fatalf("attempts: got: more than %d", maxAttempts)
	}
}

func (m *machine) running(c *Call) (out []*Attempt) {
	for _, a := range m.flight {
		if a.Call() == c {
			out = append(out, a)
		}
	}
	return out
}

func (m *machine) submit() {
	c := &Call{}
	class := rapid.SampledFrom([]parser.Class{parser.Urgent, parser.Normal, parser.Bulk}).Draw(m.t, "class")
	wait := time.Duration(rapid.IntRange(1, 2000).Draw(m.t, "deadline")) * time.Millisecond
	c.Reset(class, m.now.Add(wait), rapid.Bool().Draw(m.t, "repeat"))
	if m.d.Submit(m.now, c) != nil {
		m.refused[c] = true
	}
	m.calls = append(m.calls, c)
}

// end ends one attempt, and the call with it unless it is tried again.
func (m *machine) end() {
	if len(m.flight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.flight)-1).Draw(m.t, "attempt")
	a := m.flight[i]
	m.flight = append(m.flight[:i:i], m.flight[i+1:]...)
	c := a.Call()
	r := rapid.SampledFrom([]Result{Answered, Answered, Failed, Shed, Dropped}).Draw(m.t, "result")
	m.d.Finish(m.now, a, r, rapid.IntRange(-1, 5).Draw(m.t, "load"))
	if m.left[c] {
		return
	}
	if r == Answered || r == Dropped {
		m.leave(c)
		return
	}
	unsent := r == Shed && rapid.Bool().Draw(m.t, "unsent")
	m.unsent[c] = unsent
	if len(m.running(c)) == 0 && !m.d.AskRetry(m.now, c, unsent) {
		m.leave(c)
	}
}

func (m *machine) leave(c *Call) {
	m.d.Withdraw(c)
	m.left[c] = true
}

// TestDispatcherKeepsItsRules drives a dispatcher by random steps: no call to
// a leaving server, none past the limit, none twice to one server, none that
// must not run twice sent twice, extra attempts within their shares, and
// every call ends.
func TestDispatcherKeepsItsRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0, 1, 2:
				m.submit()
			case 3, 4, 5:
				m.end()
			case 6:
				if n := len(m.flight); n > 0 {
					m.d.AskHedge(m.flight[rapid.IntRange(0, n-1).Draw(t, "hedge")].Call())
				}
			case 7:
				s := m.d.Servers()[rapid.IntRange(0, len(m.d.Servers())-1).Draw(t, "server")]
				if rapid.IntRange(0, 4).Draw(t, "leave") == 0 {
					m.d.Leave(s.Name())
					m.leaving[s.Name()] = true
				}
			case 8:
				s := m.d.Servers()[rapid.IntRange(0, len(m.d.Servers())-1).Draw(t, "probed")]
				f := Finding{OK: rapid.Bool().Draw(t, "ok"), Leaving: m.leaving[s.Name()], Load: -1}
				m.d.Probed(m.now, s.Name(), f)
			}
			m.orders()
		}
		m.finish()
	})
}

// finish ends all attempts and lets the deadlines pass.
func (m *machine) finish() {
	for len(m.flight) > 0 {
		a := m.flight[0]
		m.flight = m.flight[1:]
		m.d.Finish(m.now, a, Answered, -1)
		if !m.left[a.Call()] {
			m.leave(a.Call())
		}
		m.orders()
	}
	m.now = m.now.Add(time.Hour)
	for _, s := range m.d.Servers() {
		m.d.Told(s.Name(), false, false)
		m.d.Probed(m.now, s.Name(), Finding{OK: true, Load: -1})
		m.leaving[s.Name()] = false
	}
	m.orders()
	for _, c := range m.calls {
		if !m.left[c] && !m.refused[c] {
			m.t.Fatalf("a call never ended: waiting %v, tries %d", c.Waiting(), c.Tries())
		}
	}
	n := m.d.Counts()
	if float64(n.Hedges) > 0.1*float64(n.Calls)+1e-6 {
		m.t.Fatalf("hedges: got: %d of %d calls want: at most a tenth", n.Hedges, n.Calls)
	}
	if m.d.Waiting() != 0 {
		m.t.Fatalf("waiting: got: %d want: 0", m.d.Waiting())
	}
}

// TestFloor fails all servers but one: at least half of them stay in use.
func TestFloor(t *testing.T) {
	d := New(Options{Slots: 1, Queue: 100})
	for i := range 6 {
		d.Add(fmt.Sprint(i), fmt.Sprint(i), "a", true, false)
	}
	now := start
	for range 10 * failuresToEject {
		c := &Call{}
		c.Reset(parser.Normal, now.Add(time.Hour), true)
		_ = d.Submit(now, c)
		for o, ok := d.Next(now); ok; o, ok = d.Next(now) {
			d.Finish(now, o.Attempt(), Failed, -1)
			d.Withdraw(o.Call())
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

// TestColdRampsUp counts how many calls a new server holds as it answers.
func TestColdRampsUp(t *testing.T) {
	d := New(Options{Slots: 4})
	s := d.Add("s", "1", "a", true, true)
	for want := 1; want <= 4; want++ {
		if got := s.Free(start); got != want {
			t.Errorf("limit: got: %d want: %d", got, want)
		}
		for range rampStep {
			s.good(time.Millisecond)
		}
	}
}

// TestClassesInOrder gives one slot and lets calls of all classes wait: they
// go in order of class.
func TestClassesInOrder(t *testing.T) {
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
	var flight []*Attempt
	for _, i := range []int{3, 2, 0, 1} {
		o, ok := d.Next(start)
		if !ok {
			d.Finish(start, flight[0], Answered, -1)
			flight = flight[1:]
			o, ok = d.Next(start)
		}
		if !ok || o.Call() != calls[i] {
			t.Fatalf("next: got: %v want: call %d", o.Call(), i)
		}
		flight = append(flight, o.Attempt())
		if len(flight) > 2 {
			t.Fatalf("in flight: got: %d want: the slot and one ahead", len(flight))
		}
	}
}

// TestLateIsRefused lets a call wait past the time that it could be answered.
func TestLateIsRefused(t *testing.T) {
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
