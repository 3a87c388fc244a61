package pooler

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"poplarwind/bufferer"
	"poplarwind/internal/inspector"
)

// ErrConnLimit reports that the limit of connections to a server is reached.
const ErrConnLimit = errors.ConstError("server has too many connections")

const (
	defaultDialTimeout = 250 * time.Millisecond
	defaultBufferSize  = 16 << 10
	// maxIdle is how long a connection may be idle before it is no longer reused.
	maxIdle = 30 * time.Second
	// freshMaxIdle is the limit for calls that must not run twice: a server may
	// close an idle connection just as such a call is written to it.
	freshMaxIdle = 250 * time.Millisecond
)

// Pool holds connections to any number of servers. Its zero value is ready to use.
type Pool struct {
	// DialTimeout is the timeout for opening a connection, 0 meaning 250 ms.
	DialTimeout time.Duration
	// Dial opens a connection to addr, nil meaning over TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// BufferSize is the size of the read buffer, which bounds the headers of a
	// response, in bytes, 0 meaning 16 KiB.
	BufferSize int
	// Budget bounds the memory of responses. Nil means that it has no bound.
	Budget *bufferer.Budget

	mu sync.Mutex
	// servers is keyed by address.
	servers map[string]*serverConns
}

// serverConns holds the connections to one server.
type serverConns struct {
	// idle holds the idle connections, the most recently used last.
	idle []*Conn
	// open counts all connections, idle, in use or being opened.
	open int
}

// server returns the connections to addr. The caller must hold the lock.
func (p *Pool) server(addr string) *serverConns {
	if p.servers == nil {
		p.servers = make(map[string]*serverConns)
	}
	s := p.servers[addr]
	if s == nil {
		s = &serverConns{}
		p.servers[addr] = s
	}
	return s
}

// Get returns a connection to addr, opening one if no idle connection is
// usable. It returns ErrConnLimit if limit connections are in use. If fresh is
// set, it returns only a connection that is new or was used within the last 250 ms.
func (p *Pool) Get(ctx context.Context, addr string, limit int, fresh bool) (*Conn, error) {
	for {
		c, reserved := p.acquire(addr, limit, fresh)
		if c == nil && !reserved {
			return nil, errors.Trace(ErrConnLimit)
		}
		if c == nil {
			return p.dial(ctx, addr)
		}
		if c.clean() {
			c.written.Store(0)
			return c, nil
		}
		p.Discard(c)
	}
}

// NewConn opens a connection to addr. It returns ErrConnLimit if limit
// connections are open, idle or in use.
func (p *Pool) NewConn(ctx context.Context, addr string, limit int) (*Conn, error) {
	p.mu.Lock()
	s := p.server(addr)
	if s.open >= limit {
		p.mu.Unlock()
		return nil, errors.Trace(ErrConnLimit)
	}
	s.open++
	p.mu.Unlock()
	return p.dial(ctx, addr)
}

// acquire returns the most recently used idle connection, or nil after reserving a
// slot for a new one. If the limit is reached, it closes the idle connection that
// was used least recently to make a slot available.
func (p *Pool) acquire(addr string, limit int, fresh bool) (c *Conn, reserved bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.server(addr)
	oldest := time.Now().Add(-maxIdle)
	if fresh {
		oldest = time.Now().Add(-freshMaxIdle)
	}
	for n := len(s.idle); n > 0 && s.idle[n-1].idleSince.After(oldest); n = len(s.idle) {
		c = s.idle[n-1]
		s.idle = s.idle[:n-1]
		if c.expired(time.Now()) {
			c.close()
			s.open--
			continue
		}
		return c, true
	}
	if s.open >= limit && len(s.idle) > 0 {
		s.idle[0].close()
		s.idle = s.idle[1:]
		s.open--
	}
	if s.open >= limit {
		return nil, false
	}
	s.open++
	return nil, true
}

// dial opens a connection for a reserved slot, and releases the slot on failure.
func (p *Pool) dial(ctx context.Context, addr string) (*Conn, error) {
	timeout := p.DialTimeout
	if timeout == 0 {
		timeout = defaultDialTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	dial := p.Dial
	if dial == nil {
		dial = dialTCP
	}
	n, err := dial(ctx, addr)
	if err != nil {
		p.release(addr)
		return nil, errors.Trace(err)
	}
	size := p.BufferSize
	if size == 0 {
		size = defaultBufferSize
	}
	c := &Conn{net: n, addr: addr, budget: p.Budget}
	if c.budget == nil {
		c.budget = &unbounded
	}
	c.read = bufio.NewReaderSize(c, size)
	c.write = bufio.NewWriterSize(c, min(size, defaultBufferSize))
	return c, nil
}

// unbounded is the budget of pools without one.
var unbounded bufferer.Budget

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// Put returns a connection to the pool after an exchange that ended cleanly. It
// closes a connection with unread or unsent bytes, and one on which a request was rejected
// without being named.
func (p *Pool) Put(c *Conn) {
	if c.read.Buffered() > 0 || c.write.Buffered() > 0 || c.rejected {
		p.Discard(c)
		return
	}
	c.SetDeadline(time.Time{})
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.server(c.addr)
	s.idle = append(s.idle, c)
}

// Discard closes a connection and releases its slot.
func (p *Pool) Discard(c *Conn) {
	c.close()
	p.release(c.addr)
}

// release frees the slot of a connection to addr.
func (p *Pool) release(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server(addr).open--
}

// Alive reports whether the idle connection to addr that was used last is known to be
// open, so that the process at its other end runs.
func (p *Pool) Alive(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.server(addr).idle
	return len(idle) > 0 && inspector.Open(idle[len(idle)-1].net)
}

// CloseIdle closes the idle connections to addr.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.server(addr)
	for _, c := range s.idle {
		c.close()
		s.open--
	}
	s.idle = nil
}

// Trim closes connections whose idle limit has passed.
func (p *Pool) Trim() {
	oldest := time.Now().Add(-maxIdle)
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, s := range p.servers {
		for len(s.idle) > 0 && (s.idle[0].idleSince.Before(oldest) || s.idle[0].expired(time.Now())) {
			s.idle[0].close()
			s.idle = s.idle[1:]
			s.open--
		}
		if s.open == 0 {
			delete(p.servers, addr)
		}
	}
}

// Count returns the number of open connections to all servers.
func (p *Pool) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, s := range p.servers {
		n += s.open
	}
	return n
}
