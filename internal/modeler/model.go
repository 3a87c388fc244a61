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

// Shape describes a deployment of one service and its workload.
type Shape struct {
	Name           string
	Servers, Slots int
	Entries        int
	// Work is the mean work of a request, as time at full speed.
	Work time.Duration
	// Objective and Deadline are relative to the start of a request.
	Objective time.Duration
	Deadline  time.Duration
	// LocalDelay and RemoteDelay are the one-way network delays within a
	// failure domain and between two of them. ProbeLatency is how long an
	// upstream takes to answer a load probe.
	LocalDelay, RemoteDelay, ProbeLatency time.Duration
	// SlowFraction is the fraction of time in which an upstream is Slowdown
	// times slower. SlowPhase is the mean duration of a slow phase.
	SlowFraction, Slowdown float64
	SlowPhase              time.Duration
	// KneeFraction is the fraction of slots above which further requests take
	// KneeSlowdown times as long.
	KneeFraction, KneeSlowdown float64
	// ProbeRate limits the load probes per second of one upstream by all entries.
	ProbeRate float64
}

// The shapes of the users' largest services, taken from the users' published
// descriptions of their deployments.
var (
	Coastline = Shape{
		Name: "coastline", Servers: 13, Slots: 3, Entries: 6, Work: 120 * time.Millisecond, Objective: 300 * time.Millisecond, Deadline: time.Second,
		LocalDelay: 100 * time.Microsecond, RemoteDelay: 1400 * time.Microsecond, ProbeLatency: 6 * time.Millisecond,
		SlowFraction: 0.25, Slowdown: 5, SlowPhase: 150 * time.Millisecond, KneeFraction: 0.8, KneeSlowdown: 1.7, ProbeRate: 54,
	}
	Kalame = Shape{
		Name: "kalame", Servers: 14, Slots: 6, Entries: 6, Work: 160 * time.Millisecond, Objective: 400 * time.Millisecond, Deadline: 2 * time.Second,
		LocalDelay: 100 * time.Microsecond, RemoteDelay: 500 * time.Microsecond,
		SlowFraction: 0.25, Slowdown: 5, SlowPhase: 150 * time.Millisecond, KneeFraction: 1, KneeSlowdown: 1, ProbeRate: 54,
	}
)

// phaseEfficiency is the fraction of capacity that remains when upstreams change
// phases, because slots are idle at the beginning of each phase. It corresponds to
// the throughput of Oracle under heavy overload.
const phaseEfficiency = 0.82

// capacity returns how many requests per second all upstreams can serve if those
// in a slow phase serve none.
func (s Shape) capacity() float64 {
	fast := math.Floor(s.KneeFraction * float64(s.Slots))
	slots := fast + (float64(s.Slots)-fast)/s.KneeSlowdown
	return float64(s.Servers) * slots / s.Work.Seconds() * (1 - s.SlowFraction) * phaseEfficiency
}

// probeRates returns how many load probes per second an entry may send to an
// upstream, by scope: its fair share of ProbeRate, the users' limit, if all
// entries have the same load.
func (s Shape) probeRates() [placer.Scopes]float64 {
	var members []announcer.Member
	for i := range s.Entries {
		members = append(members, announcer.Member{Name: fmt.Sprint(i), Domain: fmt.Sprint(i % failureDomains), Load: 1})
	}
	local, remote := resolver.ProbeQuota(members[0], members)
	return [placer.Scopes]float64{local * s.ProbeRate, remote * s.ProbeRate}
}

// Policy is a placement policy.
type Policy int

// The policies.
const (
	// Least picks the upstream with the fewest requests of the entry in flight.
	Least Policy = iota
	// Probe is the policy of the product, which probes the load of upstreams.
	Probe
	// Oracle reads the state of every upstream without delay. It queues requests
	// until an upstream that is not slow has a free slot.
	Oracle
)

// Result holds the measurements of a run.
type Result struct {
	Requests int
	// InTime is the fraction of requests answered within the objective, Served
	// the fraction answered by the deadline.
	InTime, Served float64
	// P50 and P99 are latency percentiles of served requests.
	P50, P99 time.Duration
	// Probes is the number of load probes per server and second.
	Probes float64
}

const failureDomains = 3

// server is the state of a simulated upstream.
type server struct {
	id, domain int
	// running counts the requests in slots, assigned those in slots, in the
	// queue and in transit to the server.
	running, assigned int
	slow              bool
	// queue holds requests that wait for a slot.
	queue []*request
}

// request is the state of one request.
type request struct {
	entry *entry
	// startedAt is the virtual time of arrival at the entry.
	startedAt           time.Duration
	work                time.Duration
	attempt             *placer.Attempt
	objective, deadline time.Time
	// waited reports whether the request was in the admission queue.
	waited  bool
	expired bool
}

// priority returns the request's priority in the admission queue of its entry.
func (r *request) priority() limiter.Priority {
	return limiter.Priority{Due: r.objective, Latency: r.entry.serviceTime.Average()}
}

// entry is the state of a simulated entry.
type entry struct {
	domain      int
	fleet       placer.Fleet
	queue       limiter.Queue[*request]
	serviceTime placer.ServiceTime
	// scheduled reports whether the next check of the queue is scheduled.
	scheduled bool
}

// model is the state of one simulation run.
type model struct {
	shape   Shape
	policy  Policy
	now     time.Duration
	events  scheduler.EventQueue
	random  *rand.Rand
	servers []*server
	entries []*entry
	result  Result
	inTime  int
	// latencies holds the latencies of the requests served by the deadline.
	latencies []time.Duration
	// probes counts the load probes of all entries.
	probes int
}

// clock returns the virtual time as a wall time.
func (m *model) clock() time.Time { return time.Unix(1e9, 0).Add(m.now) }

// after schedules an event after a delay.
func (m *model) after(d time.Duration, do func()) {
	m.events.Add(m.now+d, do)
}

// delay returns the one-way network delay between an entry and a server.
func (m *model) delay(e *entry, s *server) time.Duration {
	if e.domain == s.domain {
		return m.shape.LocalDelay
	}
	return m.shape.RemoteDelay
}

// Run simulates requests for the span of virtual time. The offered load is the
// fraction utilization of the capacity.
func Run(shape Shape, policy Policy, utilization float64, seed uint64, span time.Duration) Result {
	m := &model{shape: shape, policy: policy, random: rand.New(rand.NewPCG(seed, 11))}
	for i := range shape.Servers {
		s := &server{id: i, domain: i % failureDomains}
		m.servers = append(m.servers, s)
		m.schedulePhase(s)
	}
	for i := range shape.Entries {
		e := &entry{domain: i % failureDomains}
		e.fleet.ProbeRates = shape.probeRates()
		e.fleet.Domain, e.fleet.Rand = fmt.Sprint(e.domain), m.random
		for _, s := range m.servers {
			e.fleet.Put(m.clock(), placer.Spec{ID: fmt.Sprint(s.id), Domain: fmt.Sprint(s.domain), Addr: "a", Slots: shape.Slots})
		}
		m.entries = append(m.entries, e)
	}
	m.scheduleArrival(utilization*shape.capacity(), span)
	for at, do, ok := m.events.Next(); ok && at <= span+10*time.Second; at, do, ok = m.events.Next() {
		m.now = at
		do()
	}
	return m.summarize(span)
}

// schedulePhase alternates a server between slow and normal phases.
func (m *model) schedulePhase(s *server) {
	mean := m.shape.SlowPhase
	if !s.slow {
		mean = time.Duration(float64(mean) * (1 - m.shape.SlowFraction) / m.shape.SlowFraction)
	}
	m.after(time.Duration(m.random.ExpFloat64()*float64(mean)), func() {
		s.slow = !s.slow
		if m.now < time.Hour {
			m.schedulePhase(s)
		}
	})
}

// scheduleArrival schedules the requests as a Poisson process of the rate per
// second until the end of the span.
func (m *model) scheduleArrival(rate float64, span time.Duration) {
	m.after(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if m.now > span {
			return
		}
		e := m.entries[m.random.IntN(len(m.entries))]
		size := math.Exp(0.3*m.random.NormFloat64() - 0.045)
		r := &request{entry: e, startedAt: m.now, work: time.Duration(size * float64(m.shape.Work))}
		r.objective, r.deadline = m.clock().Add(m.shape.Objective), m.clock().Add(m.shape.Deadline)
		m.result.Requests++
		if m.policy != Least && e.queue.Ahead(m.clock(), r.priority()) > 0 {
			m.enqueue(r)
		} else {
			m.place(r)
		}
		m.scheduleArrival(rate, span)
	})
}

// place sends a request to an upstream chosen by the policy, or queues it.
func (m *model) place(r *request) {
	e := r.entry
	switch m.policy {
	case Least:
		best := e.fleet.List()[0]
		start := m.random.IntN(m.shape.Servers)
		for i := range m.shape.Servers {
			if u := e.fleet.List()[(start+i)%m.shape.Servers]; i == 0 || u.InFlight() < best.InFlight() {
				best = u
			}
		}
		m.send(r, best)
	case Oracle:
		best := -1
		for i, s := range m.servers {
			if !s.slow && s.assigned < m.shape.Slots && (best < 0 || s.assigned < m.servers[best].assigned) {
				best = i
			}
		}
		if best < 0 {
			m.enqueue(r)
			return
		}
		m.send(r, e.fleet.List()[best])
	case Probe:
		if u := e.fleet.SelectFresh(m.clock(), r.waited, nil); u != nil {
			m.send(r, u)
			return
		}
		m.probe(r, placer.ScopeLocal, nil)
	}
}

// probeFanout is the number of upstreams probed at once, as in forwarder.
const probeFanout = 3

// probe probes the load of upstreams in a scope and decides on the request when
// all of them have responded. The slice probed holds the upstreams probed before.
func (m *model) probe(r *request, scope placer.Scope, probed []*placer.Upstream) {
	e := r.entry
	list := e.fleet.SelectProbes(nil, m.clock(), probeFanout, scope, nil)
	wait := time.Duration(0)
	for _, u := range list {
		s := m.server(u)
		delay := m.delay(e, s)
		m.probes++
		m.after(delay+m.shape.ProbeLatency, func() {
			report := placer.Report{Running: s.running, Waiting: len(s.queue), Slots: m.shape.Slots, Slowness: 1}
			if s.slow {
				report.Slowness = m.shape.Slowdown
			}
			m.after(delay, func() {
				report.At = m.clock()
				e.fleet.RecordReport(u, report)
			})
		})
		wait = max(wait, 2*delay+m.shape.ProbeLatency)
	}
	m.after(wait+time.Microsecond, func() { m.decide(r, scope, append(probed, list...)) })
}

// decide sends a request to the best probed upstream if that is good enough.
// Otherwise it probes other failure domains, or queues the request.
func (m *model) decide(r *request, scope placer.Scope, probed []*placer.Upstream) {
	e := r.entry
	best := e.fleet.SelectBest(m.clock(), probed)
	remote := scope == placer.ScopeRemote
	switch {
	case best != nil && (remote || e.fleet.LocalSuffices(m.clock(), best)) && e.fleet.ShouldSend(m.clock(), best, &e.serviceTime, r.objective):
		m.send(r, best)
	case !remote:
		m.probe(r, placer.ScopeRemote, probed)
	default:
		m.enqueue(r)
	}
}

// queueInterval is the time between two checks of the admission queue for a free
// slot, as in forwarder.
const queueInterval = 12 * time.Millisecond

// enqueue adds a request to the admission queue of its entry, unless it can't be
// served by its deadline any more.
func (m *model) enqueue(r *request) {
	e := r.entry
	if m.clock().Add(e.serviceTime.Average()).After(r.deadline) {
		r.expired = true
		return
	}
	r.waited = true
	e.queue.Push(r, r.priority())
	if !e.scheduled {
		e.scheduled = true
		m.after(queueInterval, func() {
			e.scheduled = false
			m.pump(e)
		})
	}
}

// pump places the first request of the admission queue and schedules the next
// check if requests are left.
func (m *model) pump(e *entry) {
	if r, ok := e.queue.First(m.clock()); ok {
		e.queue.Remove(r)
		m.place(r)
	}
	if e.queue.Len() > 0 && !e.scheduled {
		e.scheduled = true
		m.after(queueInterval, func() {
			e.scheduled = false
			m.pump(e)
		})
	}
}

// server returns the server that an upstream refers to.
func (m *model) server(u *placer.Upstream) *server {
	id, err := strconv.Atoi(u.ID())
	if err != nil {
		panic("modeler: ID of upstream is not the index of a server")
	}
	return m.servers[id]
}

// send sends a request to an upstream, which runs or queues it on arrival.
func (m *model) send(r *request, u *placer.Upstream) {
	s := m.server(u)
	r.attempt = r.entry.fleet.Start(m.clock(), u)
	s.assigned++
	m.after(m.delay(r.entry, s), func() {
		if s.running >= m.shape.Slots {
			s.queue = append(s.queue, r)
			return
		}
		m.run(s, r)
	})
}

// run simulates the execution of a request. The slowdown of the server at its
// start applies to the whole request.
func (m *model) run(s *server, r *request) {
	slowdown := 1.0
	if s.slow {
		slowdown = m.shape.Slowdown
	}
	if s.running++; float64(s.running) > m.shape.KneeFraction*float64(m.shape.Slots) {
		slowdown *= m.shape.KneeSlowdown
	}
	m.after(time.Duration(slowdown*float64(r.work)), func() {
		report := placer.Report{Running: s.running, Waiting: len(s.queue), Slots: m.shape.Slots, Slowness: 1}
		if s.slow {
			report.Slowness = m.shape.Slowdown
		}
		s.running--
		s.assigned--
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			m.run(s, next)
		}
		m.after(m.delay(r.entry, s), func() { m.respond(r, report) })
	})
}

// respond processes the response of an upstream, which contains a load report.
func (m *model) respond(r *request, report placer.Report) {
	e := r.entry
	report.At = m.clock()
	e.fleet.RecordReport(r.attempt.Upstream(), report)
	e.fleet.Finish(m.clock(), r.attempt, placer.Answered, &e.serviceTime)
	latency := m.now - r.startedAt
	if latency <= m.shape.Deadline {
		m.latencies = append(m.latencies, latency)
	}
	if latency <= m.shape.Objective {
		m.inTime++
	}
	m.pump(e)
}

// summarize computes the result of the run.
func (m *model) summarize(span time.Duration) Result {
	out := m.result
	out.InTime = float64(m.inTime) / float64(out.Requests)
	out.Served = float64(len(m.latencies)) / float64(out.Requests)
	out.Probes = float64(m.probes) / float64(len(m.servers)) / span.Seconds()
	slices.Sort(m.latencies)
	if n := len(m.latencies); n > 0 {
		out.P50, out.P99 = m.latencies[n/2], m.latencies[n*99/100]
	}
	return out
}
