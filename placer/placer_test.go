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

// player carries out the commands of a script on one fleet.
type player struct {
	t     *testing.T
	fleet Fleet
	now   time.Time
	work  Work
	// running holds the attempts of each upstream, the first started first.
	running map[string][]*Attempt
}

func (p *player) number(text string) float64 {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		p.t.Fatal(err)
	}
	return n
}

func known(u *Upstream) []*Upstream {
	if u == nil {
		return nil
	}
	return []*Upstream{u}
}

func names(list []*Upstream) string {
	var out []string
	for _, u := range list {
		out = append(out, u.ID())
	}
	return strings.Join(out, " ")
}

func (p *player) do(args []string) string {
	f := &p.fleet
	u := f.Find(args[min(1, len(args)-1)])
	switch args[0] {
	case "put": // put id domain slots [leaving|cold]
		s := Spec{ID: args[1], Service: "s", Addr: args[1], Domain: args[2], Slots: int(p.number(args[3]))}
		if len(args) > 4 {
			s.Leaving = args[4] == "leaving"
			if args[4] == "cold" {
				s.Warmup = 3 * time.Second
			}
		}
		f.Put(p.now, s)
	case "remove":
		f.Remove(args[1])
	case "hear": // hear id running waiting slowness
		f.Hear(u, Report{Running: int(p.number(args[2])), Waiting: int(p.number(args[3])), Slowness: p.number(args[4]), At: p.now})
	case "pass": // pass milliseconds
		p.now = p.now.Add(time.Duration(p.number(args[1])) * time.Millisecond)
	case "ask": // ask near|far n
		scope := map[string]Scope{"near": Near, "far": Far}[args[1]]
		return names(f.Ask(nil, p.now, int(p.number(args[2])), scope, nil))
	case "best": // best ids...
		var list []*Upstream
		for _, id := range args[1:] {
			list = append(list, f.Find(id))
		}
		best := f.Best(p.now, list)
		if best == nil {
			return "none"
		}
		if !f.Enough(p.now, best) {
			return best.ID() + " not enough"
		}
		return best.ID()
	case "guess":
		return names(known(f.Guess(p.now, nil)))
	case "fresh":
		return names(known(f.Fresh(p.now, len(args) > 1, nil)))
	case "start":
		p.running[args[1]] = append(p.running[args[1]], f.Start(p.now, u))
	case "finish": // finish id result
		for r := Answered; r <= Dropped; r++ {
			if r.String() == args[2] {
				f.Finish(p.now, p.running[args[1]][0], r, &p.work)
			}
		}
		p.running[args[1]] = p.running[args[1]][1:]
	case "cost":
		return fmt.Sprintf("%.1f", f.Cost(p.now, u))
	case "worth": // worth id milliseconds until due
		due := p.now.Add(time.Duration(p.number(args[2])) * time.Millisecond)
		return fmt.Sprint(f.Worth(p.now, u, &p.work, due))
	case "work":
		return p.work.Usual().String()
	case "silent":
		f.Silent(p.now, u)
	case "usable":
		var out []*Upstream
		for _, u := range f.List() {
			if u.Usable(p.now) {
				out = append(out, u)
			}
		}
		return names(out)
	case "slots":
		return fmt.Sprint(f.Slots(p.now))
	case "probes":
		f.Probes = [Scopes]float64{p.number(args[1]), p.number(args[1])}
	default:
		return "unknown command"
	}
	return ""
}

// TestFleet runs the scripts of load patterns.
func TestFleet(t *testing.T) {
	scripter.Run(t, "testdata/*.txt", func(t *testing.T) func([]string) string {
		p := &player{t: t, now: time.Unix(1000, 0), running: make(map[string][]*Attempt)}
		p.fleet.Domain = "a"
		p.fleet.Rand = rand.New(rand.NewPCG(1, 1))
		return p.do
	})
}
