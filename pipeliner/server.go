package pipeliner

import (
	"bufio"
	"bytes"
	"context"
	"log/slog"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/bufferer"
	"poplarwind/internal/acceptor"
	"poplarwind/internal/guarder"
	"poplarwind/router"
)

// Options configures a Server.
type Options struct {
	// Handler is required.
	Handler Handler
	// MaxHeader and MaxBody bound the sizes of a request in bytes.
	MaxHeader, MaxBody int
	// Limits returns the limits that the configuration in force sets. Those of the header and
	// of the body are at most MaxHeader and MaxBody. Nil means that it sets none.
	Limits func() router.Limits
	// Budget bounds the memory of requests and responses. Nil means that it has no bound.
	Budget *bufferer.Budget
	// MaxConns bounds the open connections.
	MaxConns int
	// IdleTimeout returns how long a connection may stay without a request.
	IdleTimeout func() time.Duration
	// Log receives faults of handlers.
	Log *slog.Logger
}

// Server serves connections. Use New to create one.
type Server struct {
	options Options
	// readers, longReaders and writers hold buffers that no connection uses. Those of
	// longReaders hold the longest header that is allowed.
	readers, longReaders, writers sync.Pool
	// draining is set when connections close after the responses to the requests
	// that were read.
	draining atomic.Bool
	// pending counts requests that were read and whose responses are not written.
	pending atomic.Int64
	// closedIdle, closedSlow and turnedAway count connections, as in Connections.
	closedIdle, closedSlow, turnedAway atomic.Int64

	mu    sync.Mutex
	conns map[*conn]struct{}
}

const (
	// writeBufferSize is the size in bytes of the buffer for a response. Larger bodies
	// are written from their own memory.
	writeBufferSize = 4 << 10
	// readBufferSize is the size in bytes of the buffer in which a header is received.
	// Longer headers have another one, which is a part of the budget: callers may leave
	// headers incomplete on all of their connections.
	readBufferSize = 4 << 10
)

// New returns a Server.
func New(o Options) *Server {
	if o.Limits == nil {
		o.Limits = func() router.Limits { return router.Limits{} }
	}
	if o.Budget == nil {
		o.Budget = &bufferer.Budget{}
	}
	s := &Server{options: o, conns: make(map[*conn]struct{})}
	s.readers.New = func() any { return bufio.NewReaderSize(nil, min(readBufferSize, o.MaxHeader)) }
	s.longReaders.New = func() any { return bufio.NewReaderSize(nil, o.MaxHeader) }
	s.writers.New = func() any { return bufio.NewWriterSize(nil, writeBufferSize) }
	return s
}

// Pending returns the number of requests that were read and whose responses have
// not been written.
func (s *Server) Pending() int { return int(s.pending.Load()) }

// Drain makes each connection close after the responses to the requests that were
// read from it, so that callers open their next connection to another entry.
func (s *Server) Drain() { s.draining.Store(true) }

// Serve serves the connections of a listener until it fails. It returns nil if the listener
// was closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.Annotatef(err, "accepting at %s", l.Addr())
		}
		go s.ServeConn(c)
	}
}

// lengthen returns a reader of a connection with room for a header of any allowed length, which
// begins with what r has received. It takes r back.
func (s *Server) lengthen(r *bufio.Reader, c net.Conn) *bufio.Reader {
	received, _ := r.Peek(r.Buffered())
	long := s.longReaders.Get().(*bufio.Reader)
	long.Reset(&prefixedReader{prefix: bytes.Clone(received), rest: c})
	s.putReader(r)
	return long
}

// putReader takes a buffer back that no connection uses.
func (s *Server) putReader(r *bufio.Reader) {
	r.Reset(nil)
	if r.Size() > readBufferSize {
		s.longReaders.Put(r)
	} else {
		s.readers.Put(r)
	}
}

// ServeConn serves one connection until it ends.
func (s *Server) ServeConn(n net.Conn) {
	c := &conn{server: s, net: n, caller: callerOf(n), changed: make(chan struct{}, 1)}
	if !s.add(c) {
		acceptor.TurnAway(n)
		return
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	defer guarder.Contain(s.options.Log, "connection of a caller", c.drop)
	c.serve()
}

// add registers a connection. If there are too many, it closes another one that has no request in
// hand; it returns false if none can be closed.
func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.options.MaxConns && !s.closeLongestIdle() && !s.closeSlowest() {
		s.turnedAway.Add(1)
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

// CloseLongestIdle closes the connection that has been idle for the longest time, if any is.
func (s *Server) CloseLongestIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeLongestIdle()
}

// closeLongestIdle implements CloseLongestIdle and reports whether there was one. The lock must
// be held.
func (s *Server) closeLongestIdle() bool {
	longest := s.longest(acceptor.MinIdle, (*conn).idle)
	if longest == nil || !longest.closeIdle() {
		return false
	}
	delete(s.conns, longest)
	s.closedIdle.Add(1)
	return true
}

// closeSlowest closes the connection whose only request has been received for the longest time,
// and reports whether there was one. The lock must be held.
func (s *Server) closeSlowest() bool {
	slowest := s.longest(acceptor.MaxTransfer, (*conn).receiving)
	if slowest == nil || !slowest.closeReceiving() {
		return false
	}
	delete(s.conns, slowest)
	s.closedSlow.Add(1)
	return true
}

// longest returns the connection that has been in a state for the longest time, at least for
// least, or nil. The function state reports whether a connection is in it, and since when. The
// lock must be held.
func (s *Server) longest(least time.Duration, state func(*conn) (since time.Time, ok bool)) *conn {
	var longest *conn
	oldest := time.Now().Add(-least)
	for c := range s.conns {
		if since, ok := state(c); ok && since.Before(oldest) {
			longest, oldest = c, since
		}
	}
	return longest
}

// Connections is the number of connections of a server.
type Connections struct {
	Open  int `json:"open"`
	Limit int `json:"limit"`
	// ClosedIdle and ClosedSlow count connections that were closed for others while they were
	// idle and while a request was received slowly, and TurnedAway those for which there was no
	// room.
	ClosedIdle int64 `json:"closed_idle"`
	ClosedSlow int64 `json:"closed_slow"`
	TurnedAway int64 `json:"turned_away"`
}

// Connections returns the number of connections.
func (s *Server) Connections() Connections {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Connections{Open: len(s.conns), Limit: s.options.MaxConns, ClosedIdle: s.closedIdle.Load(), ClosedSlow: s.closedSlow.Load(), TurnedAway: s.turnedAway.Load()}
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// open returns the open connections.
func (s *Server) open() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		out = append(out, c)
	}
	return out
}

// shutdownPollInterval is how often Shutdown checks for connections that have
// become idle.
const shutdownPollInterval = 10 * time.Millisecond

// Shutdown closes idle connections and the others as soon as their requests have
// been answered. It returns the error of ctx if it ends before.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	for {
		conns := s.open()
		if len(conns) == 0 {
			return nil
		}
		for _, c := range conns {
			c.closeIdle()
		}
		select {
		case <-ctx.Done():
			return errors.Annotatef(ctx.Err(), "%d connections still open", len(conns))
		case <-time.After(shutdownPollInterval):
		}
	}
}

func (s *Server) idleTimeout() time.Duration { return s.options.IdleTimeout() }

// handle runs the handler. A handler that panics may have sent the request to an
// upstream, so the response does not state that it did not run.
func (s *Server) handle(ctx context.Context, c *Call) {
	defer func() {
		if cause := recover(); cause != nil {
			s.options.Log.Error("handler panicked", "cause", cause, "stack", string(debug.Stack()))
			c.Response.Reset()
			c.Response.SetStatusCode(fasthttp.StatusBadGateway)
		}
	}()
	s.options.Handler.Handle(ctx, c)
}
