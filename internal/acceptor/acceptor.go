// Package acceptor accepts connections in spite of errors that pass, such as a want of
// descriptors.
package acceptor

import (
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const (
	// backoff is the pause after a failed accept.
	backoff = 10 * time.Millisecond
	// logInterval is the least time between two log lines of one listener.
	logInterval = time.Second
)

// Listener is a listener whose Accept returns an error only when it is closed.
type Listener struct {
	net.Listener
	// Log receives failed accepts, at most one a second.
	Log *slog.Logger
	// Release, if it is not nil, is called after a failed accept, to make descriptors
	// available.
	Release func()

	// failures counts failed accepts, and logged is when one was last logged, in
	// nanoseconds of Unix time.
	failures, logged atomic.Int64
}

// Failures returns the number of failed accepts.
func (l *Listener) Failures() int64 { return l.failures.Load() }

// Accept implements net.Listener. It returns net.ErrClosed when the listener is closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			return c, nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		l.fail(err)
		time.Sleep(backoff)
	}
}

func (l *Listener) fail(err error) {
	n, now := l.failures.Add(1), time.Now().UnixNano()
	if last := l.logged.Load(); now-last >= int64(logInterval) && l.logged.CompareAndSwap(last, now) {
		l.Log.Warn("accepting a connection failed", "address", l.Addr().String(), "error", err.Error(), "failures", n)
	}
	if l.Release != nil {
		l.Release()
	}
}
