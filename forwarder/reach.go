package forwarder

import (
	"context"
	"maps"
	"net"
	"slices"
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

// dialUpstream opens a connection to an upstream and records the outcome.
func (f *Forwarder) dialUpstream(ctx context.Context, addr string) (net.Conn, error) {
	start := time.Now()
	c, err := f.options.Dial(ctx, addr)
	now := time.Now()
	if err == nil || ctx.Err() == nil || now.Sub(start) >= minDialTime {
		f.options.Reach.RecordDial(now, addr, err == nil)
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

// Upstreams returns the addresses of the upstreams of all services.
func (f *Forwarder) Upstreams() []string {
	f.mu.Lock()
	services := slices.Collect(maps.Values(f.services))
	f.mu.Unlock()
	var out []string
	for _, s := range services {
		s.mu.Lock()
		for _, u := range s.fleet.List() {
			out = append(out, u.Addr())
		}
		s.mu.Unlock()
	}
	return out
}

// recordReach records whether an upstream responded to a load probe. One that could not be
// sent for want of a connection says nothing.
func (x *exchange) recordReach(cand candidate) {
	if !errors.Is(cand.err, pooler.ErrConnLimit) {
		x.forwarder.options.Reach.RecordProbe(time.Now(), cand.upstream.Addr(), cand.responded())
	}
}
