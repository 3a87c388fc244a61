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
	// perDomain is how many entries of a failure domain carry a service at
	// least: few, so that what each counts is nearly all that there is, and more
	// than one, so that the loss of one is no outage.
	perDomain = 2
	// censusLife is how long a census is used: it is looked at several times for
	// each request, and members come and go by heartbeats.
	censusLife = 200 * time.Millisecond
	// perCore and perMbit are the requests a second that an entry is meant to
	// carry for each core and each Mbit/s it has. A request with its load
	// queries takes about 1.5 ms of a core and 20 KB both ways, as measured on
	// days of the users' bench; half of it is left for bursts.
	perCore = 300
	perMbit = 6
)

// power returns how many requests a second an entry can carry, 0 if untold.
func power(cores, link float64) float64 {
	byCores, byLink := perCore*cores, perMbit*link
	switch {
	case byCores == 0:
		return byLink
	case byLink == 0:
		return byCores
	}
	return min(byCores, byLink)
}

// census is the entries that serve callers, as of one moment.
type census struct {
	at       time.Time
	all      []announcer.Member
	byDomain map[string][]announcer.Member
	// demand is the requests a second that each failure domain gets. It falls
	// slowly: what entries that are gone carried comes to others at once, which
	// tell of it only in their next heartbeats.
	demand map[string]float64
	// questions is the part of all questions for the load of an upstream that
	// self may ask.
	questions [placer.Scopes]float64

	mu sync.Mutex
	// carriers holds what was worked out so far, by service and failure domain.
	carriers map[post][]announcer.Member
}

// post is the carrying of a service in a failure domain.
type post struct{ service, domain string }

// demandHalf is the time in which the demand of a failure domain halves whose
// entries tell of no load.
const demandHalf = 4 * time.Second

// newCensus takes a census for the entry named self. Before is the last one, nil
// if there is none.
func newCensus(now time.Time, self string, live []announcer.Member, before *census) *census {
	c := &census{
		at: now, byDomain: make(map[string][]announcer.Member), demand: make(map[string]float64),
		carriers: make(map[post][]announcer.Member),
	}
	for _, m := range live {
		if m.Ready {
			c.byDomain[m.Domain] = append(c.byDomain[m.Domain], m)
			c.demand[m.Domain] += m.Load
			c.all = append(c.all, m)
		}
	}
	if before != nil {
		kept := math.Exp2(-float64(now.Sub(before.at)) / float64(demandHalf))
		for d, n := range before.demand {
			c.demand[d] = max(c.demand[d], kept*n)
		}
	}
	var own announcer.Member
	for _, m := range live {
		if m.Name == self {
			own = m
		}
	}
	c.questions[placer.Near], c.questions[placer.Far] = resolver.Share(own, c.all)
	return c
}

// in returns the entries of a failure domain that carry a service. The list
// must not be changed.
func (c *census) in(service, domain string) []announcer.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := post{service, domain}
	list, ok := c.carriers[p]
	if !ok {
		list = resolver.Carry(service, c.byDomain[domain], c.demand[domain], perDomain)
		c.carriers[p] = list
	}
	return list
}

// census returns the census of now. One that found nobody is not kept: this
// entry may serve from one moment to the next, and callers are then to hear of it.
func (g *Gateway) census() *census {
	now := time.Now()
	c := g.counted.Load()
	if c != nil && len(c.all) > 0 && now.Sub(c.at) <= censusLife {
		return c
	}
	live := g.table.Live(now)
	for i := range live {
		if live[i].Name == g.process.Name() {
			live[i].Ready = g.ready()
		}
	}
	c = newCensus(now, g.process.Name(), live, c)
	g.counted.Store(c)
	return c
}

// carry returns the entries of all failure domains that carry a service.
func (c *census) carry(service string) []announcer.Member {
	var list []announcer.Member
	for _, d := range slices.Sorted(maps.Keys(c.byDomain)) {
		list = append(list, c.in(service, d)...)
	}
	return list
}

// answer returns the entries that callers of a service in a failure domain are to
// use: those that carry it there, and those of the other failure domains too if
// there are not enough of them, or if together they can't carry the demand.
func (c *census) answer(service, domain string) []announcer.Member {
	near := c.in(service, domain)
	power, told := 0.0, true
	for _, m := range near {
		power += m.Power
		told = told && m.Power > 0
	}
	if len(near) >= perDomain && (!told || power >= c.demand[domain]) {
		return near
	}
	list := slices.Clone(near)
	for _, m := range c.carry(service) {
		if m.Domain != domain {
			list = append(list, m)
		}
	}
	return list
}

// resolve returns the entries that callers of a host in a failure domain are to
// use, and for how long.
func (g *Gateway) resolve(host, domain string) ([]string, time.Duration) {
	service := ""
	if t := g.forwarder.Table(); t != nil {
		service = t.Host(host)
	}
	var out []string
	for _, m := range g.census().answer(service, domain) {
		out = append(out, m.Callers)
	}
	return out, g.process.TTL()
}

// entries returns how many entries there are and how many carry a service.
func (g *Gateway) entries(service string) forwarder.Entries {
	c := g.census()
	e := forwarder.Entries{All: max(1, len(c.all)), Questions: c.questions}
	for d := range c.byDomain {
		list := c.in(service, d)
		e.Carriers += len(list)
		e.Carries = e.Carries || slices.ContainsFunc(list, func(m announcer.Member) bool { return m.Name == g.process.Name() })
	}
	e.Carriers = max(1, e.Carriers)
	return e
}

// gauge turns a count into a rate that follows a rise within a second and a
// fall in some, so that the entries that carry a service don't change with each
// lull.
type gauge struct {
	count int64
	at    time.Time
	rate  float64
}

const (
	// riseShare and fallShare are the weights of one heartbeat's count.
	riseShare = 0.5
	fallShare = 0.1
)

// step takes in the count at a time and returns the rate a second.
func (g *gauge) step(now time.Time, count int64) float64 {
	if span := now.Sub(g.at).Seconds(); !g.at.IsZero() && span > 0 {
		sample := float64(count-g.count) / span
		share := fallShare
		if sample > g.rate {
			share = riseShare
		}
		g.rate += share * (sample - g.rate)
	}
	g.count, g.at = count, now
	return g.rate
}

// readyEvery is how often an entry that does not serve callers yet looks
// whether it can.
const readyEvery = 20 * time.Millisecond

// report has heartbeats tell whether this entry serves callers, and how many
// requests it gets.
func (g *Gateway) report(ctx context.Context) error {
	var r gauge
	for ctx.Err() == nil {
		ready, pause := g.ready(), g.process.Beat()
		g.table.Report(ready, math.Round(r.step(time.Now(), g.forwarder.Arrived())))
		if !ready {
			pause = readyEvery
		}
		sleeper.Sleep(ctx, pause)
	}
	return nil
}
