package bencher

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"poplarwind/announcer"
	"poplarwind/dispatcher"
	"poplarwind/internal/scheduler"
	"poplarwind/parser"
	"poplarwind/picker"
	"poplarwind/prober"
	"poplarwind/resolver"
)

// Shape describes a deployment.
type Shape struct {
	Name           string
	Servers, Slots int
	Entries        int
	// MeanWork is the mean work of a call, as time at full speed.
	MeanWork time.Duration
	// LocalDelay and RemoteDelay are the one-way network delays within a
	// failure domain and between two of them.
	LocalDelay, RemoteDelay time.Duration
}

// The shapes of the users' services.
var (
	Coastline = Shape{Name: "coastline", Servers: 13, Slots: 3, Entries: 17, MeanWork: 20 * time.Millisecond, LocalDelay: 100 * time.Microsecond, RemoteDelay: 1500 * time.Microsecond}
	Kalame    = Shape{Name: "kalame", Servers: 14, Slots: 6, Entries: 17, MeanWork: 20 * time.Millisecond, LocalDelay: 100 * time.Microsecond, RemoteDelay: 500 * time.Microsecond}
)

// Trial holds the parameters of one simulation run.
type Trial struct {
	Shape  Shape
	Policy string
	// Utilization is the offered load as a fraction of the capacity of the servers
	// under noise.
	Utilization float64
	// WorkSigma is the sigma of the log-normal distribution of work.
	WorkSigma float64
	Seed      uint64
	// Faults adds a straggler, a server that fails at once, a cold start, a drain
	// and the loss of a failure domain's servers.
	Faults bool
	// Duration is the measured duration, after the warm-up.
	Duration time.Duration
	// Tuning applies to the product's policy only.
	Tuning Tuning
}

// Tuning holds the settings of a service under the product's policy. Its zero
// value selects the defaults, with which the documented results are measured.
type Tuning struct {
	// Subset is the number of entries that serve the service, 0 meaning 2.
	Subset int
	// Hedge is the fraction of calls that may be hedged, 0 meaning 0.04 and a
	// negative value none.
	Hedge float64
	// Slots is the configured number of slots of a server, 0 meaning the actual
	// number.
	Slots int
	// Queue is the capacity of the admission queue of an entry, 0 meaning 512.
	Queue int
	// Probes is the budget of load probes per second, 0 meaning 2 and a negative
	// value none.
	Probes float64
}

// withDefaults returns the tuning with its zero values replaced.
func (t Tuning) withDefaults(s Shape) Tuning {
	t.Subset = cmp.Or(t.Subset, 2)
	t.Hedge = max(0, cmp.Or(t.Hedge, 0.04))
	t.Slots = cmp.Or(t.Slots, s.Slots)
	t.Queue = cmp.Or(t.Queue, 512)
	t.Probes = max(0, cmp.Or(t.Probes, 2))
	return t
}

// Policies holds the valid names of policies of a Trial, baselines first.
var Policies = []string{"random", "roundrobin", "twochoices", "least", "report", "product", "truth"}

// Result holds the measurements of a trial.
type Result struct {
	Calls, Answered, Rejected, Late int
	// WeightedOnTime is the weighted fraction of calls answered by their deadline.
	// NonBulkOnTime is that fraction of the urgent and normal calls, by number.
	WeightedOnTime, NonBulkOnTime float64
	// P50 to P999 are latency percentiles of urgent and normal calls, BulkP99 is
	// the p99 of bulk calls, in milliseconds.
	P50, P99, P999, BulkP99 float64
	// ExtraAttempts is the number of attempts beyond the first, per call.
	ExtraAttempts float64
	// Probes and Bytes are the cost of load probes per server and second.
	Probes, Bytes float64
	// Goodput is the number of calls answered by their deadline, per second.
	Goodput float64
	// Hist holds the latencies of urgent and normal calls, bulk those of bulk
	// calls, in microseconds.
	Hist, bulk *hdrhistogram.Histogram
}

const (
	// Each server is slowed down by noiseFactor for noiseDuration once per
	// noiseInterval on average.
	noiseFactor   = 5
	noiseDuration = 60 * time.Millisecond
	noiseInterval = 600 * time.Millisecond
	warmUp        = 3 * time.Second
	domains       = 3
)

// effectiveSpeed is the average speed of servers under noise as a fraction of
// full speed.
const effectiveSpeed = 1 - float64(noiseDuration)/float64(noiseInterval)*(1-1.0/noiseFactor)

// sim is the state of one simulation run.
type sim struct {
	trial   Trial
	now     time.Duration
	events  scheduler.EventQueue
	random  *rand.Rand
	servers []*server
	entries []*entry
	// serving holds the entries that callers send to.
	serving []*entry
	result  Result
	// totalWeight sums the weights of all calls, onTimeWeight those of the calls
	// answered by their deadline.
	totalWeight  float64
	onTimeWeight float64
	// nonBulk counts urgent and normal calls: all of them, and those answered by
	// their deadline.
	nonBulk [2]int
}

// epoch is the wall time at which virtual time starts.
var epoch = time.Unix(1e9, 0)

// clock returns the virtual time as a wall time.
func (s *sim) clock() time.Time { return epoch.Add(s.now) }

// after schedules an event after a delay.
func (s *sim) after(d time.Duration, do func()) {
	s.events.Add(s.now+d, do)
}

// delay returns the one-way network delay between two failure domains.
func (s *sim) delay(a, b int) time.Duration {
	if a == b {
		return s.trial.Shape.LocalDelay
	}
	return s.trial.Shape.RemoteDelay
}

// callKind describes one kind of the calls in the workload.
type callKind struct {
	class parser.Class
	// fraction is the fraction of calls that are of this kind.
	fraction float64
	// weight is the weight of a call in Result.WeightedOnTime.
	weight   float64
	deadline time.Duration
	// repeatable reports whether a call may run more than once.
	repeatable bool
}

var callKinds = []callKind{
	{parser.Urgent, 0.6, 5, 800 * time.Millisecond, true},
	{parser.Normal, 0.2, 10, 2 * time.Second, false},
	{parser.Bulk, 0.2, 0.5, 10 * time.Second, true},
}

// Run simulates one trial.
func Run(t Trial) Result {
	t.Tuning = t.Tuning.withDefaults(t.Shape)
	s := &sim{trial: t, random: rand.New(rand.NewPCG(t.Seed, 7))}
	s.result.Hist = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	s.result.bulk = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for i := range t.Shape.Servers {
		v := &server{sim: s, id: i, domain: i % domains, slots: t.Shape.Slots, noise: 1, slowdown: 1}
		s.servers = append(s.servers, v)
		s.scheduleNoise(v)
	}
	s.addEntries()
	if t.Faults {
		s.scheduleFaults()
	}
	rate := t.Utilization * effectiveSpeed * float64(t.Shape.Servers*t.Shape.Slots) / t.Shape.MeanWork.Seconds()
	s.scheduleArrival(rate)
	end := warmUp + t.Duration
	for at, do, ok := s.events.Next(); ok && at <= end+15*time.Second; at, do, ok = s.events.Next() {
		s.now = at
		do()
	}
	return s.summarize()
}

// scheduleNoise slows a server down for a while, repeatedly.
func (s *sim) scheduleNoise(v *server) {
	gap := time.Duration(s.random.ExpFloat64() * float64(noiseInterval-noiseDuration))
	s.after(gap, func() {
		v.update(func() { v.noise = noiseFactor })
		s.after(noiseDuration, func() {
			v.update(func() { v.noise = 1 })
			s.scheduleNoise(v)
		})
	})
}

// scheduleFaults schedules one fault after the other, each for a sixth of the
// trial, followed by a sixth without one.
func (s *sim) scheduleFaults() {
	step := s.trial.Duration / 6
	at := func(k int, do func()) { s.after(warmUp+time.Duration(k)*step, func() { do() }) }
	v := s.servers
	at(0, func() { v[1].update(func() { v[1].slowdown = 4 }) })
	at(1, func() { v[1].update(func() { v[1].slowdown = 1 }); v[2].failing = true })
	at(2, func() { v[2].failing = false; v[3].update(func() { v[3].slowdown = 5 }) })
	at(3, func() { v[3].update(func() { v[3].slowdown = 1 }); v[4].draining = true })
	at(4, func() {
		v[4].draining = false
		for _, x := range v {
			if x.domain == 2 {
				x.update(func() { x.down, x.running, x.queue = true, nil, nil })
			}
		}
	})
	at(5, func() {
		for _, x := range v {
			x.down = false
		}
	})
}

// addEntries creates the entries and determines which of them callers send to.
func (s *sim) addEntries() {
	t := s.trial
	var members []announcer.Member
	for i := range t.Shape.Entries {
		members = append(members, announcer.Member{Name: fmt.Sprintf("e%02d", i), Domain: fmt.Sprint(i % domains)})
	}
	ranked, n := resolver.Rank("/t/"+t.Shape.Name, members, t.subsetSize())
	for i, m := range members {
		e := &entry{sim: s, domain: i % domains, dispatcher: dispatcher.New(s.options())}
		e.budget = prober.NewBudget(t.Tuning.Probes*prober.BudgetFraction(0, n, len(members)), 4096)
		for _, v := range s.servers {
			name := fmt.Sprint("s", v.id)
			owned := resolver.Owner(name, ranked[:n]) == m.Name
			e.dispatcher.Add(name, fmt.Sprint(v.id), "", owned, false)
		}
		s.entries = append(s.entries, e)
		for _, f := range ranked[:n] {
			if f.Name == m.Name {
				s.serving = append(s.serving, e)
			}
		}
	}
	for _, e := range s.serving {
		e.probe()
	}
}

// subsetSize returns the number of entries that serve the service.
func (t Trial) subsetSize() int {
	switch t.Policy {
	case "product":
		return t.Tuning.Subset
	case "truth":
		return 1
	}
	return t.Shape.Entries
}

// unbounded is a limit that is never reached, so that baselines send calls at
// once.
const unbounded = 1 << 20

// options returns the options of the dispatcher of the next entry.
func (s *sim) options() dispatcher.Options {
	r := rand.New(rand.NewPCG(s.trial.Seed, uint64(len(s.entries))))
	o := dispatcher.Options{Slots: unbounded, QueueLimit: unbounded}
	switch s.trial.Policy {
	case "random":
		o.Policy = &picker.Random[*dispatcher.Server]{Rand: r}
	case "roundrobin":
		o.Policy = &picker.RoundRobin[*dispatcher.Server]{}
	case "twochoices":
		o.Policy = &picker.TwoChoices[*dispatcher.Server]{Rand: r}
	case "least":
		o.Policy = &picker.LeastInFlight[*dispatcher.Server]{Rand: r}
	case "report":
		o.Policy = &picker.LeastReported[*dispatcher.Server]{Rand: r}
	case "truth":
		o.Policy = &Oracle{sim: s}
	default:
		t := s.trial.Tuning
		o = dispatcher.Options{Slots: t.Slots, QueueLimit: t.Queue, HedgeRatio: t.Hedge, RetryRatio: 0.01}
	}
	return o
}

// Oracle picks by the actual state of every server.
type Oracle struct{ sim *sim }

// Pick implements picker.Policy. It picks the fastest healthy server with a free
// slot; attempts in transit count as taking one.
func (p *Oracle) Pick(r *picker.Request[*dispatcher.Server]) int {
	best := picker.None
	for i, v := range p.sim.servers {
		if v.down || v.failing || v.draining || v.load()+p.sim.inTransit(i) >= v.slots || r.Skip != nil && r.Skip(r.Servers[i]) {
			continue
		}
		if best == picker.None || v.noise*v.slowdown < p.sim.servers[best].noise*p.sim.servers[best].slowdown {
			best = i
		}
	}
	return best
}

// inTransit counts the attempts in transit to a server and their responses in
// transit from it.
func (s *sim) inTransit(i int) int {
	n := 0
	for _, e := range s.serving {
		n += e.dispatcher.Servers()[i].InFlight()
	}
	return max(0, n-s.servers[i].load())
}

// scheduleArrival schedules the calls as a Poisson process of the rate per second
// until the end of the trial.
func (s *sim) scheduleArrival(rate float64) {
	s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.now > warmUp+s.trial.Duration {
			return
		}
		s.submitCall()
		s.scheduleArrival(rate)
	})
}

// submitCall submits a call of a random kind and work to a random entry.
func (s *sim) submitCall() {
	k, x := callKinds[0], s.random.Float64()
	for _, v := range callKinds {
		if x -= v.fraction; x < 0 {
			k = v
			break
		}
	}
	sigma := s.trial.WorkSigma
	size := math.Exp(sigma*s.random.NormFloat64() - sigma*sigma/2)
	work := time.Duration(size * float64(s.trial.Shape.MeanWork))
	s.serving[s.random.IntN(len(s.serving))].submit(k, work)
}

// count records the outcome of a call.
func (s *sim) count(k callKind, startedAt time.Duration, answered, rejected bool) {
	if startedAt < warmUp {
		return
	}
	r := &s.result
	r.Calls++
	s.totalWeight += k.weight
	latency := s.now - startedAt
	onTime := answered && latency <= k.deadline
	if k.class != parser.Bulk {
		s.nonBulk[0]++
	}
	switch {
	case onTime:
		r.Answered++
		s.onTimeWeight += k.weight
		if k.class != parser.Bulk {
			s.nonBulk[1]++
		}
	case rejected:
		r.Rejected++
	default:
		r.Late++
	}
	hist := r.Hist
	if k.class == parser.Bulk {
		hist = r.bulk
	}
	if !rejected {
		_ = hist.RecordValue(max(1, latency.Microseconds()))
	}
}

// summarize computes the result of the trial.
func (s *sim) summarize() Result {
	r := s.result
	r.WeightedOnTime = s.onTimeWeight / s.totalWeight
	r.NonBulkOnTime = float64(s.nonBulk[1]) / float64(s.nonBulk[0])
	percentile := func(q float64) float64 { return float64(r.Hist.ValueAtQuantile(q)) / 1000 }
	r.P50, r.P99, r.P999 = percentile(50), percentile(99), percentile(99.9)
	r.BulkP99 = float64(r.bulk.ValueAtQuantile(99)) / 1000
	var calls, extra, probes int64
	for _, e := range s.serving {
		c := e.dispatcher.Counts()
		calls += c.Calls
		extra += c.Retries + c.Hedges
		probes += e.budget.Usage().Probes
		r.Bytes += float64(e.budget.Usage().Bytes)
	}
	serverSeconds := (warmUp + s.trial.Duration).Seconds() * float64(len(s.servers))
	r.ExtraAttempts = float64(extra) / float64(calls)
	r.Probes = float64(probes) / serverSeconds
	r.Bytes /= serverSeconds
	r.Goodput = float64(r.Answered) / s.trial.Duration.Seconds()
	return r
}
