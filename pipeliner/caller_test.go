package pipeliner

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"
)

// callerHandler passes on the callers of calls.
type callerHandler chan netip.Addr

func (callerHandler) Concurrent(*Call) bool { return false }

func (h callerHandler) Handle(_ context.Context, c *Call) { h <- c.Caller }

// TestCallerAddress sends a request over an IPv4 connection to listeners of either kind. It guards against
// callers without an address, or with one that depends on the listener, which would not be told apart in
// the admission queue.
func TestCallerAddress(t *testing.T) {
	for _, address := range []string{"127.0.0.1:0", ":0"} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		h := make(callerHandler, 1)
		go func() { _ = newTestServer(h).Serve(l) }()
		c, err := net.Dial("tcp4", netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(l.Addr().(*net.TCPAddr).Port)).String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		select {
		case got := <-h:
			if got.String() != "127.0.0.1" {
				t.Errorf("%s: got: %v want: 127.0.0.1", address, got)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("%s: got: no call want: one", address)
		}
		_ = c.Close()
		_ = l.Close()
	}
}
