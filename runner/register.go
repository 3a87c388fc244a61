package runner

import (
	"context"
	"reflect"
	"slices"
	"time"

	"poplarwind/announcer"
	"poplarwind/internal/sleeper"
	"poplarwind/tracker"
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
	// registerInterval is how often an entry checks whether it has to read the list
	// or to register, and the delay after a failed call.
	registerInterval = time.Second
	// initialRegisterInterval is the delay of the first check at the first start of
	// the whole deployment, when the list is empty. Otherwise an entry that starts
	// reads the list at once: it may know no other than seeds that are down.
	initialRegisterInterval = 300 * time.Millisecond
	// registerDelay is how long an entry waits after its start before it registers,
	// and initialRegisterDelay after the first start of the whole deployment. Until
	// then it may not know all others, which determine whether it has to.
	registerDelay        = 2 * time.Second
	initialRegisterDelay = 4 * time.Second
	// registeredPerDomain is the number of entries of each failure domain that are
	// registered: enough that some of them are live when an entry needs the list,
	// and few enough that the start of a large deployment writes little.
	registeredPerDomain = 8
)

// register adds the listed entries to the member table and, if this entry is among
// the first of its failure domain, writes it to the list. It writes nothing if the
// list already has an equal record of an earlier process: many processes may start
// at the same time. An entry reads the list while it knows no other entry, before it
// registers, and then rarely. A store that is restored from a backup may have lost
// the record, which is then written again.
func (g *Gateway) register(ctx context.Context) error {
	self, _ := g.table.Self()
	// The record says where an entry is, whichever process and build it runs.
	self.Epoch, self.Build, self.Level = 0, "", 0
	start, delay := time.Now(), registerDelay
	if g.process.Gateway().Bootstrap() {
		delay = initialRegisterDelay
		sleeper.Sleep(ctx, initialRegisterInterval)
	}
	nextList := start.Add(g.listInterval())
	registered := registration{}
	for ; ctx.Err() == nil; sleeper.Sleep(ctx, registerInterval) {
		now := time.Now()
		era := g.state.Position(now, tracker.Configs).Era
		if registered.lost(era) && g.writeRegistration(ctx, self) {
			registered.confirm(era)
		}
		live := g.table.Live(now)
		candidate := !registered.confirmed && now.Sub(start) > delay && tracker.RoleOf(self.Name, live).Rank < registeredPerDomain
		if len(live) > 1 && !candidate && now.Before(nextList) {
			continue
		}
		// A stale list may be from an earlier era, and have a record that was lost.
		restored := era > tracker.FirstEra
		list, err := g.listEntries(ctx, !candidate || !restored)
		if err != nil {
			g.log.Warn("reading the list of entries failed", "error", err.Error())
			continue
		}
		nextList = now.Add(g.listInterval())
		g.table.MergeDescriptions(now, false, list...)
		listed := slices.ContainsFunc(list, func(m announcer.Member) bool { return reflect.DeepEqual(m, self) })
		switch {
		case registered.confirmed:
		case listed && (candidate || !restored), candidate && g.writeRegistration(ctx, self):
			registered.confirm(era)
		}
	}
	return nil
}

// registration is whether the store has the record of this entry.
type registration struct {
	confirmed bool
	// era is the era of the store in which it was confirmed, 0 if unknown.
	era uint64
}

func (r *registration) confirm(era uint64) { r.confirmed, r.era = true, era }

// lost reports whether the store may have lost the record since it was confirmed, because
// it was restored from a backup.
func (r *registration) lost(era uint64) bool {
	if r.era == 0 {
		r.era = era
	}
	return r.confirmed && era > r.era
}

// listInterval returns the time between two reads of the list of entries.
func (g *Gateway) listInterval() time.Duration {
	return max(minListInterval, listIntervalPerEntry*time.Duration(len(g.table.Live(time.Now()))))
}

func (g *Gateway) listEntries(ctx context.Context, stale bool) ([]announcer.Member, error) {
	limited, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	return g.store.Registered(limited, stale)
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
