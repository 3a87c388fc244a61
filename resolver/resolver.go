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

// EntriesPath is the URL path at which callers query the entries to use.
const EntriesPath = "/.poplarwind/entries"

// Response is the response to a caller: the entries to use for a service.
type Response struct {
	// Service is the settings path of the service.
	Service string `json:"service"`
	// Entries are in the order in which to try them.
	Entries []Address `json:"entries"`
	// SubsetSize is the number of entries in the service's subset. The others can
	// serve it too, as fallbacks.
	SubsetSize int `json:"first"`
	// TTL is how long callers may cache the response, in milliseconds.
	TTL int64 `json:"ttl"`
}

// Address is an entry that a caller may connect to.
type Address struct {
	Name   string `json:"name"`
	Addr   string `json:"addr"`
	Domain string `json:"domain"`
	Region string `json:"region,omitempty"`
}

// Resolver responds to callers' queries for the entries of a service.
type Resolver struct {
	options Options

	mu sync.Mutex
	// cache holds the rankings for the current membership, nil before the first
	// query.
	cache *rankingCache
}

// Options configures a Resolver. All fields must be set.
type Options struct {
	// Service returns the accepted settings of a path, or nil.
	Service func(path string) *parser.Service
	// Live returns the live entries.
	Live func() []announcer.Member
	// Region is this entry's region. Entries of this region come first.
	Region string
	TTL    time.Duration
}

// New returns a Resolver with the given options.
func New(o Options) *Resolver { return &Resolver{options: o} }

// Subset returns the live entries that serve the service, from this entry's
// region if it has any, and the ranking of all live entries. The slices are
// shared and must not be modified. They stay the same as long as the membership
// and the size of the subset do.
func (r *Resolver) Subset(s *parser.Service) (subset, ranked []announcer.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.cache == nil || now.After(r.cache.expiresAt) {
		r.cache = r.cache.renew(now, r.options.Live(), r.options.Region)
	}
	return r.cache.subset(s)
}

// partition separates the members of a region, including those without a
// region, from the others. If there are none, all members count as local.
func partition(live []announcer.Member, region string) (local, remote []announcer.Member) {
	for _, m := range live {
		if m.Region == region || m.Region == "" {
			local = append(local, m)
		} else {
			remote = append(remote, m)
		}
	}
	if len(local) == 0 {
		return remote, nil
	}
	return local, remote
}

// Resolve returns the response for a service. The subset is in random order, so
// that callers that use the first entry are balanced over the subset.
func (r *Resolver) Resolve(s *parser.Service) Response {
	subset, ranked := r.Subset(s)
	n := len(subset)
	ranked = slices.Clone(ranked)
	rand.Shuffle(n, func(i, j int) { ranked[i], ranked[j] = ranked[j], ranked[i] })
	response := Response{Service: s.Path(), SubsetSize: n, TTL: r.options.TTL.Milliseconds(), Entries: []Address{}}
	for _, m := range ranked {
		response.Entries = append(response.Entries, Address{Name: m.Name, Addr: m.Callers, Domain: m.Domain, Region: m.Region})
	}
	return response
}

// Handle handles the query of a caller.
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
