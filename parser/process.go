package parser

import (
	"net"
	"time"
)

// Process holds the validated settings that a daemon is started with.
type Process struct {
	// spec has all required fields set and has passed all range checks.
	spec processSpec
}

type processSpec struct {
	Name               string        `json:"name"`
	Domain             string        `json:"domain"`
	Region             string        `json:"region"`
	Callers            string        `json:"callers"`
	Peers              string        `json:"peers"`
	Ops                string        `json:"ops"`
	Platform           string        `json:"platform"`
	Secret             string        `json:"secret"`
	MaxCalls           int           `json:"calls"`
	MaxConns           int           `json:"conns"`
	MaxBodyBytes       int           `json:"body"`
	MaxHeaderBytes     int           `json:"header"`
	HeartbeatInterval  time.Duration `json:"beat"`
	HeartbeatTimeout   time.Duration `json:"silence"`
	TTL                time.Duration `json:"ttl"`
	DrainTimeout       time.Duration `json:"drain"`
	ResyncInterval     time.Duration `json:"resync"`
	PeerBytesPerSecond int           `json:"control"`
	Seeds              []string      `json:"seeds"`
	Gateway            gatewaySpec   `json:"gateway"`
}

const minSecretBytes = 16

// ParseProcess parses and validates the settings of a daemon. File names the
// source in errors.
func ParseProcess(file string, text []byte) (*Process, error) {
	d := &document{file: file, text: text}
	p := Process{spec: processSpec{
		Region: "home", MaxCalls: 4096, MaxBodyBytes: 1 << 20, MaxHeaderBytes: 16 << 10,
		HeartbeatInterval: 500 * time.Millisecond, HeartbeatTimeout: 3 * time.Second, TTL: 2 * time.Second,
		DrainTimeout: 30 * time.Second, ResyncInterval: 5 * time.Second, PeerBytesPerSecond: 28 << 10,
		Gateway: gatewaySpec{
			ShutdownTimeout: 6 * time.Second, ProbeRate: 10, RetryRatio: 0.2, RetryAllowance: 10, RetryWindow: 10 * time.Second, UpstreamDrainTimeout: 2 * time.Second,
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
			return nil, d.errorf(f.name, ErrMissing, "")
		}
	}
	if !validSegment(s.Name) {
		return nil, d.errorf("name", ErrRange, "want lower-case letters, digits and hyphens")
	}
	if len(s.Secret) < minSecretBytes {
		return nil, d.errorf("secret", ErrRange, "want at least %d bytes", minSecretBytes)
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
	err := firstError(
		checkRange(d, "calls", s.MaxCalls, 1, 1<<20),
		checkRange(d, "conns", s.MaxConns, 0, 1<<20),
		checkRange(d, "body", s.MaxBodyBytes, 0, 64<<20),
		checkRange(d, "header", s.MaxHeaderBytes, 1024, 1<<20),
		checkRange(d, "beat", s.HeartbeatInterval, 20*time.Millisecond, 10*time.Second),
		checkRange(d, "silence", s.HeartbeatTimeout, 2*s.HeartbeatInterval, time.Minute),
		checkRange(d, "ttl", s.TTL, 100*time.Millisecond, time.Minute),
		checkRange(d, "drain", s.DrainTimeout, 0, 10*time.Minute),
		checkRange(d, "resync", s.ResyncInterval, 100*time.Millisecond, 10*time.Minute),
		checkRange(d, "control", s.PeerBytesPerSecond, 1024, 1<<20),
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
		return d.errorf(field, ErrRange, "got: %q want: an IP address and a port", addr)
	}
	return nil
}

// Name returns the name of the instance, which is unique among live instances.
func (p *Process) Name() string { return p.spec.Name }

// Domain returns the failure domain of the instance.
func (p *Process) Domain() string { return p.spec.Domain }

// Region returns the region of the instance.
func (p *Process) Region() string { return p.spec.Region }

// Callers returns the listen address for callers.
func (p *Process) Callers() string { return p.spec.Callers }

// Peers returns the listen address for other entries.
func (p *Process) Peers() string { return p.spec.Peers }

// Ops returns the listen address for operators.
func (p *Process) Ops() string { return p.spec.Ops }

// Platform returns the address of the platform.
func (p *Process) Platform() string { return p.spec.Platform }

// Secret returns the shared secret of the entries. It is never logged.
func (p *Process) Secret() []byte { return []byte(p.spec.Secret) }

// MaxCalls returns the maximum number of concurrent calls at the entry.
func (p *Process) MaxCalls() int { return p.spec.MaxCalls }

// MaxConns returns the maximum number of concurrent connections from callers, 0 if it
// follows from the descriptors that the process may have.
func (p *Process) MaxConns() int { return p.spec.MaxConns }

// MaxBodyBytes returns the maximum size of request and response bodies, in bytes.
func (p *Process) MaxBodyBytes() int { return p.spec.MaxBodyBytes }

// MaxHeaderBytes returns the maximum size of request and response headers, in
// bytes.
func (p *Process) MaxHeaderBytes() int { return p.spec.MaxHeaderBytes }

// HeartbeatInterval returns the heartbeat interval.
func (p *Process) HeartbeatInterval() time.Duration { return p.spec.HeartbeatInterval }

// HeartbeatTimeout returns the heartbeat timeout: a peer counts as live until no
// heartbeat has arrived from it for this long.
func (p *Process) HeartbeatTimeout() time.Duration { return p.spec.HeartbeatTimeout }

// TTL returns how long callers may cache a response of the resolver.
func (p *Process) TTL() time.Duration { return p.spec.TTL }

// DrainTimeout returns how long a planned shutdown waits for calls in flight.
func (p *Process) DrainTimeout() time.Duration { return p.spec.DrainTimeout }

// ResyncInterval returns the interval between full comparisons with the store.
func (p *Process) ResyncInterval() time.Duration { return p.spec.ResyncInterval }

// Seeds returns the addresses of peers to contact while no peer has been
// discovered, for instance because the platform is down.
func (p *Process) Seeds() []string { return p.spec.Seeds }

// PeerBytesPerSecond returns the bandwidth budget for peer messages, in bytes
// per second.
func (p *Process) PeerBytesPerSecond() int { return p.spec.PeerBytesPerSecond }
