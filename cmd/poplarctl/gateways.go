package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"

	"poplarwind/internal/sleeper"
	"poplarwind/reporter"
	"poplarwind/tracker"
)

// entries shows the entries of a deployment on the users' platform, and waits until they all see
// each other if asked to.
func (t *tool) entries(ctx context.Context, args []string) error {
	if len(args) > 0 || t.entryAddrs == "" {
		return errors.Annotate(errUsage, "want -entries and no arguments")
	}
	for {
		s, err := collect[reporter.GatewayStatus](strings.Split(t.entryAddrs, ","))
		if err == nil && (!t.wait || complete(s)) {
			return t.writeGateways(s)
		}
		if !t.wait {
			return err
		}
		if ctx.Err() != nil {
			return errors.Annotate(errNotInForce, "entries don't all see each other")
		}
		sleeper.Sleep(ctx, pollInterval)
	}
}

// complete reports whether every entry has responded, is ready and sees as many live entries as the
// others.
func complete(s clusterStatus[reporter.GatewayStatus]) bool {
	for _, st := range s.statuses {
		if !st.Ready || liveEntries(st) != len(s.statuses) {
			return false
		}
	}
	return len(s.unresponsive) == 0
}

// liveEntries returns the number of live entries that an entry sees, itself included.
func liveEntries(s reporter.GatewayStatus) int {
	n := 0
	for _, m := range s.Members {
		if m.Live {
			n++
		}
	}
	return n
}

// writeGateways writes a table of the entries, and below it the builds if there are several.
func (t *tool) writeGateways(s clusterStatus[reporter.GatewayStatus]) error {
	names := slices.Sorted(maps.Keys(s.statuses))
	if t.json {
		all := make([]reporter.GatewayStatus, 0, len(names))
		for _, n := range names {
			all = append(all, s.statuses[n])
		}
		return errors.Trace(json.NewEncoder(t.out).Encode(all))
	}
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ENTRY\tDOMAIN\tBUILD\tLEVEL\tSTATE\tUPTIME\tCONFIG\tCONFIG AGE\tUPSTREAMS AGE\tLIVE ENTRIES")
	builds := make(map[string]int)
	for _, n := range names {
		st := s.statuses[n]
		build := buildOf(st)
		builds[build]++
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%.0fs\t%d\t%.1fs\t%.1fs\t%d\n", n, domainOf(st), build, st.Level, gatewayState(st), st.Uptime.Seconds(),
			st.Version, st.Positions[tracker.Configs.String()].Age.Seconds(), st.Positions[tracker.Upstreams.String()].Age.Seconds(), liveEntries(st))
	}
	for _, n := range s.unresponsive {
		fmt.Fprintf(w, "%s\t\t\t\tno answer\n", n)
	}
	if err := w.Flush(); err != nil || len(builds) < 2 {
		return errors.Trace(err)
	}
	var list []string
	for _, b := range slices.Sorted(maps.Keys(builds)) {
		list = append(list, fmt.Sprintf("%s on %d", b, builds[b]))
	}
	_, err := fmt.Fprintf(t.out, "mixed builds: %s\n", strings.Join(list, ", "))
	return errors.Trace(err)
}

// buildOf returns the build of an entry, a dash if its program does not state one.
func buildOf(s reporter.GatewayStatus) string {
	if s.Build == "" {
		return "-"
	}
	return s.Build
}

// domainOf returns the failure domain of an entry.
func domainOf(s reporter.GatewayStatus) string {
	for _, m := range s.Members {
		if m.Member.Name == s.Entry {
			return m.Member.Domain
		}
	}
	return ""
}

func gatewayState(s reporter.GatewayStatus) string {
	switch {
	case s.Cut:
		return "cut off"
	case s.Ready:
		return "ready"
	default:
		return "not ready"
	}
}
