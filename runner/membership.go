package runner

import (
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"poplarwind/announcer"
	"poplarwind/forwarder"
	"poplarwind/internal/sleeper"
	"poplarwind/placer"
	"poplarwind/resolver"
)

const (
	// minPerDomain is the least number of entries of a failure domain that
	// serve a service. It is small, so that each of them observes nearly all of
	// the service's traffic, and above 1, so that the loss of one entry causes
	// no outage.
	minPerDomain = 2
	// membershipTTL is how long a membership snapshot is reused. It is read
	// several times per request, while members change only with heartbeats.
	membershipTTL = 200 * time.Millisecond
	// ratePerCore and ratePerMbit are the requests per second that an entry is
	// assigned for each core and each Mbit/s of its link. A request with its load
	// probes takes about 1.5 ms of a core and 20 KB in both directions; half of
	// the capacity is reserved for bursts.
	ratePerCore = 300
	ratePerMbit = 6
)

// capacity returns how many requests per second an entry can serve, by the
// scarcer of cores and link. A value of 0 is unknown; the result is 0 if both are.
func capacity(cores, link float64) float64 {
	byCores, byLink := ratePerCore*cores, ratePerMbit*link
	switch {
	case byCores == 0:
		return byLink
	case byLink == 0:
		return byCores
	}
	return min(byCores, byLink)
}

// membership is a snapshot of the entries that serve callers.
type membership struct {
	at       time.Time
	all      []announcer.Member
	byDomain map[string][]announcer.Member
	// demand is the rate of requests per second that each failure domain
	// receives. It decays slowly: requests of failed entries move to others at
	// once, but those report the higher load only in their next heartbeats.
	demand map[string]float64
	// probeFractions is this entry's fraction of all load probes of an upstream,
	// by scope.
	probeFractions [placer.Scopes]float64
	// live is the number of live entries, and peak the most that were live in the last minorityTime,
	// as of peakAt.
	live, peak int
	peakAt     time.Time

	mu sync.Mutex
	// assignments caches the entries that serve a service in a failure domain.
	assignments map[assignmentKey][]announcer.Member
}

// assignmentKey identifies the assignment of a service in a failure domain.
type assignmentKey struct{ service, domain string }

// demandHalfLife is the half-life of a failure domain's demand while its entries
// report no load.
const demandHalfLife = 4 * time.Second

// newMembership returns a snapshot for the entry named self. Previous is the last
// snapshot, nil if there is none; its demand decays into the new one.
func newMembership(now time.Time, self string, live []announcer.Member, previous *membership) *membership {
	s := &membership{
		at: now, byDomain: make(map[string][]announcer.Member), demand: make(map[string]float64),
		assignments: make(map[assignmentKey][]announcer.Member),
		live:        len(live), peak: len(live), peakAt: now,
	}
	if previous != nil && previous.peak > s.live && now.Sub(previous.peakAt) <= minorityTime {
		s.peak, s.peakAt = previous.peak, previous.peakAt
	}
	for _, m := range live {
		if m.Ready {
			s.byDomain[m.Domain] = append(s.byDomain[m.Domain], m)
			s.demand[m.Domain] += m.Load
			s.all = append(s.all, m)
		}
	}
	if previous != nil {
		decay := math.Exp2(-float64(now.Sub(previous.at)) / float64(demandHalfLife))
		for d, n := range previous.demand {
			s.demand[d] = max(s.demand[d], decay*n)
		}
	}
	var own announcer.Member
	for _, m := range live {
		if m.Name == self {
			own = m
		}
	}
	s.probeFractions[placer.ScopeLocal], s.probeFractions[placer.ScopeRemote] = resolver.ProbeQuota(own, s.all)
	return s
}

// minorityTime is how long an entry that sees fewer than half of the others that it saw before counts
// as cut off. Partitions that operators expect last seconds; if most entries were stopped
// instead, this delays only requests to cold upstreams.
const minorityTime = time.Minute

// isMinority reports whether fewer than half of the entries are live that were lately. The entry is then
// probably the one that is cut off from the others.
func (s *membership) isMinority() bool { return 2*s.live < s.peak }

// assigned returns the entries of a failure domain that serve a service. The
// caller must not modify the slice.
func (s *membership) assigned(service, domain string) []announcer.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := assignmentKey{service, domain}
	list, ok := s.assignments[key]
	if !ok {
		list = resolver.Assign(service, s.byDomain[domain], s.demand[domain], minPerDomain)
		s.assignments[key] = list
	}
	return list
}

// membership returns a snapshot that is at most membershipTTL old. An empty
// snapshot is not reused: this entry may become ready at any time, and callers
// must then get its address without delay.
func (g *Gateway) membership() *membership {
	now := time.Now()
	s := g.membershipCache.Load()
	if s != nil && len(s.all) > 0 && now.Sub(s.at) <= membershipTTL {
		return s
	}
	live := slices.Clone(g.table.Live(now))
	for i := range live {
		if live[i].Name == g.process.Name() {
			live[i].Ready = g.serving()
		}
	}
	s = newMembership(now, g.process.Name(), live, s)
	g.membershipCache.Store(s)
	return s
}

// assignedAll returns the entries of all failure domains that serve a service.
func (s *membership) assignedAll(service string) []announcer.Member {
	var list []announcer.Member
	for _, d := range slices.Sorted(maps.Keys(s.byDomain)) {
		list = append(list, s.assigned(service, d)...)
	}
	return list
}

// entriesFor returns the entries that callers in a failure domain should use
// for a service: those assigned to it there, and also those of the other
// failure domains if there are fewer than minPerDomain or their total capacity
// is below the demand. The demand is not considered if the capacity of one of
// them is unknown.
func (s *membership) entriesFor(service, domain string) []announcer.Member {
	local := s.assigned(service, domain)
	capacity, reported := 0.0, true
	for _, m := range local {
		capacity += m.Capacity
		reported = reported && m.Capacity > 0
	}
	if len(local) >= minPerDomain && (!reported || capacity >= s.demand[domain]) {
		return local
	}
	entries := slices.Clone(local)
	for _, m := range s.assignedAll(service) {
		if m.Domain != domain {
			entries = append(entries, m)
		}
	}
	return entries
}

// resolve returns the addresses of the entries that callers in a failure domain
// should use for a host, and how long they may use them.
func (g *Gateway) resolve(host, domain string) ([]string, time.Duration) {
	service := ""
	if t := g.forwarder.Table(); t != nil {
		service = t.MainService(host)
	}
	var out []string
	for _, m := range g.membership().entriesFor(service, domain) {
		out = append(out, m.Callers)
	}
	return out, g.process.TTL()
}

// entries returns the set of entries for a service as this entry sees it.
func (g *Gateway) entries(service string) forwarder.EntrySet {
	return g.membership().entrySet(g.process.Name(), service, time.Since(g.start))
}

// membershipSettleTime is the time after its start in which an entry learns of all others.
const membershipSettleTime = 3500 * time.Millisecond

// entrySet returns the number of entries, the number of those that serve a service, and
// whether the one named self, which was started uptime ago, is one of them.
func (s *membership) entrySet(self, service string, uptime time.Duration) forwarder.EntrySet {
	e := forwarder.EntrySet{Total: max(1, len(s.all)), Starting: uptime < membershipSettleTime, ProbeFraction: s.probeFractions}
	total, own := 0.0, 0.0
	for d := range s.byDomain {
		list := s.assigned(service, d)
		e.Assigned += len(list)
		for _, m := range list {
			total += m.Load + baseLoad
			if m.Name == self {
				e.IsAssigned, own = true, m.Load+baseLoad
			}
		}
	}
	e.Assigned = max(1, e.Assigned)
	if total > 0 {
		e.LoadFraction = own / total
	}
	return e
}

// baseLoad is added to the load of each assigned entry, in requests per second, so
// that an entry without load yet has a fraction of the retries.
const baseLoad = 1

// rateEstimator derives a rate from a counter by an exponentially weighted moving
// average that follows a rise within a second and a fall in several seconds, so
// that short lulls do not change which entries serve a service.
type rateEstimator struct {
	count int64
	at    time.Time
	rate  float64
}

const (
	// riseWeight and fallWeight are the weights of a new sample, one per
	// heartbeat.
	riseWeight = 0.5
	fallWeight = 0.1
)

// update records the counter's value at a time and returns the rate per second.
func (e *rateEstimator) update(now time.Time, count int64) float64 {
	if elapsed := now.Sub(e.at).Seconds(); !e.at.IsZero() && elapsed > 0 {
		sample := float64(count-e.count) / elapsed
		weight := fallWeight
		if sample > e.rate {
			weight = riseWeight
		}
		e.rate += weight * (sample - e.rate)
	}
	e.count, e.at = count, now
	return e.rate
}

// readyPollInterval is how often an entry that is not ready checks whether it
// has become so.
const readyPollInterval = 20 * time.Millisecond

// reportStatus updates what this entry's heartbeats report: whether it serves
// callers, and its request rate.
func (g *Gateway) reportStatus(ctx context.Context) error {
	var arrivals rateEstimator
	for ctx.Err() == nil {
		g.forwarder.UpdateLimits()
		ready, interval := g.ready(), g.process.HeartbeatInterval()
		g.table.SetLoad(g.serving(), math.Round(arrivals.update(time.Now(), g.forwarder.Arrived())))
		if !ready {
			interval = readyPollInterval
		}
		sleeper.Sleep(ctx, interval)
	}
	return nil
}
