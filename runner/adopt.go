package runner

import (
	"context"
	"time"

	"poplarwind/placer"
	"poplarwind/router"
	"poplarwind/tracker"
)

// adopt puts what the store says in force as it changes.
func (g *Gateway) adopt(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := g.state.Changed()
		g.adoptConfig()
		next := g.adoptUpstreams()
		var look <-chan time.Time
		if !next.IsZero() {
			look = time.After(time.Until(next))
		}
		select {
		case <-changed:
		case <-look:
		case <-ctx.Done():
		}
	}
	return nil
}

// adoptConfig puts the newest configuration in force if it is newer than the
// one that is.
func (g *Gateway) adoptConfig() {
	for _, c := range g.state.All(tracker.Configs) {
		if c.Config == nil {
			continue
		}
		old := g.forwarder.Table()
		if old != nil && c.Config.Version <= old.Version() {
			continue
		}
		t, err := router.NewTable(*c.Config, old)
		if err != nil {
			g.log.Warn("configuration refused", "version", c.Config.Version, "rev", c.Revision, "error", err.Error())
			continue
		}
		g.forwarder.Configure(t)
		g.log.Info("configuration in force", "version", t.Version(), "rev", c.Revision, "routes", len(c.Config.Routes))
	}
}

// adoptUpstreams brings the upstreams in use in step. It returns when to look
// again.
func (g *Gateway) adoptUpstreams() time.Time {
	named := make(map[string]placer.Spec)
	for _, c := range g.state.All(tracker.Upstreams) {
		if c.Upstream != nil {
			named[c.Name] = *c.Upstream
		}
	}
	use, next := g.lapse.Step(time.Now(), named)
	for id := range g.used {
		if _, ok := use[id]; !ok {
			g.forwarder.Remove(id)
		}
	}
	for id, s := range use {
		if old, ok := g.used[id]; !ok || old != s {
			g.forwarder.Put(s)
		}
	}
	g.used = use
	return next
}
