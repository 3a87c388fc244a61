package soaker

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/internal/upgrader"
	"poplarwind/platform/imitator"
)

// Settings configures a Soak.
type Settings struct {
	// Program is the path of the daemon, and Folder where its files are written.
	Program, Folder string
	Seed            uint64
	// Entries and Upstreams are their numbers, and Rate the requests a second.
	Entries, Upstreams, Rate int
	// Length is how long faults come.
	Length time.Duration
	// Log receives the faults, with their time since the start.
	Log func(format string, args ...any)
}

// Report counts what callers saw.
type Report struct {
	// Sent and Served count requests while faults came, and CalmSent and CalmServed those
	// behind them.
	Sent, Served, CalmSent, CalmServed int
	Faults                             int
}

const (
	// maxPause is the longest pause between the beginnings of two faults.
	maxPause = 900 * time.Millisecond
	// minFault and maxFault bound the length of a fault.
	minFault, maxFault = 200 * time.Millisecond, 1800 * time.Millisecond
	// recovery is the time behind the last fault after which requests must be served, and calm
	// how long that is checked.
	recovery, calm = 6 * time.Second, 3 * time.Second
	// minCalm is the fraction of requests that must then be served.
	minCalm = 0.99
)

// ErrNotRecovered reports a fleet that does not serve requests when the faults have ended.
const ErrNotRecovered = errors.ConstError("requests are not served behind the faults")

// soak is a running soak.
type soak struct {
	Settings
	random  *rand.Rand
	fleet   *upgrader.Fleet
	proxies []*Proxy
	start   time.Time
	faults  sync.WaitGroup

	mu sync.Mutex
	// busy holds the indexes of the entries whose processes a fault concerns.
	busy map[int]bool
	// storeBusy is set while a fault concerns the store.
	storeBusy bool
	failed    error
}

// fault is a kind of fault. It begins at once and returns the function that ends it, nil if it did not
// begin.
type fault struct {
	name  string
	begin func(s *soak) (end func() error)
}

// faults returns all kinds of faults.
func faults() []fault {
	return []fault{
		{"stopped and started", func(s *soak) func() error { return s.replace(syscall.SIGTERM) }},
		{"killed", func(s *soak) func() error { return s.replace(syscall.SIGKILL) }},
		{"frozen", (*soak).freeze},
		{"network", (*soak).disturb},
		{"store away", func(s *soak) func() error {
			return s.storeFault(imitator.Faults{Status: fasthttp.StatusServiceUnavailable})
		}},
		{"store silent", func(s *soak) func() error { return s.storeFault(imitator.Faults{Hang: true}) }},
		{"store without sense", func(s *soak) func() error { return s.storeFault(imitator.Faults{InvalidJSON: true}) }},
		{"store restored", (*soak).restore},
		{"configuration", (*soak).configure},
		{"upstream limit", (*soak).limit},
		{"upstream pause", (*soak).pause},
		{"upstream leaving", (*soak).leave},
	}
}

// Run runs a soak. The error of a broken promise satisfies errors.Is(err, upgrader.ErrBroken).
func Run(settings Settings) (r Report, err error) {
	s := &soak{Settings: settings, random: rand.New(rand.NewPCG(settings.Seed, 19)), start: time.Now(), busy: make(map[int]bool)}
	if s.fleet, err = upgrader.NewFleet(s.Folder, s.Upstreams); err != nil {
		return r, err
	}
	defer s.fleet.Close()
	if err := s.open(); err != nil {
		return r, err
	}
	load := upgrader.NewLoad(s.fleet, s.Rate)
	r.Faults = s.play()
	s.faults.Wait()
	if r.Sent, r.Served, err = s.judge(load.Stop()); err != nil {
		return r, err
	}
	time.Sleep(recovery)
	load = upgrader.NewLoad(s.fleet, s.Rate)
	time.Sleep(calm)
	if r.CalmSent, r.CalmServed, err = s.judge(load.Stop()); err != nil {
		return r, err
	}
	if float64(r.CalmServed) < minCalm*float64(r.CalmSent) {
		return r, errors.Annotatef(ErrNotRecovered, "got: %d of %d requests served want: %v", r.CalmServed, r.CalmSent, minCalm)
	}
	return r, errors.Trace(s.failed)
}

// open starts the proxies and the entries.
func (s *soak) open() error {
	for i := range s.Upstreams {
		err := s.fleet.Interpose(i, func(target string) func(net.Listener) {
			p := NewProxy(target)
			s.proxies = append(s.proxies, p)
			return p.Serve
		})
		if err != nil {
			return err
		}
	}
	for range s.Entries {
		if _, err := s.fleet.AddEntry(s.Program); err != nil {
			return err
		}
	}
	return s.fleet.Await()
}

// play begins faults until the time is over, and returns their number.
func (s *soak) play() int {
	kinds, n := faults(), 0
	for begun := time.Now(); time.Since(begun) < s.Length; n++ {
		f, length := kinds[s.random.IntN(len(kinds))], minFault+time.Duration(s.random.Int64N(int64(maxFault-minFault)))
		if end := f.begin(s); end != nil {
			s.Log("%6.2f %s for %v", time.Since(s.start).Seconds(), f.name, length)
			s.faults.Go(func() {
				time.Sleep(length)
				s.fail(end())
			})
		}
		time.Sleep(time.Duration(s.random.Int64N(int64(maxPause))))
	}
	return n
}

// fail keeps the first error.
func (s *soak) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed == nil {
		s.failed = err
	}
}

// judge checks the outcomes of requests, and counts those that were sent and served.
func (s *soak) judge(requests []upgrader.Request) (sent, served int, err error) {
	for _, r := range requests {
		if err := s.fleet.Check(r); err != nil {
			return sent, served, err
		}
		if r.Repeat {
			continue
		}
		sent++
		if r.Served {
			served++
		}
	}
	return sent, served, nil
}

// take returns an entry that no other fault concerns, nil if there is none, and the function that
// gives it back.
func (s *soak) take() (e *upgrader.Entry, giveBack func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// One entry at least is left alone.
	if len(s.busy) >= s.Entries-1 {
		return nil, nil
	}
	i := s.random.IntN(s.Entries)
	if s.busy[i] {
		return nil, nil
	}
	s.busy[i] = true
	return s.fleet.Entries()[i], func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.busy, i)
	}
}

// replace ends the process of an entry by a signal, and starts it again.
func (s *soak) replace(signal syscall.Signal) func() error {
	e, giveBack := s.take()
	if e == nil {
		return nil
	}
	return func() error {
		defer giveBack()
		return s.fleet.Replace(e, signal, s.Program)
	}
}

// freeze stops an entry for a while.
func (s *soak) freeze() func() error {
	e, giveBack := s.take()
	if e == nil {
		return nil
	}
	s.fail(e.Signal(syscall.SIGSTOP))
	return func() error {
		defer giveBack()
		return e.Signal(syscall.SIGCONT)
	}
}

// disturb disturbs the network between all entries and one upstream.
func (s *soak) disturb() func() error {
	p, m := s.proxies[s.random.IntN(len(s.proxies))], Mode(1+s.random.IntN(int(modes)-1))
	if p.Mode() != Pass {
		return nil
	}
	p.SetMode(m)
	return func() error {
		p.SetMode(Pass)
		return nil
	}
}

// takeStore reports whether no other fault concerns the store, which this one then does.
func (s *soak) takeStore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := !s.storeBusy
	s.storeBusy = true
	return taken
}

func (s *soak) giveStoreBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeBusy = false
}

// storeFault injects faults into the store.
func (s *soak) storeFault(f imitator.Faults) func() error {
	if !s.takeStore() {
		return nil
	}
	s.fleet.Store.SetFaults(f)
	return func() error {
		defer s.giveStoreBack()
		s.fleet.Store.SetFaults(imitator.Faults{})
		return nil
	}
}

// restore has the store come back from a copy. What the operator wrote since is written again.
func (s *soak) restore() func() error {
	if !s.takeStore() {
		return nil
	}
	backup := s.fleet.Store.Copy()
	return func() error {
		defer s.giveStoreBack()
		s.fleet.Store.SetFaults(imitator.Faults{Status: fasthttp.StatusServiceUnavailable})
		time.Sleep(minFault)
		s.fleet.Store.Restore(backup)
		s.fleet.Store.SetFaults(imitator.Faults{})
		s.fleet.Configure()
		return nil
	}
}

// configure changes the configuration twice.
func (s *soak) configure() func() error {
	if !s.takeStore() {
		return nil
	}
	s.fleet.Configure()
	return func() error {
		defer s.giveStoreBack()
		s.fleet.Configure()
		return nil
	}
}

// upstream returns any upstream.
func (s *soak) upstream() *imitator.CountingUpstream {
	return s.fleet.Upstreams[s.random.IntN(len(s.fleet.Upstreams))]
}

// limit has an upstream state a rate limit.
func (s *soak) limit() func() error {
	u := s.upstream()
	u.SetLimit(float64(1 + s.random.IntN(20)))
	return func() error {
		u.SetLimit(0)
		return nil
	}
}

// pause has an upstream ask for pauses.
func (s *soak) pause() func() error {
	u := s.upstream()
	u.SetPause(1+s.random.IntN(4), 0.5)
	return func() error {
		u.SetPause(0, 0)
		return nil
	}
}

// leave has an upstream say that it leaves, and be replaced by one at the same address.
func (s *soak) leave() func() error {
	u := s.upstream()
	u.SetLeaving(true)
	return func() error {
		u.SetLeaving(false)
		return nil
	}
}

// String returns the settings that tell runs apart.
func (s Settings) String() string {
	return fmt.Sprintf("seed %d, %d entries, %d upstreams, %d requests a second, %v", s.Seed, s.Entries, s.Upstreams, s.Rate, s.Length)
}
