package parser

import (
	"slices"
	"strings"
	"time"
)

// Service is the accepted settings of one service. It is immutable.
type Service struct {
	// path satisfies CheckPath and names a service.
	path string
	// spec has every default filled in and every range checked.
	spec serviceSpec
}

// Route is the settings of one group of calls to a service.
type Route struct {
	// spec has every default filled in and every range checked.
	spec routeSpec
}

type serviceSpec struct {
	Off      bool          `json:"off"`
	Slots    int           `json:"slots"`
	Conns    int           `json:"conns"`
	Subset   int           `json:"subset"`
	Rate     float64       `json:"rate"`
	Deadline time.Duration `json:"deadline"`
	Queue    int           `json:"queue"`
	Hedge    float64       `json:"hedge"`
	Retry    float64       `json:"retry"`
	Shed     bool          `json:"shed"`
	Probe    probeSpec     `json:"probe"`
	Routes   []routeSpec   `json:"routes"`
}

type probeSpec struct {
	Path  string        `json:"path"`
	Rate  float64       `json:"rate"`
	Bytes int           `json:"bytes"`
	Stale time.Duration `json:"stale"`
}

type routeSpec struct {
	Match      string        `json:"match"`
	Methods    []string      `json:"methods"`
	Class      Class         `json:"class"`
	Deadline   time.Duration `json:"deadline"`
	Idempotent bool          `json:"idempotent"`
	Key        bool          `json:"key"`
	Weight     float64       `json:"weight"`
}

func (r *routeSpec) setDefaults() {
	r.Class = Normal
	r.Weight = 1
}

// Methods that callers may use.
var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// KnownMethod reports whether callers may use the method m.
func KnownMethod(m string) bool { return slices.Contains(methods, m) }

const (
	maxDeadline = 2 * time.Minute
	maxRoutes   = 256
)

// ParseService reads the document of the service at path. File names the
// source in errors and may be empty.
func ParseService(file, path string, text []byte) (*Service, error) {
	d, err := open(file, path, text)
	if err != nil {
		return nil, err
	}
	s := serviceSpec{
		Slots: 1, Conns: 64, Subset: 2, Rate: 2000, Deadline: time.Second, Queue: 256, Hedge: 0.05, Retry: 0.1,
		Probe: probeSpec{Rate: 2, Bytes: 1024, Stale: 2 * time.Second},
	}
	if err := d.decode(&s); err != nil {
		return nil, err
	}
	if err := d.checkService(&s); err != nil {
		return nil, err
	}
	for i := range s.Routes {
		if err := d.checkRoute(&s, i); err != nil {
			return nil, err
		}
	}
	return &Service{path: path, spec: s}, nil
}

func open(file, path string, text []byte) (*document, error) {
	if err := CheckPath(path); err != nil {
		e := err.(*Error)
		e.file = file
		return nil, e
	}
	if len(text) > MaxDocument {
		return nil, &Error{file: file, path: path, cause: ErrSize, detail: "want at most 64 KiB a document"}
	}
	return &document{file: file, path: path, text: text}, nil
}

func (d *document) checkService(s *serviceSpec) error {
	if s.Probe.Path != "" && s.Probe.Path[0] != '/' {
		return d.fault("probe.path", ErrRange, "want a path that starts with /")
	}
	if len(s.Routes) > maxRoutes {
		return d.fault("routes", ErrSize, "got: %d want: at most %d", len(s.Routes), maxRoutes)
	}
	return firstOf(
		check(d, "slots", s.Slots, 1, 1024),
		check(d, "conns", s.Conns, 1, 4096),
		check(d, "subset", s.Subset, 1, 64),
		check(d, "rate", s.Rate, 1, 1e6),
		check(d, "deadline", s.Deadline, time.Millisecond, maxDeadline),
		check(d, "queue", s.Queue, 0, 65536),
		check(d, "hedge", s.Hedge, 0, 0.2),
		check(d, "retry", s.Retry, 0, 0.5),
		check(d, "probe.rate", s.Probe.Rate, 0, 100),
		check(d, "probe.bytes", s.Probe.Bytes, 0, 1<<20),
		check(d, "probe.stale", s.Probe.Stale, 10*time.Millisecond, time.Minute),
	)
}

func (d *document) checkRoute(s *serviceSpec, i int) error {
	r := &s.Routes[i]
	field := "routes[" + itoa(i) + "]."
	if r.Match == "" {
		return d.fault(field+"match", ErrMissing, "")
	}
	if r.Match[0] != '/' {
		return d.fault(field+"match", ErrRange, "want a path that starts with /")
	}
	for j, m := range r.Methods {
		if !KnownMethod(m) {
			return d.fault(field+"methods["+itoa(j)+"]", ErrRange, "got: %q want: one of %s", m, strings.Join(methods, " "))
		}
	}
	for j := range i {
		p := &s.Routes[j]
		if p.Match == r.Match && overlap(p.Methods, r.Methods) {
			return d.fault(field+"match", ErrDuplicate, "%s stands in routes[%d] too", r.Match, j)
		}
	}
	if r.Deadline == 0 {
		r.Deadline = s.Deadline
	}
	return firstOf(
		check(d, field+"deadline", r.Deadline, time.Millisecond, maxDeadline),
		check(d, field+"weight", r.Weight, 0, 1000),
	)
}

func overlap(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return len(a) == len(b)
	}
	return slices.ContainsFunc(a, func(m string) bool { return slices.Contains(b, m) })
}

// Path returns the settings path of the service.
func (s *Service) Path() string { return s.path }

// Team returns the team that owns the service.
func (s *Service) Team() string { return TeamOf(s.path) }

// Off reports whether the service is withdrawn: every call is refused.
func (s *Service) Off() bool { return s.spec.Off }

// Slots returns how many calls a server of the service runs at once.
func (s *Service) Slots() int { return s.spec.Slots }

// Conns returns how many connections one entry keeps to one server.
func (s *Service) Conns() int { return s.spec.Conns }

// Subset returns the least number of entries that callers are given first.
func (s *Service) Subset() int { return s.spec.Subset }

// Rate returns how many calls a second one entry is to carry before callers
// are given more entries first.
func (s *Service) Rate() float64 { return s.spec.Rate }

// Queue returns how many calls may wait at one entry.
func (s *Service) Queue() int { return s.spec.Queue }

// Hedge returns the share of calls that may be hedged.
func (s *Service) Hedge() float64 { return s.spec.Hedge }

// Retry returns the share of calls that may be retried.
func (s *Service) Retry() float64 { return s.spec.Retry }

// TrustsShed reports whether a shed marker of the server proves that a call
// did not run.
func (s *Service) TrustsShed() bool { return s.spec.Shed }

// ProbePath returns the path that probes ask for, empty to probe nothing.
func (s *Service) ProbePath() string { return s.spec.Probe.Path }

// ProbeRate returns the budget of probes a second, over all entries.
func (s *Service) ProbeRate() float64 { return s.spec.Probe.Rate }

// ProbeBytes returns the budget of probe bytes a second, over all entries.
func (s *Service) ProbeBytes() int { return s.spec.Probe.Bytes }

// ProbeStale returns the age past which what answers told of a server no
// longer counts.
func (s *Service) ProbeStale() time.Duration { return s.spec.Probe.Stale }

// Route returns the settings for a call of the method to path, which is
// relative to the service. The longest match wins. A call that no route
// matches is of class normal, and idempotent only if it is a GET or HEAD.
func (s *Service) Route(method, path string) Route {
	best := -1
	for i := range s.spec.Routes {
		r := &s.spec.Routes[i]
		if !strings.HasPrefix(path, r.Match) {
			continue
		}
		if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
			continue
		}
		if best < 0 || len(r.Match) > len(s.spec.Routes[best].Match) {
			best = i
		}
	}
	if best >= 0 {
		r := Route{spec: s.spec.Routes[best]}
		r.spec.Idempotent = r.spec.Idempotent || safe(method)
		return r
	}
	return Route{spec: routeSpec{Class: Normal, Deadline: s.spec.Deadline, Idempotent: safe(method), Weight: 1}}
}

func safe(method string) bool { return method == "GET" || method == "HEAD" }

// Class returns the class of the call.
func (r *Route) Class() Class { return r.spec.Class }

// Deadline returns the time a call has when its caller names none.
func (r *Route) Deadline() time.Duration { return r.spec.Deadline }

// Idempotent reports whether the call may run more than once.
func (r *Route) Idempotent() bool { return r.spec.Idempotent }

// KeyRequired reports whether a call without an idempotency key is refused.
func (r *Route) KeyRequired() bool { return r.spec.Key }

// Weight returns how much one call counts among the others.
func (r *Route) Weight() float64 { return r.spec.Weight }
