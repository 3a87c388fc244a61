package runner

import (
	"context"
	"reflect"
	"slices"
	"time"

	"poplarwind/announcer"
	"poplarwind/internal/sleeper"
)

const (
	// listIntervalPerEntry is the mean interval between reads of the list of
	// entries by all live entries together. Entries rejoin after a network
	// partition by reading the list. Each entry waits this long times the number
	// of entries that it sees, and at least minListInterval, so that an entry that
	// sees few others reads the list as often as one of a small deployment.
	listIntervalPerEntry = 600 * time.Millisecond
	minListInterval      = 10 * time.Second
	registerTimeout      = 500 * time.Millisecond
	// registerRetryInterval is the delay after a failed call, and while no other
	// entry is listed.
	registerRetryInterval = time.Second
)

// register writes this entry to the store's list of entries and adds the listed
// entries to the member table. It writes nothing if the list already has an equal
// record of an earlier process: many processes may start at the same time.
func (g *Gateway) register(ctx context.Context) error {
	self, _ := g.table.Self()
	self.Epoch = 0
	registered := false
	for ctx.Err() == nil {
		list, err := g.listEntries(ctx)
		if err != nil {
			g.log.Warn("reading the list of entries failed", "error", err.Error())
		}
		g.table.MergeDescriptions(time.Now(), false, list...)
		registered = registered || slices.ContainsFunc(list, func(m announcer.Member) bool { return reflect.DeepEqual(m, self) })
		if !registered && err == nil {
			registered = g.writeRegistration(ctx, self)
		}
		interval := max(minListInterval, listIntervalPerEntry*time.Duration(len(g.membership().all)))
		if !registered || err != nil || len(list) < 2 {
			interval = registerRetryInterval
		}
		sleeper.Sleep(ctx, interval)
	}
	return nil
}

func (g *Gateway) listEntries(ctx context.Context) ([]announcer.Member, error) {
	limited, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	return g.store.Registered(limited)
}

// writeRegistration writes this entry to the store and reports whether the store
// confirmed it.
func (g *Gateway) writeRegistration(ctx context.Context, self announcer.Member) bool {
	limited, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	err := g.store.Register(limited, self)
	if err != nil {
		g.log.Warn("registering the entry failed", "error", err.Error())
	}
	return err == nil
}
