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

	"poplarwind/announcer"
	"poplarwind/internal/scanner"
	"poplarwind/internal/sleeper"
	"poplarwind/reporter"
)

const (
	requestTimeout = time.Second
	pollInterval   = 200 * time.Millisecond
)

// errNoEntry reports that no entry responded.
const errNoEntry = errors.ConstError("no entry answers")

// seedAddresses returns the operators' addresses to query first: those given
// by flag, otherwise those on the platform's list of instances.
func (t *tool) seedAddresses(ctx context.Context) ([]string, error) {
	if t.entryAddrs != "" {
		return strings.Split(t.entryAddrs, ","), nil
	}
	list, _, err := t.store.Instances(ctx, "")
	if err != nil {
		return nil, err
	}
	var out []string
	for _, inst := range list {
		if inst.Ops != "" {
			out = append(out, inst.Ops)
		}
	}
	return out, nil
}

// described is the status of an entry that names the entry and the members that it knows.
type described interface {
	reporter.Status | reporter.GatewayStatus
}

// clusterStatus holds the status of every entry that responded, by name, and the
// names of the live entries that did not.
type clusterStatus[S described] struct {
	statuses     map[string]S
	unresponsive []string
}

// describe returns the name of an entry and the members that it knows.
func describe(status any) (name string, members []announcer.Status) {
	switch s := status.(type) {
	case reporter.Status:
		return s.Name, s.Members
	case reporter.GatewayStatus:
		return s.Entry, s.Members
	}
	return "", nil
}

// collectStatus queries the seed addresses and then, repeatedly, every live
// member that a responding entry lists.
func (t *tool) collectStatus(ctx context.Context) (clusterStatus[reporter.Status], error) {
	addrs, err := t.seedAddresses(ctx)
	if err != nil {
		return clusterStatus[reporter.Status]{}, err
	}
	return collect[reporter.Status](addrs)
}

// collect queries the addresses and then, repeatedly, every live member that a responding entry
// lists.
func collect[S described](addrs []string) (clusterStatus[S], error) {
	s := clusterStatus[S]{statuses: make(map[string]S)}
	queried := make(map[string]bool)
	for len(addrs) > 0 {
		for _, st := range fetchStatuses[S](addrs, queried) {
			name, _ := describe(st)
			s.statuses[name] = st
		}
		addrs = addrs[:0:0]
		for _, m := range s.liveMembers() {
			if !queried[m.Ops] {
				addrs = append(addrs, m.Ops)
			}
		}
	}
	if len(s.statuses) == 0 {
		return s, errNoEntry
	}
	unresponsive := make(map[string]bool)
	for _, m := range s.liveMembers() {
		if _, ok := s.statuses[m.Name]; !ok {
			unresponsive[m.Name] = true
		}
	}
	s.unresponsive = slices.Sorted(maps.Keys(unresponsive))
	return s, nil
}

// liveMembers returns the members that any of the entries takes for live, with repetitions.
func (s clusterStatus[S]) liveMembers() []announcer.Member {
	var out []announcer.Member
	for _, st := range s.statuses {
		_, members := describe(st)
		for _, m := range members {
			if m.Live {
				out = append(out, m.Member)
			}
		}
	}
	return out
}

// fetchStatuses queries several entries in parallel, skips addresses that are
// in queried, and adds the others to it. Entries that fail are left out.
func fetchStatuses[S described](addrs []string, queried map[string]bool) []S {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var out []S
	for _, a := range addrs {
		if queried[a] {
			continue
		}
		queried[a] = true
		wg.Go(func() {
			var s S
			if getJSON(a, "/status", &s) == nil {
				mu.Lock()
				defer mu.Unlock()
				out = append(out, s)
			}
		})
	}
	wg.Wait()
	return out
}

// client reads from the operations listeners of entries.
var client = fasthttp.Client{DialTimeout: scanner.Dial(nil)}

// getJSON decodes the JSON body at path of addr into dst.
func getJSON(addr, path string, dst any) error {
	statusCode, body, err := client.GetTimeout(nil, "http://"+addr+path, requestTimeout)
	if err != nil {
		return errors.Trace(err)
	}
	if statusCode != fasthttp.StatusOK {
		return errors.Errorf("%s: status %d", addr, statusCode)
	}
	return errors.Trace(json.Unmarshal(body, dst))
}

// awaitInForce polls until every live entry that is not draining has the
// versions in force, or until ctx ends.
func (t *tool) awaitInForce(ctx context.Context, results []applyResult) error {
	lastPending := ""
	for {
		s, err := t.collectStatus(ctx)
		pending := append([]string(nil), s.unresponsive...)
		for name, st := range s.statuses {
			if !st.Draining && !inForce(st, results) {
				pending = append(pending, name)
			}
		}
		slices.Sort(pending)
		if err == nil && len(pending) == 0 {
			fmt.Fprintf(t.err, "in force on %d entries\n", len(s.statuses))
			return nil
		}
		if names := strings.Join(pending, " "); names != lastPending && err == nil {
			lastPending = names
			fmt.Fprintf(t.err, "waiting for %s\n", names)
		}
		if ctx.Err() != nil {
			return errors.Annotatef(errNotInForce, "waiting for %s", lastPending)
		}
		sleeper.Sleep(ctx, pollInterval)
	}
}

// inForce reports whether an entry has every applied path in force at the
// applied version or a newer one.
func inForce(s reporter.Status, results []applyResult) bool {
	for _, a := range results {
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
	s, err := t.collectStatus(ctx)
	if err != nil {
		return err
	}
	names := slices.Sorted(maps.Keys(s.statuses))
	if t.json {
		all := make([]reporter.Status, 0, len(names))
		for _, n := range names {
			all = append(all, s.statuses[n])
		}
		return errors.Trace(json.NewEncoder(t.out).Encode(all))
	}
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	writeEntriesTable(w, s, names)
	fmt.Fprintln(w)
	writeSettingsTable(w, s, names)
	fmt.Fprintln(w)
	writeServicesTable(w, s, names)
	return errors.Trace(w.Flush())
}

func writeEntriesTable(w *tabwriter.Writer, s clusterStatus[reporter.Status], names []string) {
	fmt.Fprintln(w, "ENTRY\tDOMAIN\tSTATE\tUPTIME\tSTORE AGE\tLIVE PEERS\tPEER KB SENT")
	for _, n := range names {
		st := s.statuses[n]
		live := 0
		for _, m := range st.Members {
			if m.Live && m.Member.Name != n {
				live++
			}
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.0fs\t%.1fs\t%d\t%.0f\n",
			n, st.Domain, entryState(st), st.Uptime, st.Store.Age, live, float64(st.Peers.Sent)/1024)
	}
	for _, n := range s.unresponsive {
		fmt.Fprintf(w, "%s\t\tno answer\n", n)
	}
}

func entryState(s reporter.Status) string {
	switch {
	case s.Draining:
		return "leaving"
	case s.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

func writeSettingsTable(w *tabwriter.Writer, s clusterStatus[reporter.Status], names []string) {
	type row struct {
		low, high uint64
		entries   int
		fault     string
	}
	rows := make(map[string]*row)
	for _, n := range names {
		for _, p := range s.statuses[n].Settings {
			r := rows[p.Path]
			if r == nil {
				r = &row{low: p.Version}
				rows[p.Path] = r
			}
			r.low, r.high = min(r.low, p.Version), max(r.high, p.Version)
			r.entries++
			if p.Rejected > 0 {
				r.fault = fmt.Sprintf("%d refused: %s", p.Rejected, p.Fault)
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
		fmt.Fprintf(w, "%s\t%s\t%d of %d\t%s\n", p, versions, r.entries, len(names), r.fault)
	}
}

func writeServicesTable(w *tabwriter.Writer, s clusterStatus[reporter.Status], names []string) {
	sums := make(map[string]*reporter.ServiceStatus)
	for _, n := range names {
		for _, v := range s.statuses[n].Services {
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
	name, err := singleArg(args, "entry")
	if err != nil {
		return err
	}
	addr := name
	if !strings.Contains(name, ":") {
		s, err := t.collectStatus(ctx)
		if err != nil {
			return err
		}
		addr = opsAddress(s, name)
		if addr == "" {
			return errors.Annotatef(errUsage, "no entry %q", name)
		}
	}
	var d json.RawMessage
	if err := getJSON(addr, "/dump", &d); err != nil {
		return err
	}
	_, err = t.out.Write(append(d, '\n'))
	return errors.Trace(err)
}

func opsAddress(s clusterStatus[reporter.Status], name string) string {
	for _, st := range s.statuses {
		for _, m := range st.Members {
			if m.Member.Name == name {
				return m.Member.Ops
			}
		}
	}
	return ""
}
