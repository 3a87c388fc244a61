package placer

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"poplarwind/internal/scripter"
)

// interpreter executes the commands of a script on one fleet.
type interpreter struct {
	t           *testing.T
	fleet       Fleet
	now         time.Time
	serviceTime ServiceTime
	times       ResponseTimes
	// running holds the attempts at each upstream in the order of their start.
	running map[string][]*Attempt
}

func (p *interpreter) parseFloat(text string) float64 {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		p.t.Fatal(err)
	}
	return n
}

// asList returns a list that contains only u, or an empty one if u is nil.
func asList(u *Upstream) []*Upstream {
	if u == nil {
		return nil
	}
	return []*Upstream{u}
}

func joinIDs(list []*Upstream) string {
	var out []string
	for _, u := range list {
		out = append(out, u.ID())
	}
	return strings.Join(out, " ")
}

func (p *interpreter) run(args []string) string {
	f := &p.fleet
	u := f.Find(args[min(1, len(args)-1)])
	switch args[0] {
	case "put": // put id domain slots [draining|cold|restarted]
		s := Spec{ID: args[1], Service: "s", Addr: args[1], Domain: args[2], Slots: int(p.parseFloat(args[3]))}
		if len(args) > 4 {
			s.Draining = args[4] == "draining"
			if args[4] == "restarted" {
				s.StartedAt = 1
			}
			if args[4] == "cold" {
				s.Warmup = 3 * time.Second
			}
		}
		f.Put(p.now, s)
	case "remove":
		f.Remove(p.now, args[1])
	case "report": // report id running waiting slowness
		f.RecordReport(u, Report{Running: int(p.parseFloat(args[2])), Waiting: int(p.parseFloat(args[3])), Slowness: p.parseFloat(args[4]), At: p.now})
	case "limit": // limit id rate [age in milliseconds]
		return p.recordLimit(u, RateLimit{Rate: p.parseFloat(args[2]), Limited: true}, args[3:])
	case "lift": // lift id [age in milliseconds]
		return p.recordLimit(u, RateLimit{}, args[2:])
	case "peerlimit": // peerlimit id start rate, a report of another entry
		return fmt.Sprint(f.ApplyLimitReport(p.now, args[1], int64(p.parseFloat(args[2])), RateLimit{Rate: p.parseFloat(args[3]), Limited: true, At: p.now}) != nil)
	case "fraction": // fraction id fraction [entries]
		entries := 1
		if len(args) > 3 {
			entries = int(p.parseFloat(args[3]))
		}
		f.SetLimitFraction(p.now, u, p.parseFloat(args[2]), entries)
	case "unreported":
		return joinIDs(f.TakeUnreported(nil, p.now))
	case "leaving":
		return fmt.Sprint(f.RecordLeaving(u))
	case "peerleaving": // peerleaving id start, a report of another entry
		return fmt.Sprint(f.ApplyLeavingReport(args[1], int64(p.parseFloat(args[2]))) != nil)
	case "unreportedleaving":
		return joinIDs(f.TakeUnreportedLeaving(nil))
	case "pause": // pause id milliseconds
		return fmt.Sprint(f.RecordPause(p.now, u, time.Duration(p.parseFloat(args[2]))*time.Millisecond))
	case "pauseleft": // pauseleft, in tenths of a second
		left, paused := f.PauseLeft(p.now)
		if !paused {
			return "none"
		}
		return fmt.Sprint(int(left / (100 * time.Millisecond)))
	case "evacuate": // evacuate domains...
		domains := make(map[string]bool)
		for _, d := range args[1:] {
			domains[d] = true
		}
		return fmt.Sprint(f.SetEvacuated(p.now, domains))
	case "allevacuated":
		return fmt.Sprint(f.AllEvacuated())
	case "warmup": // warmup rate milliseconds
		f.SetWarmup(p.parseFloat(args[1]), time.Duration(p.parseFloat(args[2]))*time.Millisecond)
	case "warmupleft": // warmupleft id milliseconds [age of the probe in milliseconds], a response to a load probe
		sentAt := p.now
		if len(args) > 3 {
			sentAt = p.now.Add(-time.Duration(p.parseFloat(args[3])) * time.Millisecond)
		}
		return fmt.Sprint(f.RecordWarmup(p.now, u, time.Duration(p.parseFloat(args[2]))*time.Millisecond, sentAt))
	case "peerwarmup": // peerwarmup id start milliseconds [age in milliseconds], a report of another entry
		statedAt := p.now
		if len(args) > 4 {
			statedAt = p.now.Add(-time.Duration(p.parseFloat(args[4])) * time.Millisecond)
		}
		return fmt.Sprint(f.ApplyWarmupReport(p.now, args[1], int64(p.parseFloat(args[2])), time.Duration(p.parseFloat(args[3]))*time.Millisecond, statedAt) != nil)
	case "warmupfraction": // warmupfraction id fraction
		f.SetWarmupFraction(p.now, u, p.parseFloat(args[2]))
	case "unreportedwarmups":
		return joinIDs(f.TakeUnreportedWarmups(nil))
	case "cold":
		return joinIDs(f.Cold(nil, p.now))
	case "withheld":
		return fmt.Sprint(f.Withheld(p.now))
	case "limitedslots":
		return fmt.Sprintf("%.2f", f.LimitedSlots(p.now))
	case "advance": // advance milliseconds
		p.now = p.now.Add(time.Duration(p.parseFloat(args[1])) * time.Millisecond)
	case "probe": // probe local|remote n
		scope := map[string]Scope{"local": ScopeLocal, "remote": ScopeRemote}[args[1]]
		return joinIDs(f.SelectProbes(nil, p.now, int(p.parseFloat(args[2])), scope, nil))
	case "hedge": // hedge ids...
		var list []*Upstream
		for _, id := range args[1:] {
			list = append(list, f.Find(id))
		}
		if u := f.SelectHedge(p.now, list); u != nil {
			return u.ID()
		}
		return "none"
	case "lost": // lost id, the oldest request there
		a := p.running[args[1]][0]
		p.running[args[1]] = p.running[args[1]][1:]
		return fmt.Sprint(f.FinishLost(p.now, a))
	case "taken":
		return fmt.Sprintf("%.2f", f.TakenFraction(p.now))
	case "respond": // respond count milliseconds
		for range int(p.parseFloat(args[1])) {
			p.times.Record(time.Duration(p.parseFloat(args[2])) * time.Millisecond)
		}
	case "quantile": // quantile q, in milliseconds
		return fmt.Sprint(p.times.Quantile(p.parseFloat(args[1])).Milliseconds())
	case "tail": // tail milliseconds
		return fmt.Sprint(p.times.TailMedian(time.Duration(p.parseFloat(args[1])) * time.Millisecond).Milliseconds())
	case "best": // best ids...
		var list []*Upstream
		for _, id := range args[1:] {
			list = append(list, f.Find(id))
		}
		best := f.SelectBest(p.now, list)
		if best == nil {
			return "none"
		}
		if !f.LocalSuffices(p.now, best) {
			return best.ID() + " not enough"
		}
		return best.ID()
	case "unprobed":
		return joinIDs(asList(f.SelectUnprobed(p.now, nil)))
	case "fresh": // fresh [waiting]
		return joinIDs(asList(f.SelectFresh(p.now, len(args) > 1, nil)))
	case "start":
		p.running[args[1]] = append(p.running[args[1]], f.Start(p.now, u))
	case "finish": // finish id result
		for r := Answered; r <= Abandoned; r++ {
			if r.String() == args[2] {
				f.Finish(p.now, p.running[args[1]][0], r, &p.serviceTime)
			}
		}
		p.running[args[1]] = p.running[args[1]][1:]
	case "cost":
		return fmt.Sprintf("%.1f", f.Cost(p.now, u))
	case "shouldsend": // shouldsend id milliseconds until due
		due := p.now.Add(time.Duration(p.parseFloat(args[2])) * time.Millisecond)
		return fmt.Sprint(f.ShouldSend(p.now, u, &p.serviceTime, due))
	case "work":
		return p.serviceTime.Average().String()
	case "unanswered":
		f.RecordProbeFailure(p.now, u)
	case "usable":
		var out []*Upstream
		for _, u := range f.List() {
			if u.Usable(p.now) {
				out = append(out, u)
			}
		}
		return joinIDs(out)
	case "slots":
		return fmt.Sprint(f.Slots(p.now))
	case "proberate": // proberate probes per second
		f.ProbeRates = [Scopes]float64{p.parseFloat(args[1]), p.parseFloat(args[1])}
	default:
		return "unknown command"
	}
	return ""
}

// recordLimit records what a response states that was received some milliseconds ago.
func (p *interpreter) recordLimit(u *Upstream, stated RateLimit, age []string) string {
	stated.At = p.now
	if len(age) > 0 {
		stated.At = p.now.Add(-time.Duration(p.parseFloat(age[0])) * time.Millisecond)
	}
	return fmt.Sprint(p.fleet.RecordLimit(p.now, u, stated))
}

// TestFleet runs the scripts in testdata, each of which applies a load pattern to
// a fleet.
func TestFleet(t *testing.T) {
	scripter.Run(t, "testdata/*.txt", func(t *testing.T) func([]string) string {
		p := &interpreter{t: t, now: time.Unix(1000, 0), running: make(map[string][]*Attempt)}
		p.fleet.Domain = "a"
		p.fleet.Rand = rand.New(rand.NewPCG(1, 1))
		return p.run
	})
}

// TestResponseTimesAllocations checks that recording a response time and asking for a quantile
// allocate nothing: both are done for each request that may be hedged.
func TestResponseTimesAllocations(t *testing.T) {
	var times ResponseTimes
	n := testing.AllocsPerRun(1000, func() {
		times.Record(100 * time.Millisecond)
		times.Quantile(0.95)
		times.TailMedian(50 * time.Millisecond)
	})
	if n != 0 {
		t.Errorf("got: %v allocations want: 0", n)
	}
}
