package acceptor

import (
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// MinIdle is how long a connection must have been idle to be closed for another one:
	// clients send a request soon after they have opened a connection.
	MinIdle = 250 * time.Millisecond
	// MaxTransfer is how long a request may be received or answered before its connection is
	// closed for another one.
	MaxTransfer = 2 * time.Second
)

// TurnAway closes a connection for which there is no room. The response states that no request
// was run.
func TurnAway(c net.Conn) {
	_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	_ = c.Close()
}

// Limiter is a listener with a bound on its open connections. For one beyond it, the connection
// is closed that has been idle for the longest time, or else the one whose request takes longest:
// clients that keep connections, or send requests without an end, do not keep others out. The
// server must pass its changes of state to ConnState.
type Limiter struct {
	net.Listener
	// Max is the bound.
	Max int
	// Log receives connections that were turned away, at most one line a second.
	Log *slog.Logger

	// closed counts connections that were closed for others, turnedAway those for which there
	// was no room, and logged is when one was last logged, in nanoseconds of Unix time.
	closed, turnedAway, logged atomic.Int64

	mu    sync.Mutex
	conns map[*limitedConn]struct{}
}

// limitedConn is a connection of a Limiter.
type limitedConn struct {
	net.Conn
	limiter *Limiter
	// busy is set while a request is received or answered, and since is when that last
	// changed. They are guarded by the limiter's lock.
	busy  bool
	since time.Time
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.limiter.mu.Lock()
	delete(c.limiter.conns, c)
	c.limiter.mu.Unlock()
	return c.Conn.Close()
}

// Accept implements net.Listener.
func (l *Limiter) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.admit(time.Now(), c); admitted != nil {
			return admitted, nil
		}
		TurnAway(c)
		l.logTurnedAway(l.turnedAway.Add(1))
	}
}

// admit registers a connection, nil if there is no room for it.
func (l *Limiter) admit(now time.Time, n net.Conn) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.Max {
		v := l.victim(now)
		if v == nil {
			return nil
		}
		delete(l.conns, v)
		_ = v.Conn.Close()
		l.closed.Add(1)
	}
	c := &limitedConn{Conn: n, limiter: l, since: now}
	if l.conns == nil {
		l.conns = make(map[*limitedConn]struct{})
	}
	l.conns[c] = struct{}{}
	return c
}

// victim returns the connection that is closed for another one, nil if none can be. The lock
// must be held.
func (l *Limiter) victim(now time.Time) *limitedConn {
	var out *limitedConn
	for c := range l.conns {
		switch age := now.Sub(c.since); {
		case !c.busy && age < MinIdle, c.busy && age < MaxTransfer:
		case out == nil, out.busy && !c.busy, out.busy == c.busy && c.since.Before(out.since):
			out = c
		}
	}
	return out
}

// ConnState records the state of a connection that Accept has returned.
func (l *Limiter) ConnState(n net.Conn, s fasthttp.ConnState) {
	c, ok := n.(*limitedConn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.busy, c.since = s == fasthttp.StateActive, time.Now()
}

// Usage is the use of a Limiter.
type Usage struct {
	Open  int `json:"open"`
	Limit int `json:"limit"`
	// Closed counts connections that were closed for others, and TurnedAway those for which
	// there was no room.
	Closed     int64 `json:"closed"`
	TurnedAway int64 `json:"turned_away"`
}

// Usage returns the use of the listener.
func (l *Limiter) Usage() Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Usage{Open: len(l.conns), Limit: l.Max, Closed: l.closed.Load(), TurnedAway: l.turnedAway.Load()}
}

func (l *Limiter) logTurnedAway(total int64) {
	if now, last := time.Now().UnixNano(), l.logged.Load(); now-last >= int64(logInterval) && l.logged.CompareAndSwap(last, now) {
		l.Log.Warn("connection turned away", "address", l.Addr().String(), "limit", l.Max, "turned_away", total)
	}
}
