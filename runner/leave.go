package runner

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

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
	if err := g.doors[callers].Close(); err != nil {
		g.log.Warn("listener not closed", "error", err.Error())
	}
	for time.Now().Before(end) && (g.forwarder.Running() > 0 || time.Until(end) > quietFor) {
		sleeper.Sleep(ctx, leaveStep)
	}
	g.log.Info("entry left", "running", g.forwarder.Running(), "took_ms", time.Since(begun).Milliseconds())
}

// closeWait bounds the end of the listeners: a connection that is still in use
// then is cut by the end of the process.
const closeWait = 300 * time.Millisecond

// close ends the listeners.
func (g *Gateway) close(servers []*fasthttp.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), closeWait)
	defer cancel()
	for _, s := range servers {
		if err := s.ShutdownWithContext(ctx); err != nil {
			g.log.Warn("listener not closed in order", "error", err.Error())
		}
	}
}

// joinWait bounds the wait for duties: one may be in a call to the store, which
// ends later than the process may.
const joinWait = 150 * time.Millisecond

// join waits for the duties to end, but not for long.
func (g *Gateway) join(group *errgroup.Group) error {
	done := make(chan error, 1)
	go func() { done <- group.Wait() }()
	select {
	case err := <-done:
		return err
	case <-time.After(joinWait):
		g.log.Info("entry stops while a call to the store is open")
		return nil
	}
}
