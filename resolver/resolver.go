package resolver

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"poplarwind/announcer"
	"poplarwind/parser"
)

// Path is where callers ask which entries to use.
const Path = "/.poplarwind/entries"

// Answer tells a caller which entries to use for a service.
type Answer struct {
	// Service is the settings path that was asked about.
	Service string `json:"service"`
	// Entries are in the order in which to try them.
	Entries []Address `json:"entries"`
	// First counts the entries that carry the service; the others serve it
	// too and are for when those fail.
	First int `json:"first"`
	// TTL is how long to keep the answer, in milliseconds.
	TTL int64 `json:"ttl"`
}

// Address is an entry that a caller may connect to.
type Address struct {
	Name   string `json:"name"`
	Addr   string `json:"addr"`
	Domain string `json:"domain"`
	Region string `json:"region,omitempty"`
}

// Resolver answers callers. All fields of Options must be set.
type Resolver struct {
	options Options

	mu sync.Mutex
	// plan is what subsets are worked out from, nil before the first.
	plan *plan
}

// Options set a Resolver.
type Options struct {
	// Service returns the accepted settings of a path, or nil.
	Service func(path string) *parser.Service
	// Live returns the live entries.
	Live func() []announcer.Member
	// Region is this entry's own: its entries come first.
	Region string
	TTL    time.Duration
}

// New returns a resolver.
func New(o Options) *Resolver { return &Resolver{options: o} }

// Subset returns the live entries that carry the service, in this entry's
// region if there are any, and all live entries in order. The slices are
// shared and must not be changed; they stay the same while the membership
// does.
func (r *Resolver) Subset(s *parser.Service) (first, ranked []announcer.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.plan == nil || now.After(r.plan.until) {
		r.plan = r.plan.next(now, r.options.Live(), r.options.Region)
	}
	return r.plan.subset(s)
}

// split parts the members of a region from the others. If there are none, all
// count as near.
func split(live []announcer.Member, region string) (near, far []announcer.Member) {
	for _, m := range live {
		if m.Region == region || m.Region == "" {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	if len(near) == 0 {
		return far, nil
	}
	return near, far
}

// Resolve answers for a service. Callers that take the first entry of their
// answer spread over those that carry the service.
func (r *Resolver) Resolve(s *parser.Service) Answer {
	first, ranked := r.Subset(s)
	n := len(first)
	ranked = slices.Clone(ranked)
	rand.Shuffle(n, func(i, j int) { ranked[i], ranked[j] = ranked[j], ranked[i] })
	a := Answer{Service: s.Path(), First: n, TTL: r.options.TTL.Milliseconds(), Entries: []Address{}}
	for _, m := range ranked {
		a.Entries = append(a.Entries, Address{Name: m.Name, Addr: m.Callers, Domain: m.Domain, Region: m.Region})
	}
	return a
}

// Handle serves one question of a caller.
func (r *Resolver) Handle(ctx *fasthttp.RequestCtx) {
	s := r.options.Service(string(ctx.QueryArgs().Peek("service")))
	if s == nil {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		ctx.SetContentType("application/json")
		ctx.SetBodyString(`{"error":"no such service"}`)
		return
	}
	body, err := json.Marshal(r.Resolve(s))
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
