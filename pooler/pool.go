package pooler

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// ErrBusy reports that a server has as many connections as it may.
const ErrBusy = errors.ConstError("server has too many connections")

const (
	defaultDial   = 250 * time.Millisecond
	defaultBuffer = 16 << 10
	// maxIdle is how long a connection may be idle and be used again.
	maxIdle = 30 * time.Second
	// freshIdle is the same for calls that must not run twice: a server may
	// close an idle connection just as such a call is written to it.
	freshIdle = 250 * time.Millisecond
)

// Pool keeps connections to many servers. Its zero value is ready to use.
type Pool struct {
	// Dial bounds the opening of a connection, 0 meaning 250 ms.
	Dial time.Duration
	// Open opens a connection to addr, nil meaning over TCP.
	Open func(ctx context.Context, addr string) (net.Conn, error)
	// Buffer bounds the headers of an answer in bytes, 0 meaning 16 KiB.
	Buffer int

	mu sync.Mutex
	// servers is keyed by address.
	servers map[string]*shelf
}

// shelf is what a pool holds for one server.
type shelf struct {
	// idle holds the connections at rest, the last used last.
	idle []*Conn
	// open counts all connections, idle or in use.
	open int
}

func (p *Pool) shelf(addr string) *shelf {
	if p.servers == nil {
		p.servers = make(map[string]*shelf)
	}
	s := p.servers[addr]
	if s == nil {
		s = &shelf{}
		p.servers[addr] = s
	}
	return s
}

// Get returns a connection to addr, of which there are at most limit. Fresh
// asks for one that is new or was used a moment ago.
func (p *Pool) Get(ctx context.Context, addr string, limit int, fresh bool) (*Conn, error) {
	for {
		c, room := p.take(addr, limit, fresh)
		if c == nil && !room {
			return nil, errors.Trace(ErrBusy)
		}
		if c == nil {
			return p.dial(ctx, addr)
		}
		if c.clean() {
			c.wrote.Store(0)
			return c, nil
		}
		p.Drop(c)
	}
}

// New opens a connection to addr, of which there are at most limit.
func (p *Pool) New(ctx context.Context, addr string, limit int) (*Conn, error) {
	p.mu.Lock()
	s := p.shelf(addr)
	if s.open >= limit {
		p.mu.Unlock()
		return nil, errors.Trace(ErrBusy)
	}
	s.open++
	p.mu.Unlock()
	return p.dial(ctx, addr)
}

// take returns the idle connection used last, or reserves room for a new one.
func (p *Pool) take(addr string, limit int, fresh bool) (c *Conn, room bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.shelf(addr)
	oldest := time.Now().Add(-maxIdle)
	if fresh {
		oldest = time.Now().Add(-freshIdle)
	}
	for n := len(s.idle); n > 0 && s.idle[n-1].idle.After(oldest); n = len(s.idle) {
		c = s.idle[n-1]
		s.idle = s.idle[:n-1]
		if c.rested(time.Now()) {
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

func (p *Pool) dial(ctx context.Context, addr string) (*Conn, error) {
	limit := p.Dial
	if limit == 0 {
		limit = defaultDial
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	open := p.Open
	if open == nil {
		open = openTCP
	}
	n, err := open(ctx, addr)
	if err != nil {
		p.forget(addr)
		return nil, errors.Trace(err)
	}
	size := p.Buffer
	if size == 0 {
		size = defaultBuffer
	}
	c := &Conn{net: n, addr: addr, read: bufio.NewReaderSize(n, size)}
	c.write = bufio.NewWriterSize(c, min(size, defaultBuffer))
	return c, nil
}

func openTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// Put gives a connection back after an exchange that ended cleanly.
func (p *Pool) Put(c *Conn) {
	if c.read.Buffered() > 0 || c.write.Buffered() > 0 {
		p.Drop(c)
		return
	}
	c.Deadline(time.Time{})
	c.idle = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.shelf(c.addr)
	s.idle = append(s.idle, c)
}

// Drop closes a connection for good.
func (p *Pool) Drop(c *Conn) {
	c.close()
	p.forget(c.addr)
}

func (p *Pool) forget(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shelf(addr).open--
}

// Trim closes connections that were idle for too long.
func (p *Pool) Trim() {
	oldest := time.Now().Add(-maxIdle)
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, s := range p.servers {
		for len(s.idle) > 0 && (s.idle[0].idle.Before(oldest) || s.idle[0].rested(time.Now())) {
			s.idle[0].close()
			s.idle = s.idle[1:]
			s.open--
		}
		if s.open == 0 {
			delete(p.servers, addr)
		}
	}
}

// Count returns how many connections there are in all.
func (p *Pool) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, s := range p.servers {
		n += s.open
	}
	return n
}
