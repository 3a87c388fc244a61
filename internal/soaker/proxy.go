package soaker

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"

	"poplarwind/platform/imitator"
)

// Mode is what a Proxy does with the bytes of its connections.
type Mode int

// The modes of a Proxy.
const (
	// Pass forwards all bytes.
	Pass Mode = iota
	// Delay forwards them later.
	Delay
	// Silence forwards nothing to the client any more, and keeps connections open.
	Silence
	// Deaf forwards nothing to the server any more, and keeps connections open.
	Deaf
	// Lose resets connections when the response to a request comes, and forwards those to load
	// probes.
	Lose
	// Reset resets connections.
	Reset
	modes
)

// delay is the delay of bytes in mode Delay.
const delay = 30 * time.Millisecond

// Proxy forwards connections to a target, with faults. It is safe for concurrent use.
type Proxy struct {
	target string

	mu    sync.Mutex
	mode  Mode
	conns map[*net.TCPConn]struct{}
}

// NewProxy returns a Proxy to a target, in mode Pass.
func NewProxy(target string) *Proxy {
	return &Proxy{target: target, conns: make(map[*net.TCPConn]struct{})}
}

// Serve accepts connections until the listener is closed.
func (p *Proxy) Serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		client, ok := c.(*net.TCPConn)
		if !ok || p.Mode() == Reset {
			_ = c.Close()
			continue
		}
		s, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = c.Close()
			continue
		}
		server := s.(*net.TCPConn)
		p.add(client, server)
		go p.forward(server, client, Deaf)
		go p.forward(client, server, Silence)
	}
}

// Mode returns the mode in force.
func (p *Proxy) Mode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// SetMode changes the mode. Reset ends the open connections.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != Reset {
		return
	}
	for c := range p.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// Close ends the open connections.
func (p *Proxy) Close() { p.SetMode(Reset) }

func (p *Proxy) add(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = struct{}{}
	}
}

// forward copies bytes in one direction, and drops them while the mode is dropping.
func (p *Proxy) forward(to, from *net.TCPConn, dropping Mode) {
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, to)
		_, _ = to.Close(), from.Close()
	}()
	block, dropped := make([]byte, 16<<10), false
	for {
		n, err := from.Read(block)
		if err != nil {
			return
		}
		m := p.Mode()
		if m == Delay {
			time.Sleep(delay)
		}
		if m == Lose && bytes.Contains(block[:n], []byte(imitator.StampHeader)) {
			_ = to.SetLinger(0)
			return
		}
		// What follows a gap would be taken for something else.
		if dropped = dropped || m == dropping; dropped {
			continue
		}
		if _, err := to.Write(block[:n]); err != nil && err != io.EOF {
			return
		}
	}
}
