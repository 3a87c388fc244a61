package placer

import (
	"maps"
	"time"
)

// SetEvacuated sets the failure domains whose upstreams are not usable. Requests in flight are not
// affected. After the end of an evacuation the upstreams count as cold until a load probe says
// otherwise: they had no requests for some time. It reports whether the set has changed.
func (f *Fleet) SetEvacuated(now time.Time, domains map[string]bool) bool {
	if maps.Equal(f.evacuated, domains) {
		return false
	}
	f.evacuated = maps.Clone(domains)
	for _, u := range f.upstreams {
		was := u.evacuated
		u.evacuated = f.evacuated[u.spec.Domain]
		if was && !u.evacuated && f.warmupTime > 0 {
			f.assumeWarmup(now, u, max(f.warmupTime, u.warmup.until.Sub(now)))
		}
	}
	return true
}

// Evacuated reports whether the failure domain of the upstream is evacuated.
func (u *Upstream) Evacuated() bool { return u.evacuated }

// AllEvacuated reports whether there are upstreams that would accept requests if their failure domains
// were not evacuated, and no others.
func (f *Fleet) AllEvacuated() bool {
	evacuated := false
	for _, u := range f.upstreams {
		if u.departed() {
			continue
		}
		if !u.evacuated {
			return false
		}
		evacuated = true
	}
	return evacuated
}

// departed reports whether the upstream is removed or shuts down.
func (u *Upstream) departed() bool { return u.departureObstacle() != NoObstacle }
