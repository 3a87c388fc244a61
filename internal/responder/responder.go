// Package responder provides tests with a server that sends exact bytes, which need not be a
// response of HTTP.
package responder

import (
	"bufio"
	"io"
	"net"
	"sync"
	"testing"

	"github.com/valyala/fasthttp"
)

// Start starts a server on loopback until the end of the test and returns its address. It writes
// the bytes that respond returns for a request, and then closes the connection if last is set. The
// function respond may be called concurrently.
func Start(t testing.TB, respond func(req *fasthttp.Request) (response string, last bool)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{respond: respond}
	s.tasks.Go(func() { s.accept(l) })
	t.Cleanup(func() {
		_ = l.Close()
		s.close()
		s.tasks.Wait()
	})
	return l.Addr().String()
}

// server is a server that was started.
type server struct {
	respond func(*fasthttp.Request) (string, bool)
	tasks   sync.WaitGroup

	mu sync.Mutex
	// conns holds the connections so far. They are closed when closed is set.
	conns  []net.Conn
	closed bool
}

func (s *server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, c)
		if s.closed {
			_ = c.Close()
		}
		s.mu.Unlock()
		s.tasks.Go(func() { s.serve(c) })
	}
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		var req fasthttp.Request
		if req.Read(r) != nil {
			return
		}
		response, last := s.respond(&req)
		if _, err := io.WriteString(c, response); err != nil || last {
			return
		}
	}
}

func (s *server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, c := range s.conns {
		_ = c.Close()
	}
}
