// Poplarbench measures routing policies in virtual time and prints a table of
// medians over three seeds; the columns ± hold half the range over the seeds.
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

// row is one row of the table: a trial run with every seed.
type row struct {
	trial   bencher.Trial
	results [seeds]bencher.Result
}

func main() {
	duration := flag.Duration("for", 30*time.Second, "virtual time of a trial")
	sigma := flag.Float64("spread", 0.5, "sigma of the log-normal distribution of work")
	utilizations := flag.String("use", "0.5,0.7,0.85,0.95,1.2", "parts of what the servers can do, by comma")
	policies := flag.String("policies", strings.Join(bencher.Policies, ","), "policies, by comma")
	svg := flag.String("svg", "", "`file` for a plot of p99 by use")
	var tuning bencher.Tuning
	flag.IntVar(&tuning.Subset, "subset", 0, "entries that carry a service, 0 for 2")
	flag.Float64Var(&tuning.Hedge, "hedge", 0, "share of calls that may be hedged, 0 for 0.04, -1 for none")
	flag.IntVar(&tuning.Slots, "slots", 0, "what settings say of a server's slots, 0 for the truth")
	flag.IntVar(&tuning.Queue, "queue", 0, "calls that may wait at an entry, 0 for 512")
	flag.Float64Var(&tuning.Probes, "probes", 0, "probes a second, 0 for 2, -1 for none")
	flag.Parse()
	var rows []*row
	for _, shape := range []bencher.Shape{bencher.Coastline, bencher.Kalame} {
		for _, faults := range []bool{false, true} {
			for utilization := range strings.SplitSeq(*utilizations, ",") {
				for policy := range strings.SplitSeq(*policies, ",") {
					r := &row{trial: bencher.Trial{Shape: shape, Policy: policy, WorkSigma: *sigma, Faults: faults, Duration: *duration, Tuning: tuning}}
					if _, err := fmt.Sscan(utilization, &r.trial.Utilization); err != nil {
						fmt.Fprintln(os.Stderr, "poplarbench: -use:", err)
						os.Exit(2)
					}
					rows = append(rows, r)
				}
			}
		}
	}
	run(rows)
	printTable(rows)
	if *svg != "" {
		if err := plotP99(*svg, rows); err != nil {
			fmt.Fprintln(os.Stderr, "poplarbench:", err)
			os.Exit(1)
		}
	}
}

// run runs every trial with every seed. It leaves two of the machine's CPUs
// free, if there are that many.
func run(rows []*row) {
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, max(1, runtime.NumCPU()-2))
	for _, r := range rows {
		for i := range seeds {
			wg.Go(func() {
				semaphore <- struct{}{}
				t := r.trial
				t.Seed = uint64(i + 1)
				r.results[i] = bencher.Run(t)
				<-semaphore
			})
		}
	}
	wg.Wait()
}

// median returns the median of a metric over the seeds and half its range.
func (r *row) median(metric func(bencher.Result) float64) (median, halfRange float64) {
	v := make([]float64, 0, seeds)
	for _, res := range r.results {
		v = append(v, metric(res))
	}
	slices.Sort(v)
	return v[seeds/2], (v[seeds-1] - v[0]) / 2
}

func printTable(rows []*row) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "shape\tfaults\tuse\tpolicy\tp50\tp99\t±\tp99.9\t±\tbulk p99\tprime on time\tweighted\textra\tprobes/s\tbytes/s\tanswers/s\t")
	for _, r := range rows {
		m := func(metric func(bencher.Result) float64) float64 { v, _ := r.median(metric); return v }
		p99, p99HalfRange := r.median(func(res bencher.Result) float64 { return res.P99 })
		p999, p999HalfRange := r.median(func(res bencher.Result) float64 { return res.P999 })
		fmt.Fprintf(w, "%s\t%v\t%.2f\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f\t%.4f\t%.4f\t%.4f\t%.3f\t%.1f\t%.0f\t\n",
			r.trial.Shape.Name, r.trial.Faults, r.trial.Utilization, r.trial.Policy,
			m(func(res bencher.Result) float64 { return res.P50 }), p99, p99HalfRange, p999, p999HalfRange,
			m(func(res bencher.Result) float64 { return res.BulkP99 }), m(func(res bencher.Result) float64 { return res.NonBulkOnTime }),
			m(func(res bencher.Result) float64 { return res.WeightedOnTime }), m(func(res bencher.Result) float64 { return res.ExtraAttempts }),
			m(func(res bencher.Result) float64 { return res.Probes }), m(func(res bencher.Result) float64 { return res.Bytes }),
			m(func(res bencher.Result) float64 { return res.Goodput }))
	}
	_ = w.Flush()
}

// plotP99 plots the p99 of the first shape without faults, by utilization up
// to 1.
func plotP99(path string, rows []*row) error {
	var series []plotter.Series
	for _, r := range rows {
		t := r.trial
		if t.Shape.Name != rows[0].trial.Shape.Name || t.Faults || t.Utilization > 1 {
			continue
		}
		i := slices.IndexFunc(series, func(s plotter.Series) bool { return s.Name == t.Policy })
		if i < 0 {
			i = len(series)
			series = append(series, plotter.Series{Name: t.Policy})
		}
		p99, _ := r.median(func(res bencher.Result) float64 { return res.P99 })
		series[i].X = append(series[i].X, t.Utilization)
		series[i].Y = append(series[i].Y, p99)
	}
	return plotter.Draw(path, "p99 of urgent and normal calls, "+rows[0].trial.Shape.Name, "use", "ms", series)
}
