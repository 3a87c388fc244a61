package runner

import (
	"context"

	"poplarwind/quarantiner"
	"poplarwind/reacher"
)

// servePeer handles a message of another entry and returns the reply.
func (g *Gateway) servePeer(ctx context.Context, path string, body []byte) (any, error) {
	switch path {
	case pathLimits:
		return g.receiveLimits(body)
	case quarantiner.Path:
		return g.quarantiner.Serve(body)
	case reacher.Path:
		return g.monitor.Serve(ctx, body)
	}
	return g.tracker.Serve(ctx, path, body)
}
