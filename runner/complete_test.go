package runner

import (
	"context"
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"poplarwind/parser"
	"poplarwind/platform/imitator"
	"poplarwind/router"
	"poplarwind/tracker"
)

// passOn applies the configuration of the store to the replica of an entry as an entry of an earlier build
// passes it on: without the fields that such a build does not know.
func passOn(t *testing.T, g *Gateway, version int64, revision uint64) {
	t.Helper()
	s := router.Spec{
		Version: version, Level: router.SpecLevel, Services: []router.Service{{Name: "jobs"}},
		Routes:    []router.Route{{Name: "r", Host: "h.example", Prefix: "/a/", Attempts: 1, Timeout: time.Second, Targets: []router.SplitTarget{{Service: "jobs", Weight: 1}}}},
		Customers: []router.Customer{{Name: "acme"}},
	}
	text, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(text, &fields); err != nil {
		t.Fatal(err)
	}
	delete(fields, "level")
	delete(fields, "customers")
	if text, err = json.Marshal(fields); err != nil {
		t.Fatal(err)
	}
	var config router.Spec
	if err := json.Unmarshal(text, &config); err != nil {
		t.Fatal(err)
	}
	d := tracker.Delta{Kind: tracker.Configs, AsOf: revision, Snapshot: true, Changes: []tracker.Change{{Name: "main", Revision: revision, Config: &config}}}
	if _, err := g.state.Apply(time.Now(), d); err != nil {
		t.Fatal(err)
	}
}

// TestConfigPassedOnByEarlierBuild has an entry of an earlier build pass configurations on without their
// customers. They must be read from the store before they are in force. While the store is away, one
// with customers must stay in force, else requests would pass without keys; an entry without a
// configuration must serve nevertheless, as it did before customers were known, and know them when the
// store is back.
func TestConfigPassedOnByEarlierBuild(t *testing.T) {
	const settleTime = 4 * time.Second
	for _, v := range []struct {
		name string
		// known is set if the entry has a configuration with customers before, and away if the store is
		// away at first.
		known, away bool
		// version is the version that is in force while the store is away, and customers whether it has
		// customers.
		version   int64
		customers bool
	}{
		{name: "store works"},
		{name: "store works, customers known", known: true},
		{name: "store away, customers known", known: true, away: true, version: 4, customers: true},
		{name: "store away, nothing known", away: true, version: 5},
	} {
		t.Run(v.name, func(t *testing.T) {
			s := newGatewayEnv(t, time.Millisecond)
			p, err := parser.ParseProcess("test", []byte(s.settings("e1", "1s")))
			if err != nil {
				t.Fatal(err)
			}
			g, err := NewGateway(p, slog.New(slog.DiscardHandler), func() int64 { return 0 })
			if err != nil {
				t.Fatal(err)
			}
			ctx, stop := context.WithCancel(context.Background())
			var tasks errgroup.Group
			tasks.Go(func() error { return g.applyStoreChanges(ctx) })
			tasks.Go(func() error { return g.completeConfigs(ctx) })
			defer func() {
				stop()
				if err := tasks.Wait(); err != nil {
					t.Error(err)
				}
				_ = g.callersListener.Close()
				for _, l := range g.listeners {
					_ = l.Close()
				}
			}()
			customer := imitator.Customer{Name: "acme", Keys: []string{"key-acme"}}
			s.store.PutCustomers(4, "h.example", "/a/", "jobs", customer)
			if v.known {
				if err := g.completeConfig(ctx, 4); err != nil {
					t.Fatal(err)
				}
			}
			revision := s.store.PutCustomers(5, "h.example", "/a/", "jobs", customer)
			if v.away {
				s.store.SetFaults(imitator.Faults{Status: 503})
			}
			passOn(t, g, 5, revision)
			if v.away {
				time.Sleep(completeDelay + minCompletePause/2)
				table := g.forwarder.Table()
				if table == nil || table.Version() != v.version || table.HasCustomers() != v.customers {
					t.Fatalf("store away: got: %+v want: version %d, customers: %v", table, v.version, v.customers)
				}
				s.store.SetFaults(imitator.Faults{})
			}
			for start := time.Now(); ; time.Sleep(5 * time.Millisecond) {
				table := g.forwarder.Table()
				if table != nil && table.Version() == 5 && table.HasCustomers() {
					break
				}
				if !v.away && table != nil && !table.HasCustomers() {
					t.Fatal("got: a configuration without customers in force want: none before the store was read")
				}
				if time.Since(start) > settleTime {
					t.Fatalf("got: %+v want: version 5 with customers", table)
				}
			}
			// The replica must pass the complete configuration on, from which others may start.
			for name, d := range map[string]tracker.Delta{"snapshot": g.state.Since(tracker.Configs, 0, 0), "change": g.state.Since(tracker.Configs, 0, revision-1)} {
				if len(d.Changes) != 1 || d.Changes[0].Config == nil || len(d.Changes[0].Config.Customers) != 1 {
					t.Errorf("%s passed on: got: %+v want: one configuration with a customer", name, d.Changes)
				}
			}
			// The replica changes again: the same configuration without customers must not replace it.
			g.applyConfig()
			if table := g.forwarder.Table(); !table.HasCustomers() || table.Customer([]byte("key-acme")) == nil {
				t.Error("got: a configuration without customers in force want: the complete one")
			}
		})
	}
}
