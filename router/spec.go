package router

import (
	"fmt"
	"math"
	"time"

	"github.com/juju/errors"
)

// ErrInvalid reports a configuration that cannot be applied.
const ErrInvalid = errors.ConstError("invalid configuration")

// Spec is a configuration as written by operators and forwarded between
// entries.
type Spec struct {
	// Version increases with each accepted configuration, not necessarily by 1.
	Version int64 `json:"version"`
	// Level is the level of the fields that the build which decoded the configuration of the
	// operator knows. A lower one than SpecLevel means that it may lack fields: entries of earlier
	// builds decode the configurations that they pass on, and drop the fields that they don't know.
	Level    int       `json:"level,omitempty"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	// Customers are those whose keys requests bear; empty if requests need no keys.
	Customers []Customer `json:"customers,omitempty"`
	Limits    Limits     `json:"limits"`
}

// SpecLevel is the level of this build: 1 means that customers are known. It rises with each field whose
// absence would do harm.
const SpecLevel = 1

// Route describes how requests for one host and path prefix are served.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	// Idempotent means that a request may run more than once.
	Idempotent bool `json:"idempotent,omitempty"`
	// Attempts is the maximum number of attempts of one request.
	Attempts int `json:"attempts"`
	// Timeout is the maximum time that a request may wait for its response.
	Timeout time.Duration `json:"timeout"`
	// Objective is the latency up to which a response has its full value.
	Objective time.Duration `json:"objective"`
	// Rank orders routes by urgency; 0 is the most urgent.
	Rank int `json:"rank"`
	// Anonymous means that requests need no key of a customer.
	Anonymous bool `json:"anonymous,omitempty"`
	// Targets are the targets of the route's traffic split, at least one.
	Targets []SplitTarget `json:"parts"`
}

// SplitTarget is a target of a traffic split: a service and its weight.
type SplitTarget struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Service is the configuration of a service.
type Service struct {
	Name string `json:"name"`
	// HealthPath is the path of the health check.
	HealthPath string `json:"health"`
	// MaxConns is the maximum number of connections that one upstream accepts from
	// all entries together, or 0 if no limit is configured.
	MaxConns int `json:"conns,omitempty"`
	// WarmupTime is how long an upstream is cold after its start, and WarmupRate the requests
	// per second from all entries together that a cold one tolerates, 0 if there is no limit.
	WarmupTime time.Duration `json:"warmup,omitempty"`
	WarmupRate float64       `json:"warmup_rate,omitempty"`
}

// Limits bounds the sizes and times of a caller's requests and connections. A
// zero value means that no limit is configured.
type Limits struct {
	// Header and Body are sizes in bytes.
	Header int `json:"header,omitempty"`
	Body   int `json:"body,omitempty"`
	// HeaderTimeout is the timeout for receiving a request's header.
	HeaderTimeout time.Duration `json:"headerwait,omitempty"`
	// IdleTimeout is the timeout of a connection without a request.
	IdleTimeout time.Duration `json:"idle,omitempty"`
}

// check validates the configuration and returns an error that begins with the
// name of the first invalid field.
func (s *Spec) check() error {
	if s.Version <= 0 {
		return invalid("version", "got: %d want: above 0", s.Version)
	}
	for i := range s.Routes {
		if err := s.Routes[i].check(fmt.Sprintf("routes[%d]", i)); err != nil {
			return err
		}
	}
	if err := s.checkCustomers(); err != nil {
		return err
	}
	for i, v := range s.Services {
		switch field := fmt.Sprintf("services[%d]", i); {
		case v.Name == "":
			return invalid(field+".name", "missing service name")
		case v.WarmupTime < 0:
			return invalid(field+".warmup", "got: %v want: 0 or above", v.WarmupTime)
		case !(v.WarmupRate >= 0) || math.IsInf(v.WarmupRate, 1):
			return invalid(field+".warmup_rate", "got: %v want: 0 or above", v.WarmupRate)
		}
	}
	return nil
}

func (r *Route) check(field string) error {
	n := len(r.Prefix)
	switch {
	case r.Host == "":
		return invalid(field+".host", "missing host")
	case n == 0 || r.Prefix[0] != '/' || r.Prefix[n-1] != '/':
		return invalid(field+".prefix", "got: %.80q want: a path that begins and ends with a slash", r.Prefix)
	case r.Attempts < 1:
		return invalid(field+".attempts", "got: %d want: at least 1", r.Attempts)
	case r.Timeout <= 0:
		return invalid(field+".timeout", "got: %v want: above 0", r.Timeout)
	case r.Objective < 0:
		return invalid(field+".objective", "got: %v want: 0 or above", r.Objective)
	case len(r.Targets) == 0:
		return invalid(field+".parts", "got: none want: at least one service")
	}
	total := 0.0
	for i, target := range r.Targets {
		if target.Service == "" || !(target.Weight >= 0) {
			return invalid(fmt.Sprintf("%s.parts[%d]", field, i), "want: a service name and a weight of 0 or above")
		}
		total += target.Weight
	}
	if !(total > 0) {
		return invalid(field+".parts", "want: a total weight above 0")
	}
	return nil
}

func invalid(field, format string, args ...any) error {
	return errors.Annotatef(ErrInvalid, "%s: %s", field, fmt.Sprintf(format, args...))
}
