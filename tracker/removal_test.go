package tracker

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"poplarwind/placer"
)

const (
	removalUpstreams = 8
	// removalDrain is the time within which requests to a removed upstream must have ceased.
	removalDrain = 2 * time.Second
)

// upstreamChanges returns the upstreams as of a revision at which some were removed, as a watch
// from before it reports them if it is one.
func upstreamChanges(removed, watch bool) []Change {
	var out []Change
	for i := range removalUpstreams {
		id := fmt.Sprint("u", i)
		c := Change{Name: id, Revision: 1, Upstream: &placer.Spec{ID: id, Service: "s"}}
		gone := removed && i%2 == 0
		switch {
		case gone && watch:
			out = append(out, Change{Name: id, Removed: true})
		case !gone && !watch:
			out = append(out, c)
		}
	}
	return out
}

// removalSource is a store whose upstreams change once: half of them are removed together.
type removalSource struct {
	storeSource
}

func (s removalSource) delta(d Delta, err error) (Delta, error) {
	if err == nil {
		d.Changes = upstreamChanges(d.AsOf > 1, !d.Snapshot)
		if !d.Snapshot && d.After == d.AsOf {
			d.Changes = nil
		}
	}
	return d, err
}

func (s removalSource) List(ctx context.Context, k Kind, stale bool) (Delta, error) {
	return s.delta(s.storeSource.List(ctx, k, stale))
}

func (s removalSource) Watch(ctx context.Context, k Kind, after uint64, wait time.Duration) (Delta, error) {
	d, err := s.storeSource.Watch(ctx, Configs, after, wait)
	d.Kind = k
	return s.delta(d, err)
}

// followRemoval applies the changes of an entry's replica as an entry does, and returns when an
// upstream that the store has removed was last in use.
func followRemoval(s *State, until time.Time) time.Time {
	f := ExpiryFilter{Drain: removalDrain}
	last := time.Now()
	for time.Now().Before(until) {
		changed, now := s.Changed(), time.Now()
		d, confirmed := s.Take(now, Upstreams)
		listed := make(map[string]ListedUpstream)
		for _, c := range d.Changes {
			listed[c.Name] = ListedUpstream{Spec: *c.Upstream, Revision: c.Revision}
		}
		use, next := f.Apply(now, confirmed, d.Era, listed)
		if _, ok := use["u0"]; ok {
			last = now
		}
		wait := until
		if !next.IsZero() {
			wait = next
		}
		select {
		case <-changed:
		case <-time.After(time.Until(wait)):
		}
		if _, ok := use["u0"]; ok {
			last = time.Now()
		}
	}
	return last
}

// TestRemovalAfterKillOfWatcher kills the entry that watches the store at ten phases of its watch. A
// tenth of a second later half of the upstreams of a service are removed from the store together,
// which looks like an expiry; in every other phase another change follows at once. No entry may use one of them for longer than allowed.
func TestRemovalAfterKillOfWatcher(t *testing.T) {
	longest := time.Duration(0)
	for phase := range 10 {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			c := startCluster(ctx, 9)
			for name, tr := range c.trackers {
				tr.source = removalSource{storeSource{c.store, name}}
				go func() { _ = tr.Follow(ctx, Upstreams) }()
			}
			time.Sleep(6*time.Second + time.Duration(phase)*watchWait/10)
			c.mu.Lock()
			c.store.mu.Lock()
			c.store.hangs["e00"], c.partitioned["e00"] = true, true
			c.store.mu.Unlock()
			c.mu.Unlock()
			time.Sleep(100 * time.Millisecond)
			removed := time.Now()
			results := make(chan time.Duration, len(c.trackers))
			for name, s := range c.states {
				if name == "e00" {
					continue
				}
				go func() { results <- followRemoval(s, removed.Add(5*time.Second)).Sub(removed) }()
			}
			synctest.Wait()
			c.store.write()
			if phase%2 > 0 {
				time.Sleep(5 * time.Millisecond)
				c.store.write()
			}
			for range len(c.trackers) - 1 {
				took := <-results
				longest = max(longest, took)
				if took > removalDrain {
					t.Errorf("phase %d: got: in use %v after the removal want: at most %v", phase, took, removalDrain)
				}
			}
			cancel()
			time.Sleep(5 * time.Second)
		})
	}
	t.Logf("longest: %v", longest)
}
