// Poplarbench measures routing policies in virtual time and prints a table:
// the median of three seeds, and the spread between the least and the most.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"poplarwind/internal/bencher"
	"poplarwind/internal/plotter"
)

const seeds = 3

// cell is one line of the table: a trial at all seeds.
type cell struct {
	trial   bencher.Trial
	results [seeds]bencher.Result
}

func main() {
	span := flag.Duration("for", 30*time.Second, "virtual time of a trial")
	spread := flag.Float64("spread", 0.5, "sigma of the log-normal distribution of work")
	uses := flag.String("use", "0.5,0.7,0.85,0.95,1.2", "parts of what the servers can do, by comma")
	policies := flag.String("policies", strings.Join(bencher.Policies, ","), "policies, by comma")
	svg := flag.String("svg", "", "`file` for a plot of p99 by use")
	var tuning bencher.Tuning
	flag.IntVar(&tuning.Subset, "subset", 0, "entries that carry a service, 0 for 2")
	flag.Float64Var(&tuning.Hedge, "hedge", 0, "share of calls that may be hedged, 0 for 0.04, -1 for none")
	flag.IntVar(&tuning.Slots, "slots", 0, "what settings say of a server's slots, 0 for the truth")
	flag.IntVar(&tuning.Queue, "queue", 0, "calls that may wait at an entry, 0 for 512")
	flag.Float64Var(&tuning.Probes, "probes", 0, "probes a second, 0 for 2, -1 for none")
	flag.Parse()
	var cells []*cell
	for _, s := range []bencher.Shape{bencher.Coastline, bencher.Kalame} {
		for _, faults := range []bool{false, true} {
			for u := range strings.SplitSeq(*uses, ",") {
				for p := range strings.SplitSeq(*policies, ",") {
					c := &cell{trial: bencher.Trial{Shape: s, Policy: p, Spread: *spread, Faults: faults, For: *span, Tuning: tuning}}
					if _, err := fmt.Sscan(u, &c.trial.Use); err != nil {
						fmt.Fprintln(os.Stderr, "poplarbench: -use:", err)
						os.Exit(2)
					}
					cells = append(cells, c)
				}
			}
		}
	}
	run(cells)
	table(cells)
	if *svg != "" {
		if err := draw(*svg, cells); err != nil {
			fmt.Fprintln(os.Stderr, "poplarbench:", err)
			os.Exit(1)
		}
	}
}

func run(cells []*cell) {
	var wg sync.WaitGroup
	room := make(chan struct{}, max(1, runtime.NumCPU()-2))
	for _, c := range cells {
		for i := range seeds {
			wg.Go(func() {
				room <- struct{}{}
				t := c.trial
				t.Seed = uint64(i + 1)
				c.results[i] = bencher.Run(t)
				<-room
			})
		}
	}
	wg.Wait()
}

// median returns the middle value and half the distance of the outer ones.
func (c *cell) median(of func(bencher.Result) float64) (middle, spread float64) {
	v := make([]float64, 0, seeds)
	for _, r := range c.results {
		v = append(v, of(r))
	}
	slices.Sort(v)
	return v[seeds/2], (v[seeds-1] - v[0]) / 2
}

func table(cells []*cell) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "shape\tfaults\tuse\tpolicy\tp50\tp99\t±\tp99.9\t±\tbulk p99\tprime on time\tweighted\textra\tprobes/s\tbytes/s\tanswers/s\t")
	for _, c := range cells {
		m := func(of func(bencher.Result) float64) float64 { v, _ := c.median(of); return v }
		p99, s99 := c.median(func(r bencher.Result) float64 { return r.P99 })
		p999, s999 := c.median(func(r bencher.Result) float64 { return r.P999 })
		fmt.Fprintf(w, "%s\t%v\t%.2f\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f\t%.4f\t%.4f\t%.4f\t%.3f\t%.1f\t%.0f\t\n",
			c.trial.Shape.Name, c.trial.Faults, c.trial.Use, c.trial.Policy,
			m(func(r bencher.Result) float64 { return r.P50 }), p99, s99, p999, s999,
			m(func(r bencher.Result) float64 { return r.Bulk99 }), m(func(r bencher.Result) float64 { return r.Prime }),
			m(func(r bencher.Result) float64 { return r.OnTime }), m(func(r bencher.Result) float64 { return r.Extra }),
			m(func(r bencher.Result) float64 { return r.Probes }), m(func(r bencher.Result) float64 { return r.Bytes }),
			m(func(r bencher.Result) float64 { return r.Rate }))
	}
	_ = w.Flush()
}

// draw plots the p99 of the first shape without faults, up to full use.
func draw(path string, cells []*cell) error {
	var lines []plotter.Line
	for _, c := range cells {
		t := c.trial
		if t.Shape.Name != cells[0].trial.Shape.Name || t.Faults || t.Use > 1 {
			continue
		}
		i := slices.IndexFunc(lines, func(l plotter.Line) bool { return l.Name == t.Policy })
		if i < 0 {
			i = len(lines)
			lines = append(lines, plotter.Line{Name: t.Policy})
		}
		p99, _ := c.median(func(r bencher.Result) float64 { return r.P99 })
		lines[i].X = append(lines[i].X, t.Use)
		lines[i].Y = append(lines[i].Y, p99)
	}
	return plotter.Draw(path, "p99 of urgent and normal calls, "+cells[0].trial.Shape.Name, "use", "ms", lines)
}
