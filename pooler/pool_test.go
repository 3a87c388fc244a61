package pooler

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// listen starts a server that passes each connection to f.
func listen(t *testing.T, f func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f(c)
		}
	}()
	return l.Addr().String()
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// respondOnce responds to one request and closes the connection without a
// Connection: close header.
func respondOnce(c net.Conn) {
	_, _ = c.Read(make([]byte, 4096))
	_, _ = io.WriteString(c, okResponse)
	_ = c.Close()
}

func exchange(t *testing.T, p *Pool, addr string) (*Conn, error) {
	t.Helper()
	c, err := p.Get(context.Background(), addr, 2, false)
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(5 * time.Second))
	var req fasthttp.Request
	var resp fasthttp.Response
	req.SetRequestURI("/x")
	req.Header.SetHost("h")
	if err := c.Send(&req); err != nil {
		return c, err
	}
	return c, c.Receive(&resp, false, 1024)
}

// TestStaleConnection uses a server that closes each idle connection and checks
// that the pool never returns a closed one.
func TestStaleConnection(t *testing.T) {
	addr := listen(t, respondOnce)
	var p Pool
	for i := range 20 {
		c, err := exchange(t, &p, addr)
		if err != nil {
			t.Fatalf("exchange %d: got: %v want: none", i, err)
		}
		p.Put(c)
		// Wait for the server's close to arrive.
		time.Sleep(5 * time.Millisecond)
	}
	if p.Count() > 1 {
		t.Errorf("connections: got: %d want: at most 1", p.Count())
	}
}

// TestLimit requests more connections than the limit of a server allows and
// expects an error.
func TestLimit(t *testing.T) {
	addr := listen(t, func(net.Conn) {})
	var p Pool
	for range 2 {
		if _, err := p.Get(context.Background(), addr, 2, false); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := p.Get(context.Background(), addr, 2, false); err == nil {
		t.Errorf("third: got: a connection want: %v", ErrConnLimit)
	}
}

// TestDialFailureReleasesSlot dials a port without a listener and checks
// that each failed dial releases its slot.
func TestDialFailureReleasesSlot(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	var p Pool
	for range 5 {
		if _, err := p.Get(context.Background(), addr, 1, false); err == nil || err == ErrConnLimit {
			t.Fatalf("got: %v want: a refused connection", err)
		}
	}
	if p.Count() != 0 {
		t.Errorf("connections: got: %d want: 0", p.Count())
	}
}

// TestResponseLimits reads responses that exceed the limits on header and body.
func TestResponseLimits(t *testing.T) {
	for _, v := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1388\r\n",
		"HTTP/1.1 200 OK\r\nX: " + string(make([]byte, 70<<10)),
	} {
		addr := listen(t, func(c net.Conn) {
			_, _ = c.Read(make([]byte, 4096))
			_, _ = io.WriteString(c, v)
			_, _ = c.Write(make([]byte, 5000))
			_ = c.Close()
		})
		var p Pool
		if _, err := exchange(t, &p, addr); err == nil {
			t.Errorf("%.40q: got: a response want: an error", v)
		}
	}
}

// TestAliveAfterServerCrash checks that a server counts as alive only while it keeps an
// idle connection open.
func TestAliveAfterServerCrash(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	addr := l.Addr().String()
	var p Pool
	if p.Alive(addr) {
		t.Error("got: alive without a connection want: unknown")
	}
	c, err := p.Get(context.Background(), addr, 1, false)
	if err != nil {
		t.Fatal(err)
	}
	server, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	p.Put(c)
	if !p.Alive(addr) {
		t.Error("got: not alive with an open connection want: alive")
	}
	_ = server.Close()
	for start := time.Now(); p.Alive(addr); time.Sleep(time.Millisecond) {
		if time.Since(start) > 5*time.Second {
			t.Fatal("got: alive after the server closed the connection want: unknown")
		}
	}
}
