package runner

import (
	"context"
	"time"

	"poplarwind/router"
	"poplarwind/tracker"
)

// applyStoreChanges applies the configuration and the upstream list each time
// the local state changes, and again when the next lease expires.
func (g *Gateway) applyStoreChanges(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := g.state.Changed()
		g.applyConfig()
		recheckAt := g.applyUpstreams()
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
	old := g.forwarder.Table()
	if !s.Supersedes(old) {
		return
	}
	t, err := router.NewTable(*s, old)
	if err != nil {
		g.log.Warn("configuration refused", "version", s.Version, "rev", revision, "error", err.Error())
		return
	}
	if !g.forwarder.Configure(t) {
		return
	}
	g.quotas.configure(time.Now(), s)
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
