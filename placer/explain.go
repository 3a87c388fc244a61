package placer

import (
	"slices"
	"time"
)

//go:generate go tool stringer -type=Obstacle -linecomment -output=obstacle_string.go

// Obstacle is the reason for which no request may be sent to an upstream.
type Obstacle int

// The obstacles, in the order in which they are checked.
const (
	// NoObstacle means that a request may be sent.
	NoObstacle Obstacle = iota // none
	// ObstacleRemoved means that it was removed, or another one responds at its address.
	ObstacleRemoved // removed
	// ObstacleDraining means that its service discovery record says that it drains.
	ObstacleDraining // draining
	// ObstacleLeaving means that it has told this entry that it leaves.
	ObstacleLeaving // leaving
	// ObstacleEvacuated means that its failure domain is evacuated.
	ObstacleEvacuated // domain evacuated
	// ObstacleEjected means that it is ejected after failures.
	ObstacleEjected // ejected
	// ObstaclePaused means that it has asked this entry for a pause.
	ObstaclePaused // paused
	// ObstacleLimit means that this entry has used its portion of the rate limit.
	ObstacleLimit // portion of the rate limit used
	// ObstacleNoLimitPortion means that this entry has no portion of the rate limit.
	ObstacleNoLimitPortion // rate limited, no portion
	// ObstacleCold means that this entry has used its portion of the warm-up rate.
	ObstacleCold // cold, portion used
	// ObstacleNoColdPortion means that this entry has no portion of the warm-up rate.
	ObstacleNoColdPortion // cold, no portion
	// ObstacleTrial means that the first request after a pause has no response yet.
	ObstacleTrial // trial after a pause
	// ObstacleFull means that it is estimated to have no free slot.
	ObstacleFull // full
)

// departureObstacle returns the obstacle if the upstream is removed or shuts down.
func (u *Upstream) departureObstacle() Obstacle {
	switch {
	case u.removed:
		return ObstacleRemoved
	case u.spec.Draining:
		return ObstacleDraining
	case u.process.departure == Leaving:
		return ObstacleLeaving
	}
	return NoObstacle
}

// obstacle returns the obstacle apart from rates and slots.
func (u *Upstream) obstacle(now time.Time) Obstacle {
	if o := u.departureObstacle(); o != NoObstacle {
		return o
	}
	switch {
	case u.evacuated:
		return ObstacleEvacuated
	case u.Ejected(now):
		return ObstacleEjected
	case u.Paused(now):
		return ObstaclePaused
	}
	return NoObstacle
}

// obstacle returns the obstacle apart from slots.
func (f *Fleet) obstacle(now time.Time, u *Upstream) Obstacle {
	if o := u.obstacle(now); o != NoObstacle {
		return o
	}
	switch {
	case !u.limit.allows(now) && u.limit.fraction == 0:
		return ObstacleNoLimitPortion
	case !u.limit.allows(now):
		return ObstacleLimit
	case !f.warmupAllows(now, u) && u.warmup.fraction == 0:
		return ObstacleNoColdPortion
	case !f.warmupAllows(now, u):
		return ObstacleCold
	case !u.process.pause.allows(now):
		return ObstacleTrial
	}
	return NoObstacle
}

// Explanation is what the choice of an upstream follows from.
type Explanation struct {
	Upstream *Upstream
	Obstacle Obstacle
	// Cost is the cost by which the upstream is chosen, and ProbeCost the one by which the
	// upstreams to probe are ordered. That of a request has jitter in addition.
	Cost, ProbeCost float64
	// Order is the position in which the upstream would be probed, from 1, or 0 if it would not be.
	Order int
	Scope Scope
	// Probed reports whether it would be among the upstreams that are probed in their scope.
	Probed bool
}

// Explain returns what the choice of an upstream follows from: those that may be probed in the
// order in which they would be, those of the entry's failure domain first, then the others. N
// is the number of load probes in a scope. Explain changes nothing and draws no random number.
func (f *Fleet) Explain(now time.Time, n int) []Explanation {
	out := make([]Explanation, 0, len(f.upstreams))
	for scope := range Scopes {
		var ranked []candidate
		tokens, probes, rate := 0.0, 0, f.ProbeRates[scope]
		for _, u := range f.upstreams {
			if f.probeable(now, u) && f.inScope(now, u, scope) {
				ranked = append(ranked, candidate{upstream: u, cost: f.probeCost(now, u)})
				tokens += u.probeTokensLeft(now, rate)
			}
		}
		slices.SortStableFunc(ranked, byCost)
		for _, c := range ranked {
			e := f.explain(now, c.upstream)
			e.Order, e.Scope = len(out)+1, scope
			if probes < probeCount(n, tokens) && c.upstream.probeTokensLeft(now, rate) >= 1 {
				e.Probed = true
				probes++
			}
			out = append(out, e)
		}
	}
	for _, u := range f.upstreams {
		if !slices.ContainsFunc(out, func(e Explanation) bool { return e.Upstream == u }) {
			out = append(out, f.explain(now, u))
		}
	}
	return out
}

func (f *Fleet) explain(now time.Time, u *Upstream) Explanation {
	e := Explanation{Upstream: u, Obstacle: f.obstacle(now, u), Cost: f.effectiveCost(now, u), ProbeCost: f.probeCost(now, u)}
	if e.Obstacle == NoObstacle && !u.hasRoom(now) {
		e.Obstacle = ObstacleFull
	}
	return e
}
