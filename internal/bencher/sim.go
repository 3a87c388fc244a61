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

// Shape is a deployment.
type Shape struct {
	Name           string
	Servers, Slots int
	Entries        int
	Mean           time.Duration
	// Near and Far are one-way delays within a failure domain and across.
	Near, Far time.Duration
}

// The shapes of the users' services of today.
var (
	Coastline = Shape{Name: "coastline", Servers: 13, Slots: 3, Entries: 17, Mean: 20 * time.Millisecond, Near: 100 * time.Microsecond, Far: 1500 * time.Microsecond}
	Kalame    = Shape{Name: "kalame", Servers: 14, Slots: 6, Entries: 17, Mean: 20 * time.Millisecond, Near: 100 * time.Microsecond, Far: 500 * time.Microsecond}
)

// Trial is one run.
type Trial struct {
	Shape  Shape
	Policy string
	// Use is the part of what the servers can do, noise taken off.
	Use float64
	// Spread is the sigma of the log-normal distribution of work.
	Spread float64
	Seed   uint64
	// Faults adds a straggler, a fast failer, a cold start, a drain and the
	// loss of a failure domain's servers.
	Faults bool
	For    time.Duration
	// Tuning is of the product's policy.
	Tuning Tuning
}

// Tuning holds settings of a service under the product's policy. Its zero
// value is what the tables of the pages are measured with.
type Tuning struct {
	// Subset is how many entries carry the service, 0 meaning 2.
	Subset int
	// Hedge is the share of calls that may be hedged, 0 meaning 0.04 and a
	// negative one none.
	Hedge float64
	// Slots is what settings say of a server's slots, 0 meaning the truth.
	Slots int
	// Queue is how many calls may wait at an entry, 0 meaning 512.
	Queue int
	// Probes is the budget of probes a second, 0 meaning 2 and a negative one
	// none.
	Probes float64
}

func (t Tuning) fill(s Shape) Tuning {
	t.Subset = cmp.Or(t.Subset, 2)
	t.Hedge = max(0, cmp.Or(t.Hedge, 0.04))
	t.Slots = cmp.Or(t.Slots, s.Slots)
	t.Queue = cmp.Or(t.Queue, 512)
	t.Probes = max(0, cmp.Or(t.Probes, 2))
	return t
}

// Policies are the names that Trial takes, baselines first.
var Policies = []string{"random", "roundrobin", "twochoices", "least", "report", "product", "truth"}

// Result is what a trial measured.
type Result struct {
	Calls, Answered, Refused, Late int
	// OnTime is the weighted share in time; Prime that of urgent and normal
	// calls, by number.
	OnTime, Prime float64
	// P50 to P999 are of urgent and normal calls, Bulk99 of bulk ones, in
	// milliseconds.
	P50, P99, P999, Bulk99 float64
	// Extra is the share of attempts beyond the first.
	Extra float64
	// Probes and Bytes are per server and second.
	Probes, Bytes float64
	// Rate is answers in time a second.
	Rate float64
	// Hist holds latencies of urgent and normal calls in microseconds.
	Hist, bulk *hdrhistogram.Histogram
}

const (
	noiseFactor = 5
	noiseFor    = 60 * time.Millisecond
	noiseEvery  = 600 * time.Millisecond
	warmUp      = 3 * time.Second
	domains     = 3
)

// effective is the part of their speed that servers keep under noise.
const effective = 1 - float64(noiseFor)/float64(noiseEvery)*(1-1.0/noiseFactor)

type sim struct {
	trial   Trial
	now     time.Duration
	agenda  scheduler.Queue
	random  *rand.Rand
	servers []*server
	entries []*entry
	// front are the entries that callers use.
	front  []*entry
	result Result
	wanted float64
	got    float64
	prime  [2]int
}

var epoch = time.Unix(1e9, 0)

func (s *sim) clock() time.Time { return epoch.Add(s.now) }

func (s *sim) after(d time.Duration, do func()) {
	s.agenda.Add(s.now+d, do)
}

func (s *sim) delay(a, b int) time.Duration {
	if a == b {
		return s.trial.Shape.Near
	}
	return s.trial.Shape.Far
}

// kind is a sort of call.
type kind struct {
	class    parser.Class
	share    float64
	weight   float64
	deadline time.Duration
	repeat   bool
}

var kinds = []kind{
	{parser.Urgent, 0.6, 5, 800 * time.Millisecond, true},
	{parser.Normal, 0.2, 10, 2 * time.Second, false},
	{parser.Bulk, 0.2, 0.5, 10 * time.Second, true},
}

// Run plays one trial.
func Run(t Trial) Result {
	t.Tuning = t.Tuning.fill(t.Shape)
	s := &sim{trial: t, random: rand.New(rand.NewPCG(t.Seed, 7))}
	s.result.Hist = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	s.result.bulk = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for i := range t.Shape.Servers {
		v := &server{sim: s, id: i, domain: i % domains, slots: t.Shape.Slots, factor: 1, steady: 1}
		s.servers = append(s.servers, v)
		s.noise(v)
	}
	s.open()
	if t.Faults {
		s.faults()
	}
	rate := t.Use * effective * float64(t.Shape.Servers*t.Shape.Slots) / t.Shape.Mean.Seconds()
	s.arrive(rate)
	end := warmUp + t.For
	for at, do, ok := s.agenda.Next(); ok && at <= end+15*time.Second; at, do, ok = s.agenda.Next() {
		s.now = at
		do()
	}
	return s.close()
}

// noise slows a server for a while, time and again.
func (s *sim) noise(v *server) {
	gap := time.Duration(s.random.ExpFloat64() * float64(noiseEvery-noiseFor))
	s.after(gap, func() {
		v.change(func() { v.factor = noiseFactor })
		s.after(noiseFor, func() {
			v.change(func() { v.factor = 1 })
			s.noise(v)
		})
	})
}

// faults plans what goes wrong beyond noise, each for a part of the trial.
func (s *sim) faults() {
	part := s.trial.For / 6
	at := func(k int, do func()) { s.after(warmUp+time.Duration(k)*part, func() { do() }) }
	v := s.servers
	at(0, func() { v[1].change(func() { v[1].steady = 4 }) })
	at(1, func() { v[1].change(func() { v[1].steady = 1 }); v[2].failing = true })
	at(2, func() { v[2].failing = false; v[3].change(func() { v[3].steady = 5 }) })
	at(3, func() { v[3].change(func() { v[3].steady = 1 }); v[4].leave = true })
	at(4, func() {
		v[4].leave = false
		for _, x := range v {
			if x.domain == 2 {
				x.change(func() { x.gone, x.running, x.queue = true, nil, nil })
			}
		}
	})
	at(5, func() {
		for _, x := range v {
			x.gone = false
		}
	})
}

// open sets up the entries and which of them callers use.
func (s *sim) open() {
	t := s.trial
	var members []announcer.Member
	for i := range t.Shape.Entries {
		members = append(members, announcer.Member{Name: fmt.Sprintf("e%02d", i), Domain: fmt.Sprint(i % domains)})
	}
	subset, n := resolver.Rank("/t/"+t.Shape.Name, members, t.subset())
	for i, m := range members {
		e := &entry{sim: s, domain: i % domains, dispatch: dispatcher.New(s.options())}
		e.budget = prober.NewBudget(t.Tuning.Probes*prober.Part(0, n, len(members)), 4096)
		for _, v := range s.servers {
			name := fmt.Sprint("s", v.id)
			home := resolver.Owner(name, subset[:n]) == m.Name
			e.dispatch.Add(name, fmt.Sprint(v.id), "", home, false)
		}
		s.entries = append(s.entries, e)
		for _, f := range subset[:n] {
			if f.Name == m.Name {
				s.front = append(s.front, e)
			}
		}
	}
	for _, e := range s.front {
		e.probe()
	}
}

// subset is how many entries carry the service.
func (t Trial) subset() int {
	switch t.Policy {
	case "product":
		return t.Tuning.Subset
	case "truth":
		return 1
	}
	return t.Shape.Entries
}

// unbounded is a limit that is never reached: baselines send at once.
const unbounded = 1 << 20

func (s *sim) options() dispatcher.Options {
	r := rand.New(rand.NewPCG(s.trial.Seed, uint64(len(s.entries))))
	o := dispatcher.Options{Slots: unbounded, Queue: unbounded}
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
		o.Policy = &picker.FreshestReport[*dispatcher.Server]{Rand: r}
	case "truth":
		o.Policy = &Truth{sim: s}
	default:
		t := s.trial.Tuning
		o = dispatcher.Options{Slots: t.Slots, Queue: t.Queue, Hedge: t.Hedge, Retry: 0.01}
	}
	return o
}

// Truth picks by every server's true state.
type Truth struct{ sim *sim }

// Pick implements picker.Policy. It takes the fastest server with a free slot.
func (p *Truth) Pick(r *picker.Request[*dispatcher.Server]) int {
	best := picker.None
	for i, v := range p.sim.servers {
		if v.gone || v.failing || v.leave || v.load()+p.sim.coming(i) >= v.slots || r.Skip != nil && r.Skip(r.Servers[i]) {
			continue
		}
		if best == picker.None || v.factor*v.steady < p.sim.servers[best].factor*p.sim.servers[best].steady {
			best = i
		}
	}
	return best
}

// coming counts attempts on their way to a server.
func (s *sim) coming(i int) int {
	n := 0
	for _, e := range s.front {
		n += e.dispatch.Servers()[i].Own()
	}
	return max(0, n-s.servers[i].load())
}

func (s *sim) arrive(rate float64) {
	s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.now > warmUp+s.trial.For {
			return
		}
		s.start()
		s.arrive(rate)
	})
}

func (s *sim) start() {
	k, x := kinds[0], s.random.Float64()
	for _, v := range kinds {
		if x -= v.share; x < 0 {
			k = v
			break
		}
	}
	sigma := s.trial.Spread
	size := math.Exp(sigma*s.random.NormFloat64() - sigma*sigma/2)
	work := time.Duration(size * float64(s.trial.Shape.Mean))
	s.front[s.random.IntN(len(s.front))].submit(k, work)
}

// count takes in the end of a call.
func (s *sim) count(k kind, began time.Duration, answered, refused bool) {
	if began < warmUp {
		return
	}
	r := &s.result
	r.Calls++
	s.wanted += k.weight
	took := s.now - began
	inTime := answered && took <= k.deadline
	if k.class != parser.Bulk {
		s.prime[0]++
	}
	switch {
	case inTime:
		r.Answered++
		s.got += k.weight
		if k.class != parser.Bulk {
			s.prime[1]++
		}
	case refused:
		r.Refused++
	default:
		r.Late++
	}
	hist := r.Hist
	if k.class == parser.Bulk {
		hist = r.bulk
	}
	if !refused {
		_ = hist.RecordValue(max(1, took.Microseconds()))
	}
}

func (s *sim) close() Result {
	r := s.result
	r.OnTime = s.got / s.wanted
	r.Prime = float64(s.prime[1]) / float64(s.prime[0])
	at := func(q float64) float64 { return float64(r.Hist.ValueAtQuantile(q)) / 1000 }
	r.P50, r.P99, r.P999 = at(50), at(99), at(99.9)
	r.Bulk99 = float64(r.bulk.ValueAtQuantile(99)) / 1000
	var calls, extra, probes int64
	for _, e := range s.front {
		c := e.dispatch.Counts()
		calls += c.Calls
		extra += c.Retries + c.Hedges
		probes += e.budget.Spent().Probes
		r.Bytes += float64(e.budget.Spent().Bytes)
	}
	span := (warmUp + s.trial.For).Seconds() * float64(len(s.servers))
	r.Extra = float64(extra) / float64(calls)
	r.Probes = float64(probes) / span
	r.Bytes /= span
	r.Rate = float64(r.Answered) / s.trial.For.Seconds()
	return r
}
