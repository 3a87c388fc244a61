package announcer

import (
	"context"
	"slices"
	"time"
)

// exchangeTables exchanges tables with one peer. It pulls settings if those of
// the peer differ, or if the platform's list is still missing.
func (a *Announcer) exchangeTables(ctx context.Context, p Member) {
	h := a.newHello(p.Name, nil, false)
	var reply Hello
	err := a.sendThrottled(ctx, p, pathHello, h, func(text []byte) (err error) {
		if reply, err = ParseHello(text); err != nil {
			a.rejected.Add(1)
		}
		return err
	})
	if err != nil {
		return
	}
	a.applyHello(reply)
	if reply.From.Digest != a.options.Cache.Snapshot().Digest() || a.options.Instances() == nil {
		a.pullSettings(ctx, p)
	}
}

// recentHeartbeats is the age, in heartbeat intervals, up to which a heartbeat is
// passed on. In this time an entry exchanges tables with some peers, and each of
// them does so in turn, so that nearly all entries receive it.
const recentHeartbeats = 2

// newHello returns a message that describes this entry to a peer, with the recent
// heartbeats, or all of them, that are newer than those in seen, and the
// descriptions that the peer requested.
func (a *Announcer) newHello(peer string, seen []Heartbeat, all bool) Hello {
	self, _ := a.table.Self()
	a.mu.Lock()
	requested := a.requested[peer]
	delete(a.requested, peer)
	starting := a.heartbeats <= startupHeartbeats
	a.mu.Unlock()
	maxAge := recentHeartbeats * a.options.HeartbeatInterval
	if all {
		maxAge = 0
	}
	h := Hello{From: self, Full: starting, Descriptions: a.table.Lookup(requested)}
	known := make(map[ID]Heartbeat, len(seen))
	for _, b := range seen {
		known[b.ID] = b
	}
	h.Heartbeats = slices.DeleteFunc(a.table.Heartbeats(nil, time.Now(), maxAge), func(b Heartbeat) bool {
		old, ok := known[b.ID]
		return ok && !old.olderThan(b)
	})
	// A peer that restarted with a lower epoch must see the heartbeats of its earlier
	// process, whatever their age, in order to supersede them.
	if latest, ok := a.table.Heartbeat(IDOf(peer)); ok && known[latest.ID].Epoch < latest.Epoch {
		h.Heartbeats = append(h.Heartbeats, latest)
	}
	return h
}

// applyHello applies a peer's hello to the table. It returns the IDs of the members
// whose descriptions are missing.
func (a *Announcer) applyHello(h Hello) []ID {
	now := time.Now()
	a.table.MergeDescriptions(now, false, h.Descriptions...)
	a.table.MergeDescriptions(now, true, h.From)
	missing := a.table.MergeHeartbeats(now, h.Heartbeats)
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(h.Requested) > 0 {
		a.requested[h.From.Name] = h.Requested
	}
	return missing
}
