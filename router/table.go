package router

import (
	"slices"
	"strings"
	"sync"
)

// Table is a configuration in force. Its zero value has no routes.
type Table struct {
	spec Spec
	// hosts holds the routes of each host, longest prefix first.
	hosts    map[string][]*Path
	services map[string]*Service
}

// Path is a route of a table with the state of its split.
type Path struct {
	// Route is not changed.
	*Route
	split *splitter
}

// NewTable checks a configuration and makes a table of it. Splits of routes
// that old has with the same parts go on where they were. It returns an error
// that is ErrInvalid and names the field at fault.
func NewTable(s Spec, old *Table) (*Table, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	t := &Table{spec: s, hosts: make(map[string][]*Path), services: make(map[string]*Service)}
	for i := range t.spec.Services {
		v := &t.spec.Services[i]
		t.services[v.Name] = v
	}
	for i := range t.spec.Routes {
		r := &t.spec.Routes[i]
		host := strings.ToLower(r.Host)
		p := &Path{Route: r, split: old.splitOf(r)}
		t.hosts[host] = append(t.hosts[host], p)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Path) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t, nil
}

func (t *Table) splitOf(r *Route) *splitter {
	if t != nil {
		for _, p := range t.hosts[strings.ToLower(r.Host)] {
			if p.Prefix == r.Prefix && slices.Equal(p.Parts, r.Parts) {
				return p.split
			}
		}
	}
	return &splitter{parts: r.Parts, credit: make([]float64, len(r.Parts))}
}

// Version returns the configuration's version, 0 for none.
func (t *Table) Version() int64 { return t.spec.Version }

// Limits returns the bounds on callers.
func (t *Table) Limits() Limits { return t.spec.Limits }

// Spec returns the configuration that the table was made of. It must not be
// changed.
func (t *Table) Spec() Spec { return t.spec }

// Service returns what the configuration tells of a service, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Find returns the route with the longest prefix that begins the path, among
// those of the host, or nil. The path may carry a query.
func (t *Table) Find(host, path string) *Path {
	for _, p := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, p.Prefix) {
			return p
		}
	}
	return nil
}

// Host returns the service that most requests of a host go to, empty if the
// host has no routes.
func (t *Table) Host(host string) string {
	list := t.hosts[strings.ToLower(host)]
	if len(list) == 0 {
		return ""
	}
	return list[0].Main()
}

// Main returns the service with the largest weight of the route.
func (p *Path) Main() string {
	best := 0
	for i := range p.Parts {
		if p.Parts[i].Weight > p.Parts[best].Weight {
			best = i
		}
	}
	return p.Parts[best].Service
}

// Next returns the service that the next request of the route goes to.
func (p *Path) Next() string { return p.split.next() }

// splitter deals requests out to parts by smooth weighted round robin, so that
// the shares hold over any stretch and not on average only.
type splitter struct {
	parts []Part

	mu sync.Mutex
	// credit sums to 0; the part with the most is next.
	credit []float64
}

func (s *splitter) next() string {
	if len(s.parts) == 1 {
		return s.parts[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	best, total := 0, 0.0
	for i, p := range s.parts {
		s.credit[i] += p.Weight
		total += p.Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= total
	return s.parts[best].Service
}
