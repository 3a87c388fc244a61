package router

import (
	"slices"
	"strings"
	"sync"
)

// Table is the routing table of a configuration. Its zero value has no routes.
type Table struct {
	spec Spec
	// hosts maps a lower-case host name to its routes, longest prefix first.
	hosts    map[string][]*ActiveRoute
	services map[string]*Service
	// customers maps the digest of each key to its customer.
	customers     map[Digest]*Customer
	ambiguousKeys int
}

// ActiveRoute is a route of a table with the state of its traffic split.
type ActiveRoute struct {
	// Route is read-only.
	*Route
	splitter *splitter
}

// NewTable validates a configuration and returns its routing table. A route that
// has the same host, prefix and split targets in old keeps the state of its
// split. For an invalid configuration it returns an error that wraps ErrInvalid
// and names the invalid field.
func NewTable(s Spec, old *Table) (*Table, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	t := &Table{spec: s, hosts: make(map[string][]*ActiveRoute), services: make(map[string]*Service)}
	t.customers, t.ambiguousKeys = customersByKey(t.spec.Customers)
	for i := range t.spec.Services {
		v := &t.spec.Services[i]
		t.services[v.Name] = v
	}
	for i := range t.spec.Routes {
		r := &t.spec.Routes[i]
		host := strings.ToLower(r.Host)
		active := &ActiveRoute{Route: r, splitter: old.splitterFor(r)}
		t.hosts[host] = append(t.hosts[host], active)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *ActiveRoute) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t, nil
}

// splitterFor returns the splitter of the same route in t if its targets are
// unchanged, and a new one otherwise. The table may be nil.
func (t *Table) splitterFor(r *Route) *splitter {
	if t != nil {
		for _, active := range t.hosts[strings.ToLower(r.Host)] {
			if active.Prefix == r.Prefix && slices.Equal(active.Targets, r.Targets) {
				return active.splitter
			}
		}
	}
	return &splitter{targets: r.Targets, currentWeights: make([]float64, len(r.Targets))}
}

// Version returns the configuration's version, or 0 for the zero table.
func (t *Table) Version() int64 { return t.spec.Version }

// Supersedes reports whether the configuration replaces that of another table, nil meaning none: it has
// a higher version, or the same one with fields that the other lacks.
func (t *Table) Supersedes(old *Table) bool { return t.spec.Supersedes(old) }

// Supersedes implements Table.Supersedes.
func (s *Spec) Supersedes(old *Table) bool {
	return old == nil || s.Version > old.spec.Version || s.Version == old.spec.Version && s.Level > old.spec.Level
}

// Limits returns the limits that apply to callers.
func (t *Table) Limits() Limits { return t.spec.Limits }

// Spec returns the configuration of the table. The caller must not modify it.
func (t *Table) Spec() Spec { return t.spec }

// Service returns the configuration of a service, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Find returns the host's route with the longest prefix of path, or nil. The path
// may include a query.
func (t *Table) Find(host, path string) *ActiveRoute {
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// MainService returns the main service of the host's route with the longest
// prefix, or an empty string if the host has no routes.
func (t *Table) MainService(host string) string {
	list := t.hosts[strings.ToLower(host)]
	if len(list) == 0 {
		return ""
	}
	return list[0].MainService()
}

// MainService returns the service with the largest weight in the route's split.
func (r *ActiveRoute) MainService() string {
	best := 0
	for i := range r.Targets {
		if r.Targets[i].Weight > r.Targets[best].Weight {
			best = i
		}
	}
	return r.Targets[best].Service
}

// NextService returns the service for the next request of the route.
func (r *ActiveRoute) NextService() string { return r.splitter.next() }

// UpcomingService returns the service that NextService would return now. It does not advance the
// split.
func (r *ActiveRoute) UpcomingService() string {
	r.splitter.mu.Lock()
	defer r.splitter.mu.Unlock()
	return r.splitter.targets[r.splitter.best()].Service
}

// splitter distributes requests over targets by smooth weighted round robin, so
// that the ratios hold over any run of requests and not only on average.
type splitter struct {
	targets []SplitTarget

	mu sync.Mutex
	// currentWeights sum to 0 between calls. Each call adds the weights of the
	// targets and selects the target with the largest sum.
	currentWeights []float64
}

func (s *splitter) next() string {
	if len(s.targets) == 1 {
		return s.targets[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	best := s.best()
	total := 0.0
	for i, target := range s.targets {
		s.currentWeights[i] += target.Weight
		total += target.Weight
	}
	s.currentWeights[best] -= total
	return s.targets[best].Service
}

// best returns the index of the target of the next request. The lock must be held.
func (s *splitter) best() int {
	best := 0
	for i, target := range s.targets {
		if s.currentWeights[i]+target.Weight > s.currentWeights[best]+s.targets[best].Weight {
			best = i
		}
	}
	return best
}
