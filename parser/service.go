package parser

import (
	"slices"
	"strings"
	"time"
)

// Service holds the validated settings of one service. It is immutable.
type Service struct {
	// path satisfies CheckPath and names a service.
	path string
	// spec has all defaults applied and has passed all range checks.
	spec serviceSpec
}

// Route holds the settings that apply to the calls of a service that match one
// route.
type Route struct {
	// spec has all defaults applied and has passed all range checks.
	spec routeSpec
}

type serviceSpec struct {
	Disabled   bool          `json:"off"`
	Slots      int           `json:"slots"`
	MaxConns   int           `json:"conns"`
	MinEntries int           `json:"subset"`
	TargetRate float64       `json:"rate"`
	Deadline   time.Duration `json:"deadline"`
	QueueLimit int           `json:"queue"`
	HedgeRatio float64       `json:"hedge"`
	RetryRatio float64       `json:"retry"`
	TrustShed  bool          `json:"shed"`
	Probe      probeSpec     `json:"probe"`
	Routes     []routeSpec   `json:"routes"`
}

type probeSpec struct {
	Path   string        `json:"path"`
	Rate   float64       `json:"rate"`
	Bytes  int           `json:"bytes"`
	MaxAge time.Duration `json:"stale"`
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

// methods lists the HTTP methods that callers may use.
var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// MethodAllowed reports whether callers may use the HTTP method m.
func MethodAllowed(m string) bool { return slices.Contains(methods, m) }

const (
	maxDeadline = 2 * time.Minute
	maxRoutes   = 256
)

// ParseService parses and validates the document of the service at path. File
// names the source in errors and may be empty.
func ParseService(file, path string, text []byte) (*Service, error) {
	d, err := newDocument(file, path, text)
	if err != nil {
		return nil, err
	}
	s := serviceSpec{
		Slots: 1, MaxConns: 64, MinEntries: 2, TargetRate: 2000, Deadline: time.Second, QueueLimit: 256, HedgeRatio: 0.05, RetryRatio: 0.1,
		Probe: probeSpec{Rate: 2, Bytes: 1024, MaxAge: 2 * time.Second},
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

// newDocument checks the path and the size of a document before it is decoded.
func newDocument(file, path string, text []byte) (*document, error) {
	if err := CheckPath(path); err != nil {
		e := err.(*Error)
		e.file = file
		return nil, e
	}
	if len(text) > MaxDocument {
		return nil, &Error{file: file, path: path, cause: ErrSize, detail: "want at most 64 KiB per document"}
	}
	return &document{file: file, path: path, text: text}, nil
}

func (d *document) checkService(s *serviceSpec) error {
	if s.Probe.Path != "" && s.Probe.Path[0] != '/' {
		return d.errorf("probe.path", ErrRange, "want a path that starts with /")
	}
	if len(s.Routes) > maxRoutes {
		return d.errorf("routes", ErrSize, "got: %d want: at most %d", len(s.Routes), maxRoutes)
	}
	return firstError(
		checkRange(d, "slots", s.Slots, 1, 1024),
		checkRange(d, "conns", s.MaxConns, 1, 4096),
		checkRange(d, "subset", s.MinEntries, 1, 64),
		checkRange(d, "rate", s.TargetRate, 1, 1e6),
		checkRange(d, "deadline", s.Deadline, time.Millisecond, maxDeadline),
		checkRange(d, "queue", s.QueueLimit, 0, 65536),
		checkRange(d, "hedge", s.HedgeRatio, 0, 0.2),
		checkRange(d, "retry", s.RetryRatio, 0, 0.5),
		checkRange(d, "probe.rate", s.Probe.Rate, 0, 100),
		checkRange(d, "probe.bytes", s.Probe.Bytes, 0, 1<<20),
		checkRange(d, "probe.stale", s.Probe.MaxAge, 10*time.Millisecond, time.Minute),
	)
}

func (d *document) checkRoute(s *serviceSpec, i int) error {
	r := &s.Routes[i]
	field := "routes[" + itoa(i) + "]."
	if r.Match == "" {
		return d.errorf(field+"match", ErrMissing, "")
	}
	if r.Match[0] != '/' {
		return d.errorf(field+"match", ErrRange, "want a path that starts with /")
	}
	for j, m := range r.Methods {
		if !MethodAllowed(m) {
			return d.errorf(field+"methods["+itoa(j)+"]", ErrRange, "got: %q want: one of %s", m, strings.Join(methods, " "))
		}
	}
	for j := range i {
		p := &s.Routes[j]
		if p.Match == r.Match && methodsOverlap(p.Methods, r.Methods) {
			return d.errorf(field+"match", ErrDuplicate, "%s also appears in routes[%d]", r.Match, j)
		}
	}
	if r.Deadline == 0 {
		r.Deadline = s.Deadline
	}
	return firstError(
		checkRange(d, field+"deadline", r.Deadline, time.Millisecond, maxDeadline),
		checkRange(d, field+"weight", r.Weight, 0, 1000),
	)
}

// methodsOverlap reports whether two routes with the same match and the methods
// a and b are ambiguous. An empty list means all methods; a route without
// methods may coexist with one that lists some.
func methodsOverlap(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return len(a) == len(b)
	}
	return slices.ContainsFunc(a, func(m string) bool { return slices.Contains(b, m) })
}

// Path returns the settings path of the service.
func (s *Service) Path() string { return s.path }

// Team returns the team that owns the service.
func (s *Service) Team() string { return TeamOf(s.path) }

// Disabled reports whether the service is disabled, in which case every call is
// rejected.
func (s *Service) Disabled() bool { return s.spec.Disabled }

// Slots returns the number of calls that a server of the service runs
// concurrently.
func (s *Service) Slots() int { return s.spec.Slots }

// MaxConns returns the maximum number of connections from one entry to one server.
func (s *Service) MaxConns() int { return s.spec.MaxConns }

// MinEntries returns the minimum number of entries that the resolver ranks first
// for the service.
func (s *Service) MinEntries() int { return s.spec.MinEntries }

// TargetRate returns the target number of calls per second for one entry. Above it
// the resolver ranks more entries first.
func (s *Service) TargetRate() float64 { return s.spec.TargetRate }

// QueueLimit returns the capacity of the admission queue at one entry, in calls.
func (s *Service) QueueLimit() int { return s.spec.QueueLimit }

// HedgeRatio returns the fraction of calls that may be hedged.
func (s *Service) HedgeRatio() float64 { return s.spec.HedgeRatio }

// RetryRatio returns the fraction of calls that may be retried.
func (s *Service) RetryRatio() float64 { return s.spec.RetryRatio }

// TrustsShed reports whether a shed marker in a server's response proves that
// the call did not run.
func (s *Service) TrustsShed() bool { return s.spec.TrustShed }

// ProbePath returns the path that probes request, or the empty string if
// servers are not probed.
func (s *Service) ProbePath() string { return s.spec.Probe.Path }

// ProbeRate returns the budget of probes per second, over all entries.
func (s *Service) ProbeRate() float64 { return s.spec.Probe.Rate }

// ProbeBytes returns the budget of probe bytes per second, over all entries.
func (s *Service) ProbeBytes() int { return s.spec.Probe.Bytes }

// ProbeMaxAge returns the age above which the state last observed in a server's
// responses is stale, so that the server is probed.
func (s *Service) ProbeMaxAge() time.Duration { return s.spec.Probe.MaxAge }

// Route returns the settings for a call with the given method and path, which
// is relative to the service. The longest matching prefix wins, and the first
// route among those with equal prefixes. A call that no route matches has class
// Normal. GET and HEAD calls are always idempotent, other calls only if their
// route is declared idempotent.
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
		r.spec.Idempotent = r.spec.Idempotent || safeMethod(method)
		return r
	}
	return Route{spec: routeSpec{Class: Normal, Deadline: s.spec.Deadline, Idempotent: safeMethod(method), Weight: 1}}
}

// safeMethod reports whether calls with the method are idempotent on any route.
func safeMethod(method string) bool { return method == "GET" || method == "HEAD" }

// Class returns the priority class of the call.
func (r *Route) Class() Class { return r.spec.Class }

// Deadline returns the time limit of a call whose caller sets none.
func (r *Route) Deadline() time.Duration { return r.spec.Deadline }

// Idempotent reports whether it is safe to run the call more than once.
func (r *Route) Idempotent() bool { return r.spec.Idempotent }

// KeyRequired reports whether calls without an idempotency key are rejected.
func (r *Route) KeyRequired() bool { return r.spec.Key }

// Weight returns the weight of one call in the service's weighted counters.
func (r *Route) Weight() float64 { return r.spec.Weight }
