package router

import (
	"fmt"
	"time"

	"github.com/juju/errors"
)

// ErrInvalid reports a configuration that can't be put in force.
const ErrInvalid = errors.ConstError("invalid configuration")

// Spec is a configuration as operators write it and entries pass it on.
type Spec struct {
	// Version rises with each accepted configuration, in uneven steps.
	Version  int64     `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// Route tells how the requests of one host below one path prefix are served.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	// Idempotent says that a request may run more than once.
	Idempotent bool `json:"idempotent,omitempty"`
	// Attempts bounds the upstreams that one request may be sent to.
	Attempts int `json:"attempts"`
	// Timeout is how long a request may be kept waiting at most.
	Timeout time.Duration `json:"timeout"`
	// Objective is the latency within which an answer is worth most.
	Objective time.Duration `json:"objective"`
	// Rank orders routes by urgency; 0 is the most urgent.
	Rank int `json:"rank"`
	// Parts are the services that requests go to, at least one.
	Parts []Part `json:"parts"`
}

// Part is a service with its weight among the parts of a route.
type Part struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Service is what the configuration tells of a service.
type Service struct {
	Name string `json:"name"`
	// Health is the path of the health check.
	Health string `json:"health"`
	// Conns bounds the connections that one upstream accepts from all entries
	// together, 0 meaning that no bound is told.
	Conns int `json:"conns,omitempty"`
}

// Limits bound what a caller may send and how long it may take or stay idle.
// Zero values mean that no limit is told.
type Limits struct {
	// Header and Body are in bytes.
	Header int `json:"header,omitempty"`
	Body   int `json:"body,omitempty"`
	// HeaderWait bounds the arrival of a request's header.
	HeaderWait time.Duration `json:"headerwait,omitempty"`
	// Idle bounds how long a connection may be kept without a request.
	Idle time.Duration `json:"idle,omitempty"`
}

// check returns an error that names the first field at fault.
func (s *Spec) check() error {
	if s.Version <= 0 {
		return invalid("version", "got: %d want: above 0", s.Version)
	}
	for i := range s.Routes {
		if err := s.Routes[i].check(fmt.Sprintf("routes[%d]", i)); err != nil {
			return err
		}
	}
	for i, v := range s.Services {
		if v.Name == "" {
			return invalid(fmt.Sprintf("services[%d].name", i), "want a name")
		}
	}
	return nil
}

func (r *Route) check(field string) error {
	n := len(r.Prefix)
	switch {
	case r.Host == "":
		return invalid(field+".host", "want a host")
	case n == 0 || r.Prefix[0] != '/' || r.Prefix[n-1] != '/':
		return invalid(field+".prefix", "got: %.80q want: a path between slashes", r.Prefix)
	case r.Attempts < 1:
		return invalid(field+".attempts", "got: %d want: at least 1", r.Attempts)
	case r.Timeout <= 0:
		return invalid(field+".timeout", "got: %v want: above 0", r.Timeout)
	case r.Objective < 0:
		return invalid(field+".objective", "got: %v want: 0 or above", r.Objective)
	case len(r.Parts) == 0:
		return invalid(field+".parts", "want a service")
	}
	total := 0.0
	for i, p := range r.Parts {
		if p.Service == "" || !(p.Weight >= 0) {
			return invalid(fmt.Sprintf("%s.parts[%d]", field, i), "want a service and a weight of 0 or above")
		}
		total += p.Weight
	}
	if !(total > 0) {
		return invalid(field+".parts", "want a weight above 0")
	}
	return nil
}

func invalid(field, format string, args ...any) error {
	return errors.Annotatef(ErrInvalid, "%s: %s", field, fmt.Sprintf(format, args...))
}
