// Poplarfake runs the fakes that tests and the demo use: a platform, a server,
// and a load generator. It also measures the latency that an entry adds.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"poplarwind/internal/faker"
	"poplarwind/internal/plotter"
)

const exitUsage = 2

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) == 0 {
		fmt.Fprintln(os.Stderr, "usage: poplarfake platform|server|load|added [flags]")
		return exitUsage
	}
	switch args[0] {
	case "platform":
		return platform(args[1:])
	case "server":
		return server(args[1:])
	case "load":
		return load(args[1:])
	case "added":
		return overhead(args[1:])
	}
	fmt.Fprintf(os.Stderr, "poplarfake: unknown command %q\n", args[0])
	return exitUsage
}

// fakeServer is a fake that serves connections of a listener.
type fakeServer interface {
	Serve(net.Listener) error
	Close() error
}

// serve runs a fake at addr until SIGTERM or SIGINT.
func serve(s fakeServer, addr string) int {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, "poplarfake:", err)
		return 1
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stop
		_ = s.Close()
	}()
	if err := s.Serve(l); err != nil {
		fmt.Fprintln(os.Stderr, "poplarfake:", err)
		return 1
	}
	return 0
}

func platform(args []string) int {
	f := flag.NewFlagSet("platform", flag.ExitOnError)
	addr := f.String("listen", "127.0.0.1:0", "`address` to listen on")
	_ = f.Parse(args)
	return serve(&faker.Platform{}, *addr)
}

func server(args []string) int {
	f := flag.NewFlagSet("server", flag.ExitOnError)
	addr := f.String("listen", "127.0.0.1:0", "`address` to listen on")
	slots := f.Int("slots", 3, "calls run at once")
	work := f.Duration("work", 5*time.Millisecond, "time of a call")
	ledger := f.String("ledger", "", "`file` to which the id of each call is added as it runs")
	behaviorJSON := f.String("mood", "{}", "how the server behaves, as JSON")
	_ = f.Parse(args)
	s := &faker.Server{Slots: *slots, Work: *work}
	if *ledger != "" {
		w, err := os.OpenFile(*ledger, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			fmt.Fprintln(os.Stderr, "poplarfake:", err)
			return 1
		}
		defer w.Close()
		s.Ledger = w
	}
	var behavior faker.Behavior
	if err := json.Unmarshal([]byte(*behaviorJSON), &behavior); err != nil {
		fmt.Fprintln(os.Stderr, "poplarfake: mood:", err)
		return exitUsage
	}
	s.SetBehavior(behavior)
	return serve(s, *addr)
}

func load(args []string) int {
	f := flag.NewFlagSet("load", flag.ExitOnError)
	entries := f.String("entries", "", "`addresses` of entries to ask first, by comma")
	ledgers := f.String("ledgers", "", "`pattern` of the servers' ledgers, to judge by")
	rate := f.Float64("rate", 200, "calls a second")
	duration := f.Duration("for", 5*time.Second, "how long to send")
	seed := f.Uint64("seed", 1, "seed of arrivals")
	jsonOutput := f.Bool("json", false, "print JSON")
	svg := f.String("svg", "", "`file` for a plot of latency")
	var kinds []faker.CallKind
	f.Func("kind", "METHOD,/path[,share=N][,weight=N][,work=D][,deadline=D][,keyed]; may be given again", func(s string) error {
		k, err := faker.ParseKind(s)
		kinds = append(kinds, k)
		return err
	})
	_ = f.Parse(args)
	if *entries == "" || len(kinds) == 0 {
		f.Usage()
		return exitUsage
	}
	l := faker.Load{Caller: &faker.Caller{Entries: strings.Split(*entries, ",")}, Kinds: kinds, Rate: *rate, For: *duration, Seed: *seed}
	r := l.Run()
	var v faker.Violations
	if *ledgers != "" {
		runCount, err := loadLedgers(*ledgers)
		if err != nil {
			fmt.Fprintln(os.Stderr, "poplarfake:", err)
			return 1
		}
		v = r.Verify(runCount)
	}
	if *jsonOutput {
		_ = json.NewEncoder(os.Stdout).Encode(struct {
			*faker.LoadReport
			faker.Violations
		}{r, v})
	} else {
		printReport(r, v)
	}
	if *svg != "" {
		if err := plotLatency(*svg, r); err != nil {
			fmt.Fprintln(os.Stderr, "poplarfake:", err)
			return 1
		}
	}
	if v != (faker.Violations{}) || r.Bad > 0 {
		fmt.Fprintln(os.Stderr, "poplarfake: a call was lost, run twice, wrongly reported as not run, or answered wrongly")
		return 1
	}
	return 0
}

func overhead(args []string) int {
	f := flag.NewFlagSet("added", flag.ExitOnError)
	var o faker.Overhead
	f.StringVar(&o.Server, "server", "", "server's `address`")
	f.StringVar(&o.Entry, "entry", "", "entry's `address`")
	f.StringVar(&o.URI, "uri", "/t/s/x", "what to ask for")
	f.Float64Var(&o.Rate, "rate", 2000, "calls a second, each way")
	f.DurationVar(&o.For, "for", 10*time.Second, "how long to send")
	_ = f.Parse(args)
	r := o.Run()
	fmt.Printf("each way %.0f calls a second, %d and %d calls, %d failed\n", o.Rate, r.Direct.TotalCount(), r.Through.TotalCount(), r.Failed)
	for _, q := range []float64{50, 99, 99.9} {
		direct, through, overhead := r.AtPercentile(q)
		fmt.Printf("p%-5v direct %.3f ms  through %.3f ms  added %.3f ms\n", q, direct, through, overhead)
	}
	if r.Failed > 0 {
		return 1
	}
	return 0
}

// loadLedgers reads the servers' ledgers that match pattern and returns a
// function that gives the number of times a call ran.
func loadLedgers(pattern string) (func(string) int, error) {
	files, err := filepath.Glob(pattern)
	if err != nil {
		return nil, err
	}
	counts := make(map[string]int)
	for _, name := range files {
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		for id := range strings.FieldsSeq(string(text)) {
			counts[id]++
		}
	}
	return func(id string) int { return counts[id] }, nil
}

func printReport(r *faker.LoadReport, v faker.Violations) {
	fmt.Printf("calls %d  good %d  late %d  failed %d  bad %d\n", r.Calls, r.Good, r.Late, r.Failed, r.Bad)
	fmt.Printf("told no %d  unknown %d  replayed %d  weighted on time %.4f\n", r.No, r.Unknown, r.Replayed, r.OnTime)
	fmt.Printf("latency ms  p50 %.2f  p99 %.2f  p99.9 %.2f  max %.2f\n", r.P50, r.P99, r.P999, r.Max)
	fmt.Printf("doubled %d  false no %d  lost %d\n", v.Doubled, v.FalseNo, v.Lost)
}

func plotLatency(path string, r *faker.LoadReport) error {
	var series plotter.Series
	series.Name = "latency"
	for q := 50.0; q < 99.95; q += 0.1 {
		series.X = append(series.X, q)
		series.Y = append(series.Y, float64(r.Hist.ValueAtQuantile(q))/1000)
	}
	return plotter.Draw(path, "Latency by percentile", "percentile", "ms", []plotter.Series{series})
}
