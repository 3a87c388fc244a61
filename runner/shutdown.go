package runner

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"poplarwind/internal/sleeper"
)

const (
	// exitMargin is the part of the configured shutdown timeout that is reserved
	// for the steps after draining, so that the process exits before it is killed.
	exitMargin = 700 * time.Millisecond
	// acceptFraction is the fraction of the drain period during which requests
	// are still accepted. The rest is for requests in flight to complete.
	acceptFraction = 0.55
)

// drain takes the entry out of service. The entry becomes not ready and is no
// longer returned to callers, but still serves requests from callers that
// resolved its address some seconds ago. It then stops accepting: the listener
// is closed, and requests on open connections are rejected as not run, to be
// retried at another entry. Requests in flight have the rest of the time to
// complete.
func (g *Gateway) drain(ctx context.Context) {
	start := time.Now()
	deadline := start.Add(g.process.Gateway().ShutdownTimeout() - exitMargin)
	g.log.Info("entry leaving", "running", g.callers.Pending())
	g.draining.Store(true)
	g.forwarder.SetEnd(deadline)
	g.callers.Drain()
	g.announcer.AnnounceDrain(ctx)
	sleeper.Sleep(ctx, time.Until(start.Add(time.Duration(acceptFraction*float64(deadline.Sub(start))))))
	g.forwarder.RejectNew()
	g.leaveQuotas(ctx)
	if err := g.callersListener.Close(); err != nil {
		g.log.Warn("closing the callers' listener failed", "error", err.Error())
	}
	for time.Now().Before(deadline) && (g.callers.Pending() > 0 || time.Until(deadline) > idlePeriod) {
		sleeper.Sleep(ctx, drainPollInterval)
	}
	g.log.Info("entry drained", "running", g.callers.Pending(), "took_ms", time.Since(start).Milliseconds())
}

// serverShutdownTimeout bounds the shutdown of the servers. Connections that are
// still in use then are closed by the exit of the process.
const serverShutdownTimeout = 300 * time.Millisecond

// shutdowner is a server that closes its connections once their requests have been
// answered, until ctx ends.
type shutdowner interface {
	Shutdown(ctx context.Context) error
}

// httpServer adapts a fasthttp server to a shutdowner.
type httpServer struct{ *fasthttp.Server }

// Shutdown implements shutdowner.
func (s httpServer) Shutdown(ctx context.Context) error { return s.ShutdownWithContext(ctx) }

// shutdownServers shuts down the servers within serverShutdownTimeout.
func (g *Gateway) shutdownServers(servers []shutdowner) {
	ctx, cancel := context.WithTimeout(context.Background(), serverShutdownTimeout)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			g.log.Warn("server shutdown failed", "error", err.Error())
		}
	}
}

// taskWaitTimeout bounds the wait for the background tasks: one may be in a call
// to the store that would outlast the configured shutdown timeout.
const taskWaitTimeout = 150 * time.Millisecond

// waitTasks waits for the background tasks to end, at most taskWaitTimeout.
func (g *Gateway) waitTasks(group *errgroup.Group) error {
	done := make(chan error, 1)
	go func() { done <- group.Wait() }()
	select {
	case err := <-done:
		return err
	case <-time.After(taskWaitTimeout):
		g.log.Info("background tasks still running at shutdown")
		return nil
	}
}
