package modeler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"poplarwind/announcer"
	"poplarwind/internal/scheduler"
	"poplarwind/limiter"
	"poplarwind/placer"
	"poplarwind/resolver"
)

// Shape is a deployment of one service.
type Shape struct {
	Name               string
	Servers, Slots     int
	Entries            int
	Work               time.Duration
	Objective          time.Duration
	Deadline           time.Duration
	Near, Far, Health  time.Duration
	SlowShare, Slow    float64
	Phase              time.Duration
	KneeShare, KneeFor float64
	// Questions is how often an upstream may be asked for its load, a second.
	Questions float64
}

// The shapes of the users' largest services of today, by their site sheets.
var (
	Coastline = Shape{
		Name: "coastline", Servers: 13, Slots: 3, Entries: 6, Work: 120 * time.Millisecond, Objective: 300 * time.Millisecond, Deadline: time.Second,
		Near: 100 * time.Microsecond, Far: 1400 * time.Microsecond, Health: 6 * time.Millisecond,
		SlowShare: 0.25, Slow: 5, Phase: 150 * time.Millisecond, KneeShare: 0.8, KneeFor: 1.7, Questions: 54,
	}
	Kalame = Shape{
		Name: "kalame", Servers: 14, Slots: 6, Entries: 6, Work: 160 * time.Millisecond, Objective: 400 * time.Millisecond, Deadline: 2 * time.Second,
		Near: 100 * time.Microsecond, Far: 500 * time.Microsecond,
		SlowShare: 0.25, Slow: 5, Phase: 150 * time.Millisecond, KneeShare: 1, KneeFor: 1, Questions: 54,
	}
)

// restless is the part of their work that upstreams get done whose phases
// change: slots stand empty at the begin of each. Measured with Truth far beyond
// full use.
const restless = 0.82

// capacity returns how many requests a second all upstreams can do while those
// in a slow phase do nothing.
func (s Shape) capacity() float64 {
	quick := math.Floor(s.KneeShare * float64(s.Slots))
	slots := quick + (float64(s.Slots)-quick)/s.KneeFor
	return float64(s.Servers) * slots / s.Work.Seconds() * (1 - s.SlowShare) * restless
}

// questions returns how often one entry may ask an upstream for its load, a
// second: its part of the users' budget where all entries have like loads.
func (s Shape) questions() [placer.Scopes]float64 {
	var all []announcer.Member
	for i := range s.Entries {
		all = append(all, announcer.Member{Name: fmt.Sprint(i), Domain: fmt.Sprint(i % failureDomains), Load: 1})
	}
	near, far := resolver.Share(all[0], all)
	return [placer.Scopes]float64{near * s.Questions, far * s.Questions}
}

// Policy says how requests are placed.
type Policy int

// The policies.
const (
	// Least takes the upstream with the fewest requests of the entry.
	Least Policy = iota
	// Ask is the product's.
	Ask
	// Truth sees every upstream's state at once and waits for a good one.
	Truth
)

// Result is what a run measured.
type Result struct {
	Requests int
	// InTime is the share answered by its objective, Served that answered by
	// its deadline.
	InTime, Served float64
	// P50 and P99 are of served requests.
	P50, P99 time.Duration
	// Questions counts load queries a server and second.
	Questions float64
}

// failureDomains is how many there are.
const failureDomains = 3

type server struct {
	id, domain int
	// running counts requests in slots, coming those and the ones on their way.
	running, coming int
	slow            bool
	// queue holds requests that found no slot.
	queue []*request
}

type request struct {
	entry    *entry
	began    time.Duration
	work     time.Duration
	attempt  *placer.Attempt
	due, end time.Time
	// waited says that the request stood in the line.
	waited bool
	over   bool
}

// lineUp returns the request's place in the line of its entry.
func (r *request) lineUp() limiter.Place {
	return limiter.Place{Due: r.due, Needs: r.entry.work.Usual()}
}

type entry struct {
	domain int
	fleet  placer.Fleet
	line   limiter.Line[*request]
	work   placer.Work
	armed  bool
}

type model struct {
	shape     Shape
	policy    Policy
	now       time.Duration
	agenda    scheduler.Queue
	random    *rand.Rand
	servers   []*server
	entries   []*entry
	result    Result
	inTime    int
	took      []time.Duration
	questions int
}

func (m *model) clock() time.Time { return time.Unix(1e9, 0).Add(m.now) }

func (m *model) after(d time.Duration, do func()) {
	m.agenda.Add(m.now+d, do)
}

func (m *model) delay(e *entry, s *server) time.Duration {
	if e.domain == s.domain {
		return m.shape.Near
	}
	return m.shape.Far
}

// Run plays requests for a while at a use of what the upstreams can do.
func Run(shape Shape, policy Policy, use float64, seed uint64, span time.Duration) Result {
	m := &model{shape: shape, policy: policy, random: rand.New(rand.NewPCG(seed, 11))}
	for i := range shape.Servers {
		s := &server{id: i, domain: i % failureDomains}
		m.servers = append(m.servers, s)
		m.phase(s)
	}
	for i := range shape.Entries {
		e := &entry{domain: i % failureDomains}
		e.fleet.Probes = shape.questions()
		e.fleet.Domain, e.fleet.Rand = fmt.Sprint(e.domain), m.random
		for _, s := range m.servers {
			e.fleet.Put(m.clock(), placer.Spec{ID: fmt.Sprint(s.id), Domain: fmt.Sprint(s.domain), Addr: "a", Slots: shape.Slots})
		}
		m.entries = append(m.entries, e)
	}
	m.arrive(use*shape.capacity(), span)
	for at, do, ok := m.agenda.Next(); ok && at <= span+10*time.Second; at, do, ok = m.agenda.Next() {
		m.now = at
		do()
	}
	return m.close(span)
}

// phase makes a server slow and quick by turns.
func (m *model) phase(s *server) {
	mean := m.shape.Phase
	if !s.slow {
		mean = time.Duration(float64(mean) * (1 - m.shape.SlowShare) / m.shape.SlowShare)
	}
	m.after(time.Duration(m.random.ExpFloat64()*float64(mean)), func() {
		s.slow = !s.slow
		if m.now < time.Hour {
			m.phase(s)
		}
	})
}

func (m *model) arrive(rate float64, span time.Duration) {
	m.after(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if m.now > span {
			return
		}
		e := m.entries[m.random.IntN(len(m.entries))]
		size := math.Exp(0.3*m.random.NormFloat64() - 0.045)
		r := &request{entry: e, began: m.now, work: time.Duration(size * float64(m.shape.Work))}
		r.due, r.end = m.clock().Add(m.shape.Objective), m.clock().Add(m.shape.Deadline)
		m.result.Requests++
		if m.policy != Least && e.line.Ahead(m.clock(), r.lineUp()) > 0 {
			m.line(r)
		} else {
			m.place(r)
		}
		m.arrive(rate, span)
	})
}

// place finds an upstream for a request by the policy.
func (m *model) place(r *request) {
	e := r.entry
	switch m.policy {
	case Least:
		best := e.fleet.List()[0]
		start := m.random.IntN(m.shape.Servers)
		for i := range m.shape.Servers {
			if u := e.fleet.List()[(start+i)%m.shape.Servers]; i == 0 || u.Own() < best.Own() {
				best = u
			}
		}
		m.send(r, best)
	case Truth:
		best := -1
		for i, s := range m.servers {
			if !s.slow && s.coming < m.shape.Slots && (best < 0 || s.coming < m.servers[best].coming) {
				best = i
			}
		}
		if best < 0 {
			m.line(r)
			return
		}
		m.send(r, e.fleet.List()[best])
	case Ask:
		if u := e.fleet.Fresh(m.clock(), r.waited, nil); u != nil {
			m.send(r, u)
			return
		}
		m.ask(r, placer.Near, nil)
	}
}

// askedAtOnce is how many upstreams are asked before a send, as in forwarder.
const askedAtOnce = 3

// ask asks upstreams of a scope and places the request by their answers.
func (m *model) ask(r *request, scope placer.Scope, heard []*placer.Upstream) {
	e := r.entry
	list := e.fleet.Ask(nil, m.clock(), askedAtOnce, scope, nil)
	wait := time.Duration(0)
	for _, u := range list {
		s := m.server(u)
		there := m.delay(e, s)
		m.questions++
		m.after(there+m.shape.Health, func() {
			report := placer.Report{Running: s.running, Waiting: len(s.queue), Slots: m.shape.Slots, Slowness: 1}
			if s.slow {
				report.Slowness = m.shape.Slow
			}
			m.after(there, func() {
				report.At = m.clock()
				e.fleet.Hear(u, report)
			})
		})
		wait = max(wait, 2*there+m.shape.Health)
	}
	m.after(wait+time.Microsecond, func() { m.decide(r, scope, append(heard, list...)) })
}

func (m *model) decide(r *request, scope placer.Scope, heard []*placer.Upstream) {
	e := r.entry
	best := e.fleet.Best(m.clock(), heard)
	last := scope == placer.Far
	switch {
	case best != nil && (last || e.fleet.Enough(m.clock(), best)) && e.fleet.Worth(m.clock(), best, &e.work, r.due):
		m.send(r, best)
	case !last:
		m.ask(r, placer.Far, heard)
	default:
		m.line(r)
	}
}

// lineEvery is how often the line looks for a slot, as in forwarder.
const lineEvery = 12 * time.Millisecond

func (m *model) line(r *request) {
	e := r.entry
	if m.clock().Add(e.work.Usual()).After(r.end) {
		r.over = true
		return
	}
	r.waited = true
	e.line.Push(r, r.lineUp())
	if !e.armed {
		e.armed = true
		m.after(lineEvery, func() {
			e.armed = false
			m.pump(e)
		})
	}
}

func (m *model) pump(e *entry) {
	if r, ok := e.line.First(m.clock()); ok {
		e.line.Remove(r)
		m.place(r)
	}
	if e.line.Len() > 0 && !e.armed {
		e.armed = true
		m.after(lineEvery, func() {
			e.armed = false
			m.pump(e)
		})
	}
}

func (m *model) server(u *placer.Upstream) *server {
	id, err := strconv.Atoi(u.ID())
	if err != nil {
		panic("modeler: an upstream's ID is not its number")
	}
	return m.servers[id]
}

func (m *model) send(r *request, u *placer.Upstream) {
	s := m.server(u)
	r.attempt = r.entry.fleet.Start(m.clock(), u)
	s.coming++
	m.after(m.delay(r.entry, s), func() {
		if s.running >= m.shape.Slots {
			s.queue = append(s.queue, r)
			return
		}
		m.run(s, r)
	})
}

// run works on a request: how slow the server is now holds for all of it.
func (m *model) run(s *server, r *request) {
	pace := 1.0
	if s.slow {
		pace = m.shape.Slow
	}
	if s.running++; float64(s.running) > m.shape.KneeShare*float64(m.shape.Slots) {
		pace *= m.shape.KneeFor
	}
	m.after(time.Duration(pace*float64(r.work)), func() {
		report := placer.Report{Running: s.running, Waiting: len(s.queue), Slots: m.shape.Slots, Slowness: 1}
		if s.slow {
			report.Slowness = m.shape.Slow
		}
		s.running--
		s.coming--
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			m.run(s, next)
		}
		m.after(m.delay(r.entry, s), func() { m.answer(r, report) })
	})
}

func (m *model) answer(r *request, report placer.Report) {
	e := r.entry
	report.At = m.clock()
	e.fleet.Hear(r.attempt.Upstream(), report)
	e.fleet.Finish(m.clock(), r.attempt, placer.Answered, &e.work)
	took := m.now - r.began
	if took <= m.shape.Deadline {
		m.took = append(m.took, took)
	}
	if took <= m.shape.Objective {
		m.inTime++
	}
	m.pump(e)
}

func (m *model) close(span time.Duration) Result {
	out := m.result
	out.InTime = float64(m.inTime) / float64(out.Requests)
	out.Served = float64(len(m.took)) / float64(out.Requests)
	out.Questions = float64(m.questions) / float64(len(m.servers)) / span.Seconds()
	slices.Sort(m.took)
	if n := len(m.took); n > 0 {
		out.P50, out.P99 = m.took[n/2], m.took[n*99/100]
	}
	return out
}
