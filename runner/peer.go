package runner

import (
	"context"
	"time"

	"poplarwind/announcer"
	"poplarwind/quarantiner"
	"poplarwind/reacher"
)

// servePeer handles a message of another entry and returns the reply.
func (g *Gateway) servePeer(ctx context.Context, path string, body []byte) (any, error) {
	switch path {
	case pathLimits:
		return g.receiveLimits(body)
	case pathLeaving:
		return g.receiveLeaving(body)
	case pathQuotas:
		return g.receiveQuotas(body)
	case quarantiner.Path:
		return g.quarantiner.Serve(body)
	case reacher.Path:
		return g.monitor.Serve(ctx, body)
	}
	return g.tracker.Serve(ctx, path, body)
}

// broadcastTimeout bounds the wait for the response to a message to other entries.
const broadcastTimeout = 500 * time.Millisecond

// broadcast sends a message to entries other than this one, without waiting for them.
func (g *Gateway) broadcast(ctx context.Context, to []announcer.Member, path string, message announcer.Packed) {
	for _, m := range to {
		if m.Name == g.process.Name() {
			continue
		}
		go func() {
			limited, cancel := context.WithTimeout(ctx, broadcastTimeout)
			defer cancel()
			var none struct{}
			if err := g.announcer.Send(limited, m, path, message, &none); err != nil {
				g.log.Debug("message not delivered to peer", "path", path, "to", m.Name, "error", err.Error())
			}
		}()
	}
}
