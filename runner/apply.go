package runner

import (
	"context"
	"maps"
	"slices"
	"time"

	"poplarwind/router"
	"poplarwind/tracker"
)

// applyStoreChanges applies the evacuations, the configuration and the upstream list each
// time the local state changes, and again when the next lease expires or the wait for the
// evacuations ends.
func (g *Gateway) applyStoreChanges(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := g.state.Changed()
		evacuationsDue := g.applyEvacuations(time.Now())
		g.applyConfig()
		recheckAt := earliest(g.applyUpstreams(), evacuationsDue)
		var recheck <-chan time.Time
		if !recheckAt.IsZero() {
			recheck = time.After(time.Until(recheckAt))
		}
		select {
		case <-changed:
		case <-recheck:
		case <-ctx.Done():
		}
	}
	return nil
}

// evacuationWait is how long an entry that starts waits for the evacuations. If neither the store nor
// another entry has them by then, requests that are not served at all cost callers more than
// those that reach an evacuated failure domain.
const evacuationWait = 3 * time.Second

// applyEvacuations applies the evacuations if they are known. While they are not, it returns the time
// at which the entry serves without them, and the zero time otherwise.
func (g *Gateway) applyEvacuations(now time.Time) time.Time {
	if g.process.Gateway().EvacuationTime() == 0 {
		return time.Time{}
	}
	if g.state.Position(now, tracker.Evacuations).AsOf == 0 {
		due := g.start.Add(evacuationWait)
		switch {
		case g.forwarder.EvacuationsKnown():
			return time.Time{}
		case now.Before(due):
			return due
		}
		g.log.Warn("evacuations are not known, requests are served without them", "waited_ms", now.Sub(g.start).Milliseconds())
		g.forwarder.SetEvacuated(nil)
		return time.Time{}
	}
	domains := make(map[string]bool)
	for _, c := range g.state.All(tracker.Evacuations) {
		domains[c.Name] = true
	}
	if names := slices.Sorted(maps.Keys(domains)); !g.forwarder.EvacuationsKnown() || !slices.Equal(names, g.forwarder.Evacuated()) {
		g.log.Info("evacuations in force", "domains", names, "were", g.forwarder.Evacuated())
		g.forwarder.SetEvacuated(domains)
	}
	return time.Time{}
}

// earliest returns the earlier of two times, of which a zero one counts as none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// applyConfig puts the configuration of the replica in force if it supersedes the one in force. An
// invalid configuration is logged and skipped.
func (g *Gateway) applyConfig() {
	for _, c := range g.state.All(tracker.Configs) {
		if c.Config != nil && g.acceptable(c.Config) {
			g.applySpec(c.Config, c.Revision)
		}
	}
}

// applySpec puts a configuration of a revision of the store in force if it supersedes the one in force.
func (g *Gateway) applySpec(s *router.Spec, revision uint64) {
	g.applying.Lock()
	defer g.applying.Unlock()
	old := g.forwarder.Table()
	if !s.Supersedes(old) {
		return
	}
	t, err := router.NewTable(*s, old)
	if err != nil {
		g.log.Warn("configuration refused", "version", s.Version, "rev", revision, "error", err.Error())
		return
	}
	// A customer whose key is known must not be without its quota.
	g.quotas.configure(time.Now(), s)
	if !g.forwarder.Configure(t) {
		return
	}
	g.log.Info("configuration in force", "version", t.Version(), "rev", revision, "routes", len(s.Routes), "customers", len(s.Customers))
	if n := t.AmbiguousKeys(); n > 0 {
		g.log.Warn("keys belong to several customers, the first one has them", "version", t.Version(), "keys", n)
	}
}

// applyUpstreams updates the forwarder's upstreams to those that the store
// lists and those that a lease still holds. It returns the time of the next
// lease expiry, the zero time if there is none.
func (g *Gateway) applyUpstreams() time.Time {
	now := time.Now()
	list, confirmed := g.state.Take(now, tracker.Upstreams)
	listed := make(map[string]tracker.ListedUpstream)
	for _, c := range list.Changes {
		if c.Upstream != nil {
			listed[c.Name] = tracker.ListedUpstream{Spec: *c.Upstream, Revision: c.Revision}
		}
	}
	active, recheckAt := g.expiry.Apply(now, confirmed, list.Era, listed)
	for id := range g.active {
		if _, ok := active[id]; !ok {
			g.forwarder.RemoveUpstream(id)
		}
	}
	for id, s := range active {
		if old, ok := g.active[id]; !ok || old != s {
			g.forwarder.PutUpstream(s)
		}
	}
	g.active = active
	return recheckAt
}
