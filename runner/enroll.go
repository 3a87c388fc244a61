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
	// enrollEvery is how often one of all entries reads the list of entries:
	// those that lost sight of each other find together again by it. An entry
	// that sees few others reads it as often as a small deployment's would.
	enrollEvery = 600 * time.Millisecond
	enrollLeast = 10 * time.Second
	enrollWait  = 500 * time.Millisecond
	// enrollAgain is the pause after a call that failed, and while no other
	// entry is listed.
	enrollAgain = time.Second
)

// enroll makes this entry known in the store, and the others known here. One
// that is listed already, as a process before it was here, writes nothing: many
// processes may start at once.
func (g *Gateway) enroll(ctx context.Context) error {
	self, _ := g.table.Self()
	self.Epoch = 0
	known := false
	for ctx.Err() == nil {
		list, err := g.listEntries(ctx)
		if err != nil {
			g.log.Warn("list of entries not read", "error", err.Error())
		}
		g.table.Introduce(time.Now(), false, list...)
		known = known || slices.ContainsFunc(list, func(m announcer.Member) bool { return reflect.DeepEqual(m, self) })
		if !known && err == nil {
			known = g.write(ctx, self)
		}
		pause := max(enrollLeast, enrollEvery*time.Duration(len(g.census().all)))
		if !known || err != nil || len(list) < 2 {
			pause = enrollAgain
		}
		sleeper.Sleep(ctx, pause)
	}
	return nil
}

func (g *Gateway) listEntries(ctx context.Context) ([]announcer.Member, error) {
	limited, cancel := context.WithTimeout(ctx, enrollWait)
	defer cancel()
	return g.store.Enrolled(limited)
}

// write writes this entry to the store and reports whether that is known to
// have been done.
func (g *Gateway) write(ctx context.Context, self announcer.Member) bool {
	limited, cancel := context.WithTimeout(ctx, enrollWait)
	defer cancel()
	err := g.store.Enroll(limited, self)
	if err != nil {
		g.log.Warn("entry not enrolled yet", "error", err.Error())
	}
	return err == nil
}
