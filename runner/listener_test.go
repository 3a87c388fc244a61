package runner

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"poplarwind/internal/acceptor"
	"poplarwind/platform/imitator"
)

// TestIdleConnectionsBlockListeners opens more connections to each listener than it may have and
// leaves them: without a request, behind one, within a header, and within a body. Sound requests must
// be answered nevertheless, on new connections.
func TestIdleConnectionsBlockListeners(t *testing.T) {
	s := newGatewayEnv(t, time.Millisecond)
	g := s.start("e1", "1s")
	t.Cleanup(func() {
		g.stop()
		<-g.done
	})
	p := g.process
	for name, uri := range map[string]string{
		"ops": p.Ops() + "/ready", "ready": p.Gateway().ReadyAddr() + imitator.ReadyPath, "directory": p.Gateway().ResolveAddr() + imitator.ResolveQuery("h.example", "a"),
		"peers": p.Peers() + "/unsigned",
	} {
		want := 200
		if name == "peers" {
			want = 403
		}
		addr, path, _ := strings.Cut(uri, "/")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, left := range []struct {
				kind, text string
				// closable is how long the connections stay before they give way.
				closable time.Duration
			}{
				{"silent", "", acceptor.MinIdle},
				{"behind a request", fmt.Sprintf("GET /%s HTTP/1.1\r\nHost: h\r\n\r\n", path), acceptor.MinIdle},
				{"within a header", "GET / HTTP/1.1\r\nX-", acceptor.MaxTransfer},
				{"within a body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n1", acceptor.MaxTransfer},
			} {
				end := leaveConnections(t, g, name, addr, left.text)
				time.Sleep(left.closable + 200*time.Millisecond)
				client := &fasthttp.Client{MaxIdleConnDuration: time.Millisecond}
				for n := range 20 {
					start := time.Now()
					if code, _, err := client.GetTimeout(nil, "http://"+uri, 2*time.Second); code != want {
						t.Errorf("%s, request %d: got: %d, %v after %v want: %d", left.kind, n, code, err, time.Since(start), want)
					}
				}
				end()
			}
		})
	}
}

// leaveConnections opens more connections to a listener than it may have, sends a text on each, and waits
// until all were accepted. The function that it returns closes them.
func leaveConnections(t *testing.T, g *testGateway, listener, addr, text string) (end func()) {
	t.Helper()
	const conns = internalMaxConns + 40
	await := func(what string, condition func(acceptor.Usage) bool) acceptor.Usage {
		t.Helper()
		for start := time.Now(); ; time.Sleep(10 * time.Millisecond) {
			u := g.listenerUsage()[listener]
			if condition(u) {
				return u
			}
			if time.Since(start) > 10*time.Second {
				t.Fatalf("got: %+v want: %s", u, what)
			}
		}
	}
	before := await("no connection", func(u acceptor.Usage) bool { return u.Open == 0 })
	var opened []net.Conn
	for range conns {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(c, text)
		opened = append(opened, c)
	}
	await("all connections accepted", func(u acceptor.Usage) bool {
		return int64(u.Open)+u.Closed-before.Closed+u.TurnedAway-before.TurnedAway >= conns
	})
	return func() {
		for _, c := range opened {
			_ = c.Close()
		}
	}
}
