package parser

import (
	"net"
	"time"
)

// Process is the settings one daemon is started with.
type Process struct {
	// spec has every required field present and every range checked.
	spec processSpec
}

type processSpec struct {
	Name     string        `json:"name"`
	Domain   string        `json:"domain"`
	Region   string        `json:"region"`
	Callers  string        `json:"callers"`
	Peers    string        `json:"peers"`
	Ops      string        `json:"ops"`
	Platform string        `json:"platform"`
	Secret   string        `json:"secret"`
	Calls    int           `json:"calls"`
	Conns    int           `json:"conns"`
	Body     int           `json:"body"`
	Header   int           `json:"header"`
	Beat     time.Duration `json:"beat"`
	Silence  time.Duration `json:"silence"`
	TTL      time.Duration `json:"ttl"`
	Drain    time.Duration `json:"drain"`
	Resync   time.Duration `json:"resync"`
	Control  int           `json:"control"`
	Seeds    []string      `json:"seeds"`
	Gateway  gatewaySpec   `json:"gateway"`
}

const minSecret = 16

// ParseProcess reads the settings of a daemon.
func ParseProcess(file string, text []byte) (*Process, error) {
	d := &document{file: file, text: text}
	p := Process{spec: processSpec{
		Region: "home", Calls: 4096, Conns: 8192, Body: 1 << 20, Header: 16 << 10,
		Beat: 500 * time.Millisecond, Silence: 3 * time.Second, TTL: 2 * time.Second,
		Drain: 30 * time.Second, Resync: 5 * time.Second, Control: 28 << 10,
		Gateway: gatewaySpec{
			Grace: 6 * time.Second, Probes: 10, Share: 0.2, Extra: 10, Window: 10 * time.Second, Drain: 2 * time.Second,
		},
	}}
	s := &p.spec
	if err := d.decode(s); err != nil {
		return nil, err
	}
	for _, f := range []struct{ name, value string }{
		{"name", s.Name},
		{"domain", s.Domain},
		{"callers", s.Callers},
		{"peers", s.Peers},
		{"ops", s.Ops},
		{"platform", s.Platform},
		{"secret", s.Secret},
	} {
		if f.value == "" {
			return nil, d.fault(f.name, ErrMissing, "")
		}
	}
	if !segment(s.Name) {
		return nil, d.fault("name", ErrRange, "want lower-case letters, digits and hyphens")
	}
	if len(s.Secret) < minSecret {
		return nil, d.fault("secret", ErrRange, "want at least %d bytes", minSecret)
	}
	for _, f := range []struct{ name, value string }{
		{"callers", s.Callers},
		{"peers", s.Peers},
		{"ops", s.Ops},
		{"platform", s.Platform},
	} {
		if err := d.checkAddress(f.name, f.value); err != nil {
			return nil, err
		}
	}
	for i, a := range s.Seeds {
		if err := d.checkAddress("seeds["+itoa(i)+"]", a); err != nil {
			return nil, err
		}
	}
	err := firstOf(
		check(d, "calls", s.Calls, 1, 1<<20),
		check(d, "conns", s.Conns, 1, 1<<20),
		check(d, "body", s.Body, 0, 64<<20),
		check(d, "header", s.Header, 1024, 1<<20),
		check(d, "beat", s.Beat, 20*time.Millisecond, 10*time.Second),
		check(d, "silence", s.Silence, 2*s.Beat, time.Minute),
		check(d, "ttl", s.TTL, 100*time.Millisecond, time.Minute),
		check(d, "drain", s.Drain, 0, 10*time.Minute),
		check(d, "resync", s.Resync, 100*time.Millisecond, 10*time.Minute),
		check(d, "control", s.Control, 1024, 1<<20),
	)
	if err != nil {
		return nil, err
	}
	if err := d.checkGateway(&s.Gateway); err != nil {
		return nil, err
	}
	return &p, nil
}

func (d *document) checkAddress(field, addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil || net.ParseIP(host) == nil {
		return d.fault(field, ErrRange, "got: %q want: an IP number and a port", addr)
	}
	return nil
}

// Name returns the name of the instance, unique among live ones.
func (p *Process) Name() string { return p.spec.Name }

// Domain returns the failure domain of the instance.
func (p *Process) Domain() string { return p.spec.Domain }

// Region returns the region of the instance.
func (p *Process) Region() string { return p.spec.Region }

// Callers returns the address that callers connect to.
func (p *Process) Callers() string { return p.spec.Callers }

// Peers returns the address that other entries connect to.
func (p *Process) Peers() string { return p.spec.Peers }

// Ops returns the address that operators connect to.
func (p *Process) Ops() string { return p.spec.Ops }

// Platform returns the address of the platform.
func (p *Process) Platform() string { return p.spec.Platform }

// Secret returns the secret that entries share. It is never logged.
func (p *Process) Secret() []byte { return []byte(p.spec.Secret) }

// Calls returns how many calls the entry holds at once.
func (p *Process) Calls() int { return p.spec.Calls }

// Conns returns how many connections of callers the entry holds at once.
func (p *Process) Conns() int { return p.spec.Conns }

// Body returns the bound on bodies in either direction, in bytes.
func (p *Process) Body() int { return p.spec.Body }

// Header returns the bound on headers in either direction, in bytes.
func (p *Process) Header() int { return p.spec.Header }

// Beat returns the interval between heartbeats.
func (p *Process) Beat() time.Duration { return p.spec.Beat }

// Silence returns how long a peer may send no heartbeat and count as live.
func (p *Process) Silence() time.Duration { return p.spec.Silence }

// TTL returns how long callers may keep an answer of the resolver.
func (p *Process) TTL() time.Duration { return p.spec.TTL }

// Drain returns how long a planned stop waits for calls in flight.
func (p *Process) Drain() time.Duration { return p.spec.Drain }

// Resync returns the interval between full comparisons with the store.
func (p *Process) Resync() time.Duration { return p.spec.Resync }

// Seeds returns peers' addresses to speak to while no peer is known, for
// instance because the platform is down.
func (p *Process) Seeds() []string { return p.spec.Seeds }

// Control returns the budget of peer messages, in bytes a second.
func (p *Process) Control() int { return p.spec.Control }
