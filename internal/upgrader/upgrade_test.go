package upgrader

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"poplarwind/platform/imitator"
)

var (
	oldProgram = flag.String("old", "", "`path` of the program of the production commit")
	newProgram = flag.String("new", "", "`path` of the present program")
	rounds     = flag.Int("rounds", 1, "`number` of upgrades of each kind, with consecutive seeds")
	firstSeed  = flag.Uint64("seed", 1, "`seed` of the first upgrade")
)

const (
	entries   = 5
	upstreams = 4
	rate      = 80
	// configLimit is the time in which a configuration must be in force everywhere.
	configLimit = 2 * time.Second
	// minServed is the fraction of requests that must be served while entries are replaced.
	minServed = 0.99
)

// upgrade is one upgrade of a fleet under load.
type upgrade struct {
	t      *testing.T
	fleet  *Fleet
	random *rand.Rand
}

// run runs steps under load and checks what callers and upstreams have seen.
func (u *upgrade) run(name string, minimum float64, steps func()) {
	u.t.Helper()
	l := NewLoad(u.fleet, rate)
	steps()
	served, all := 0, 0
	for _, r := range l.Stop() {
		u.check(r)
		if !r.Repeat {
			all++
			if r.Served {
				served++
			}
		}
	}
	u.t.Logf("%s: %d of %d requests served", name, served, all)
	if float64(served) < minimum*float64(all) {
		u.t.Errorf("%s: got: %d of %d requests served want: at least %v", name, served, all, minimum)
	}
}

// check checks one outcome.
func (u *upgrade) check(r Request) {
	u.t.Helper()
	if err := u.fleet.Check(r); err != nil {
		u.t.Error(err)
	}
}

func (u *upgrade) must(err error) {
	u.t.Helper()
	if err != nil {
		u.t.Fatal(err)
	}
}

// replaceAll replaces the entries one after the other, and waits each time until all see each
// other.
func (u *upgrade) replaceAll(s syscall.Signal, program string) {
	u.t.Helper()
	for _, i := range u.random.Perm(entries) {
		u.must(u.fleet.Replace(u.fleet.Entries()[i], s, program))
		u.must(u.fleet.Await())
	}
}

// replaceSome replaces the entries at some indexes.
func (u *upgrade) replaceSome(from, to int, program string) {
	u.t.Helper()
	for i := from; i < to; i++ {
		u.must(u.fleet.Replace(u.fleet.Entries()[i], syscall.SIGTERM, program))
		u.must(u.fleet.Await())
	}
}

// configure writes a configuration with a new route and checks that all entries serve it in
// time.
func (u *upgrade) configure() {
	u.t.Helper()
	path, written := u.fleet.Configure(), time.Now()
	for _, e := range u.fleet.Entries() {
		for {
			if code := u.get(e, path); code == fasthttp.StatusOK {
				break
			} else if time.Since(written) > configLimit {
				u.t.Errorf("%s: got: status %d after %v want: the new route", e.name, code, time.Since(written))
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// get sends a request to a path at one entry and returns the status.
func (u *upgrade) get(e *Entry, path string) int {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + e.Callers + path)
	req.Header.SetHost(host)
	req.UseHostHeader = true
	imitator.SetRequest(&req.Header, fmt.Sprint("c", u.random.Uint64()), time.Second)
	if err := fasthttp.DoTimeout(req, resp, time.Second); err != nil {
		u.t.Logf("%s: %v", e.name, err)
		return 0
	}
	return resp.StatusCode()
}

// startUpgrade starts a fleet whose entries run program, and skips the test without programs.
func startUpgrade(t *testing.T, seed uint64, program string) *upgrade {
	t.Helper()
	u := &upgrade{t: t, random: rand.New(rand.NewPCG(seed, 32))}
	var err error
	u.fleet, err = NewFleet(t.TempDir(), upstreams)
	u.must(err)
	t.Cleanup(u.fleet.Close)
	for range entries {
		_, err := u.fleet.AddEntry(program)
		u.must(err)
	}
	u.must(u.fleet.Await())
	return u
}

// eachSeed runs a test for each seed, and skips it without programs.
func eachSeed(t *testing.T, test func(t *testing.T, seed uint64)) {
	if *oldProgram == "" || *newProgram == "" {
		t.Skip("needs the programs of two builds; make upgrade builds and passes them")
	}
	for i := range *rounds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) { test(t, seed) })
	}
}

// TestUpgradeForwardAndBack replaces all entries of the old build by the new one, one after
// the other, back, and forward again, with a new configuration in the middle of each.
func TestUpgradeForwardAndBack(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		u := startUpgrade(t, seed, *oldProgram)
		for _, step := range []struct{ name, program string }{{"forward", *newProgram}, {"back", *oldProgram}, {"forward again", *newProgram}} {
			u.run(step.name, minServed, func() {
				u.replaceSome(0, 2, step.program)
				u.configure()
				u.replaceSome(2, entries, step.program)
				u.configure()
			})
		}
	})
}

// TestUpgradeStoppedHalfway stops an upgrade halfway, while upstreams state a rate limit and
// ask for pauses, the store is away, is restored from a copy, and entries are killed and
// frozen.
func TestUpgradeStoppedHalfway(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		u := startUpgrade(t, seed, *oldProgram)
		u.run("first half", minServed, func() { u.replaceSome(0, entries/2, *newProgram) })
		u.run("statements of upstreams", minServed, func() {
			u.fleet.Upstreams[0].SetLimit(5)
			u.fleet.Upstreams[1].SetPause(3, 1)
			time.Sleep(4 * time.Second)
			u.fleet.Upstreams[0].SetLimit(0)
			u.fleet.Upstreams[1].SetPause(0, 0)
		})
		backup := u.fleet.Store.Copy()
		u.run("store away and restored", minServed, func() {
			u.configure()
			u.fleet.Store.SetFaults(imitator.Faults{Status: fasthttp.StatusServiceUnavailable})
			time.Sleep(1500 * time.Millisecond)
			u.fleet.Store.SetFaults(imitator.Faults{})
			u.fleet.Store.Restore(backup)
			time.Sleep(time.Second)
			u.configure()
		})
		u.run("kills and freezes", 0.9, func() {
			frozen := u.fleet.Entries()[entries-1]
			u.must(frozen.Signal(syscall.SIGSTOP))
			u.must(u.fleet.Replace(u.fleet.Entries()[0], syscall.SIGKILL, *newProgram))
			u.must(u.fleet.Replace(u.fleet.Entries()[entries-2], syscall.SIGKILL, *oldProgram))
			time.Sleep(1500 * time.Millisecond)
			u.must(frozen.Signal(syscall.SIGCONT))
			u.must(u.fleet.Await())
		})
		u.run("second half", minServed, func() {
			u.replaceAll(syscall.SIGTERM, *newProgram)
			u.configure()
		})
	})
}
