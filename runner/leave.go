package runner

import (
	"context"
	"time"

	"poplarwind/internal/sleeper"
)

const (
	// leaveMargin is what a planned stop leaves of its time, so that the process
	// ends by itself.
	leaveMargin = 700 * time.Millisecond
	// serveShare is the part of a planned stop for which requests are still
	// taken in: those that come last then have the rest of it to be answered.
	serveShare = 0.55
)

// leave takes the entry out of service. It is not ready any more and not in
// the answers to callers, but serves those that still come, who may have got
// its address some seconds ago. Then it takes in no more: new connections find
// nobody, requests on kept ones are told to go elsewhere. What is in flight has
// the rest of the time.
func (g *Gateway) leave(ctx context.Context) {
	begun := time.Now()
	end := begun.Add(g.process.Gateway().Grace() - leaveMargin)
	g.log.Info("entry leaving", "running", g.forwarder.Running())
	g.leaving.Store(true)
	g.forwarder.Leave()
	g.announcer.Farewell(ctx)
	sleeper.Sleep(ctx, time.Until(begun.Add(time.Duration(serveShare*float64(end.Sub(begun))))))
	g.forwarder.Close()
	if err := g.doors[0].Close(); err != nil {
		g.log.Warn("listener not closed", "error", err.Error())
	}
	for time.Now().Before(end) && (g.forwarder.Running() > 0 || time.Until(end) > quietFor) {
		sleeper.Sleep(ctx, leaveStep)
	}
	g.log.Info("entry left", "running", g.forwarder.Running(), "took_ms", time.Since(begun).Milliseconds())
}
