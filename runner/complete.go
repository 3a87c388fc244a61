package runner

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"poplarwind/internal/sleeper"
	"poplarwind/router"
	"poplarwind/tracker"
)

const (
	// completeDelay is the longest time, drawn at random, before an entry reads a configuration that
	// lacks fields: most entries learn of it at the same time.
	completeDelay = 300 * time.Millisecond
	// completeTimeout bounds the read.
	completeTimeout = time.Second
	// minCompletePause and maxCompletePause bound the pause after a failed read, which doubles.
	minCompletePause = time.Second
	maxCompletePause = 8 * time.Second
)

// acceptable reports whether a configuration that another entry has passed on may be put in force. One
// that lacks fields must be read from the store first. If that fails, it is accepted unless the one in
// force has customers: requests would then pass without keys, and keys to upstreams.
func (g *Gateway) acceptable(s *router.Spec) bool {
	if s.Level >= router.SpecLevel {
		return true
	}
	t := g.forwarder.Table()
	return s.Version <= g.unread.Load() && (t == nil || !t.HasCustomers())
}

// incompleteConfig returns the configuration of the replica that lacks fields and supersedes the one in
// force as soon as it is complete, nil if there is none.
func (g *Gateway) incompleteConfig() *router.Spec {
	for _, c := range g.state.All(tracker.Configs) {
		if c.Config == nil || c.Config.Level >= router.SpecLevel {
			continue
		}
		complete := router.Spec{Version: c.Config.Version, Level: router.SpecLevel}
		if complete.Supersedes(g.forwarder.Table()) {
			return c.Config
		}
	}
	return nil
}

// completeConfigs reads configurations that entries of earlier builds have passed on without some fields
// from the store, until ctx ends.
func (g *Gateway) completeConfigs(ctx context.Context) error {
	for pause := minCompletePause; ctx.Err() == nil; {
		changed := g.state.Changed()
		s := g.incompleteConfig()
		if s == nil {
			pause = minCompletePause
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		sleeper.Sleep(ctx, rand.N(completeDelay))
		err := g.completeConfig(ctx, s.Version)
		if err == nil {
			continue
		}
		g.log.Warn("configuration that lacks fields can't be read from the store", "version", s.Version, "level", s.Level, "pause_ms", pause.Milliseconds(), "error", err.Error())
		g.unread.Store(s.Version)
		g.applyConfig()
		sleeper.Sleep(ctx, pause)
		pause = min(2*pause, maxCompletePause)
	}
	return nil
}

// completeConfig reads the configuration from the store and applies it. It returns an error if its version
// is below the given one, as the store may have fallen behind.
func (g *Gateway) completeConfig(ctx context.Context, version int64) error {
	limited, cancel := context.WithTimeout(ctx, completeTimeout)
	defer cancel()
	d, err := g.store.List(limited, tracker.Configs, false)
	if err != nil {
		return errors.Trace(err)
	}
	for _, c := range d.Changes {
		if c.Config != nil && c.Config.Version >= version {
			g.state.CompleteConfig(c.Name, c.Revision, c.Config)
			g.applySpec(c.Config, c.Revision)
			return g.checkComplete(version)
		}
	}
	return errors.NotFoundf("configuration of version %d", version)
}

// checkComplete returns an error if the configuration in force is older than a version or lacks fields.
func (g *Gateway) checkComplete(version int64) error {
	s := router.Spec{Version: version, Level: router.SpecLevel}
	if s.Supersedes(g.forwarder.Table()) {
		return errors.NotValidf("configuration of version %d", version)
	}
	return nil
}
