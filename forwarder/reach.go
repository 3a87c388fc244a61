package forwarder

import (
	"context"
	"maps"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/juju/errors"

	"poplarwind/pooler"
)

// minDialTime is the time that the opening of a connection must have had for its failure
// to say anything of the upstream.
const minDialTime = 30 * time.Millisecond

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// localFaults holds the errors of a dial that has failed for want of resources of this machine.
var localFaults = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}

// isLocal reports whether a dial has failed for a reason that says nothing of the upstream.
func isLocal(err error) bool {
	return slices.ContainsFunc(localFaults, func(fault error) bool { return errors.Is(err, fault) })
}

// serviceKey is the key of the *service to whose upstreams a connection is opened, in the
// context of the dial.
type serviceKey struct{}

// dialContext returns a context for a connection to an upstream of the service.
func (s *service) dialContext(timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithValue(context.Background(), serviceKey{}, s), timeout)
}

// dialUpstream opens a connection to an upstream and records the outcome.
func (f *Forwarder) dialUpstream(ctx context.Context, addr string) (net.Conn, error) {
	start := time.Now()
	c, err := f.options.Dial(ctx, addr)
	now := time.Now()
	if err == nil || !isLocal(err) && (ctx.Err() == nil || now.Sub(start) >= minDialTime) {
		f.options.Reach.RecordDial(now, addr, err == nil)
		if s, ok := ctx.Value(serviceKey{}).(*service); ok {
			s.reach.RecordDial(now, addr, err == nil)
		}
	}
	return c, err
}

// TryUpstream opens a connection to an upstream and closes it.
func (f *Forwarder) TryUpstream(ctx context.Context, addr string) error {
	c, err := f.options.Dial(ctx, addr)
	if err != nil {
		return err
	}
	return c.Close()
}

// Upstreams returns the addresses of the upstreams of a service, or of all services if the name
// is empty.
func (f *Forwarder) Upstreams(name string) []string {
	f.mu.Lock()
	services := slices.Collect(maps.Values(f.services))
	f.mu.Unlock()
	var out []string
	for _, s := range services {
		if name != "" && s.name != name {
			continue
		}
		s.mu.Lock()
		for _, u := range s.fleet.List() {
			out = append(out, u.Addr())
		}
		s.mu.Unlock()
	}
	return out
}

// recordReach records whether an upstream responded to a load probe. One that could not be
// sent for want of a connection or of resources of this machine says nothing.
func (x *exchange) recordReach(cand candidate) {
	if !errors.Is(cand.err, pooler.ErrConnLimit) && !isLocal(cand.err) {
		now, addr, ok := time.Now(), cand.upstream.Addr(), cand.responded()
		x.forwarder.options.Reach.RecordProbe(now, addr, ok)
		x.service.reach.RecordProbe(now, addr, ok)
	}
}
