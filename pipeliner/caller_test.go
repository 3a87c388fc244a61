package pipeliner

import (
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// callerHandler passes on the callers of calls.
type callerHandler chan *Call

func (callerHandler) Concurrent(*Call) bool { return false }

func (h callerHandler) Handle(_ context.Context, c *Call) { h <- &Call{Caller: c.Caller} }

// TestCallerAddress sends requests over an IPv4 connection to listeners of either kind. It guards against
// callers without an address, or with one that depends on the listener, which would not be told apart in
// the admission queue.
func TestCallerAddress(t *testing.T) {
	for _, network := range []string{"tcp4", "tcp"} {
		address := "127.0.0.1:0"
		if network == "tcp" {
			address = ":0"
		}
		l, err := net.Listen(network, address)
		if err != nil {
			t.Fatal(err)
		}
		h := make(callerHandler, 2)
		s := New(Options{Handler: h, MaxHeader: testMaxHeader, MaxBody: testMaxBody, MaxConns: 3, IdleTimeout: func() time.Duration { return testIdle }})
		go func() { _ = s.Serve(l) }()
		_, port, err := net.SplitHostPort(l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		c, err := net.Dial("tcp4", net.JoinHostPort("127.0.0.1", port))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		for range 2 {
			select {
			case got := <-h:
				if got.Caller.String() != "127.0.0.1" {
					t.Errorf("%s: got: %v want: 127.0.0.1", network, got.Caller)
				}
			case <-time.After(5 * time.Second):
				t.Fatalf("%s: got: no call want: one", network)
			}
		}
		_ = c.Close()
		_ = l.Close()
	}
}
