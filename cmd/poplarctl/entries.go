package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/internal/sleeper"
	"poplarwind/reporter"
)

const (
	askTimeout = time.Second
	waitStep   = 200 * time.Millisecond
)

// errNoEntry reports that no entry answered.
const errNoEntry = errors.ConstError("no entry answers")

// seeds returns the operators' addresses to ask first.
func (t *tool) seeds(ctx context.Context) ([]string, error) {
	if t.entries != "" {
		return strings.Split(t.entries, ","), nil
	}
	list, _, err := t.store.Instances(ctx, "")
	if err != nil {
		return nil, err
	}
	var out []string
	for _, i := range list {
		if i.Ops != "" {
			out = append(out, i.Ops)
		}
	}
	return out, nil
}

// survey asks every entry that is known to anyone for its status. Missing
// holds the names of live entries that gave none.
type survey struct {
	found   map[string]reporter.Status
	missing []string
}

func (t *tool) survey(ctx context.Context) (survey, error) {
	addrs, err := t.seeds(ctx)
	if err != nil {
		return survey{}, err
	}
	s := survey{found: make(map[string]reporter.Status)}
	asked := make(map[string]bool)
	for len(addrs) > 0 {
		for _, st := range askAll(addrs, asked) {
			s.found[st.Name] = st
		}
		addrs = addrs[:0:0]
		for _, st := range s.found {
			for _, m := range st.Members {
				if m.Live && !asked[m.Member.Ops] {
					addrs = append(addrs, m.Member.Ops)
				}
			}
		}
	}
	if len(s.found) == 0 {
		return s, errNoEntry
	}
	missing := make(map[string]bool)
	for _, st := range s.found {
		for _, m := range st.Members {
			if _, ok := s.found[m.Member.Name]; !ok && m.Live {
				missing[m.Member.Name] = true
			}
		}
	}
	s.missing = slices.Sorted(maps.Keys(missing))
	return s, nil
}

// askAll asks several entries at once and notes whom it asked.
func askAll(addrs []string, asked map[string]bool) []reporter.Status {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var out []reporter.Status
	for _, a := range addrs {
		if asked[a] {
			continue
		}
		asked[a] = true
		wg.Go(func() {
			var s reporter.Status
			if ask(a, "/status", &s) == nil {
				mu.Lock()
				defer mu.Unlock()
				out = append(out, s)
			}
		})
	}
	wg.Wait()
	return out
}

func ask(addr, path string, dst any) error {
	code, body, err := fasthttp.GetTimeout(nil, "http://"+addr+path, askTimeout)
	if err != nil {
		return errors.Trace(err)
	}
	if code != fasthttp.StatusOK {
		return errors.Errorf("%s: status %d", addr, code)
	}
	return errors.Trace(json.Unmarshal(body, dst))
}

// awaitEverywhere waits until every live entry has the versions in force.
func (t *tool) awaitEverywhere(ctx context.Context, done []applied) error {
	last := ""
	for {
		s, err := t.survey(ctx)
		late := append([]string(nil), s.missing...)
		for name, st := range s.found {
			if !st.Leaving && !inForce(st, done) {
				late = append(late, name)
			}
		}
		slices.Sort(late)
		if err == nil && len(late) == 0 {
			fmt.Fprintf(t.err, "in force on %d entries\n", len(s.found))
			return nil
		}
		if line := strings.Join(late, " "); line != last && err == nil {
			last = line
			fmt.Fprintf(t.err, "waiting for %s\n", line)
		}
		if ctx.Err() != nil {
			return errors.Annotatef(errSlow, "waiting for %s", last)
		}
		sleeper.Sleep(ctx, waitStep)
	}
}

func inForce(s reporter.Status, done []applied) bool {
	for _, a := range done {
		ok := slices.ContainsFunc(s.Settings, func(p reporter.SettingsStatus) bool {
			return p.Path == a.Path && p.Version >= a.Version
		})
		if !ok {
			return false
		}
	}
	return true
}

func (t *tool) status(ctx context.Context, args []string) error {
	if len(args) > 0 {
		return errors.Annotate(errUsage, "want no arguments")
	}
	s, err := t.survey(ctx)
	if err != nil {
		return err
	}
	names := slices.Sorted(maps.Keys(s.found))
	if t.json {
		all := make([]reporter.Status, 0, len(names))
		for _, n := range names {
			all = append(all, s.found[n])
		}
		return errors.Trace(json.NewEncoder(t.out).Encode(all))
	}
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	entriesTable(w, s, names)
	fmt.Fprintln(w)
	settingsTable(w, s, names)
	fmt.Fprintln(w)
	servicesTable(w, s, names)
	return errors.Trace(w.Flush())
}

func entriesTable(w *tabwriter.Writer, s survey, names []string) {
	fmt.Fprintln(w, "ENTRY\tDOMAIN\tSTATE\tUPTIME\tSTORE AGE\tLIVE PEERS\tPEER KB SENT")
	for _, n := range names {
		st := s.found[n]
		live := 0
		for _, m := range st.Members {
			if m.Live && m.Member.Name != n {
				live++
			}
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.0fs\t%.1fs\t%d\t%.0f\n",
			n, st.Domain, state(st), st.Uptime, st.Store.Age, live, float64(st.Peers.Sent)/1024)
	}
	for _, n := range s.missing {
		fmt.Fprintf(w, "%s\t\tno answer\n", n)
	}
}

func state(s reporter.Status) string {
	switch {
	case s.Leaving:
		return "leaving"
	case s.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

func settingsTable(w *tabwriter.Writer, s survey, names []string) {
	type row struct {
		low, high uint64
		on        int
		fault     string
	}
	rows := make(map[string]*row)
	for _, n := range names {
		for _, p := range s.found[n].Settings {
			r := rows[p.Path]
			if r == nil {
				r = &row{low: p.Version}
				rows[p.Path] = r
			}
			r.low, r.high = min(r.low, p.Version), max(r.high, p.Version)
			r.on++
			if p.Refused > 0 {
				r.fault = fmt.Sprintf("%d refused: %s", p.Refused, p.Fault)
			}
		}
	}
	fmt.Fprintln(w, "SETTINGS\tVERSIONS\tENTRIES\tFAULT")
	for _, p := range slices.Sorted(maps.Keys(rows)) {
		r := rows[p]
		versions := fmt.Sprint(r.high)
		if r.low != r.high {
			versions = fmt.Sprintf("%d to %d", r.low, r.high)
		}
		fmt.Fprintf(w, "%s\t%s\t%d of %d\t%s\n", p, versions, r.on, len(names), r.fault)
	}
}

func servicesTable(w *tabwriter.Writer, s survey, names []string) {
	sums := make(map[string]*reporter.ServiceStatus)
	for _, n := range names {
		for _, v := range s.found[n].Services {
			sum := sums[v.Path]
			if sum == nil {
				sum = &reporter.ServiceStatus{Path: v.Path, Subset: v.Subset, Servers: v.Servers}
				sums[v.Path] = sum
			}
			sum.Calls += v.Calls
			sum.Yes += v.Yes
			sum.No += v.No
			sum.Unknown += v.Unknown
			sum.Late += v.Late
			sum.Retries += v.Retries
			sum.Hedges += v.Hedges
			sum.Probes.Probes += v.Probes.Probes
			sum.OnTime += v.OnTime * float64(v.Calls)
		}
	}
	fmt.Fprintln(w, "SERVICE\tENTRIES\tSERVERS\tCALLS\tYES\tNO\tUNKNOWN\tLATE\tRETRIES\tHEDGES\tPROBES\tON TIME")
	for _, p := range slices.Sorted(maps.Keys(sums)) {
		v := sums[p]
		onTime := 1.0
		if v.Calls > 0 {
			onTime = v.OnTime / float64(v.Calls)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.4f\n", p, strings.Join(v.Subset, " "), len(v.Servers),
			v.Calls, v.Yes, v.No, v.Unknown, v.Late, v.Retries, v.Hedges, v.Probes.Probes, onTime)
	}
}

func (t *tool) dump(ctx context.Context, args []string) error {
	name, err := one(args, "entry")
	if err != nil {
		return err
	}
	addr := name
	if !strings.Contains(name, ":") {
		s, err := t.survey(ctx)
		if err != nil {
			return err
		}
		addr = address(s, name)
		if addr == "" {
			return errors.Annotatef(errUsage, "no entry %q", name)
		}
	}
	var d json.RawMessage
	if err := ask(addr, "/dump", &d); err != nil {
		return err
	}
	_, err = t.out.Write(append(d, '\n'))
	return errors.Trace(err)
}

func address(s survey, name string) string {
	for _, st := range s.found {
		for _, m := range st.Members {
			if m.Member.Name == name {
				return m.Member.Ops
			}
		}
	}
	return ""
}
