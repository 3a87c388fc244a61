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
// leaves them: without a request, behind one, and within a header. Sound requests must be answered
// nevertheless, on new connections.
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
		addr, path, _ := strings.Cut(uri, "/")
		want := 200
		if name == "peers" {
			want = 403
		}
		for kind, text := range map[string]string{
			"silent": "", "behind a request": fmt.Sprintf("GET /%s HTTP/1.1\r\nHost: h\r\n\r\n", path), "within a header": "GET / HTTP/1.1\r\nX-",
			"within a body": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n1",
		} {
			t.Run(name+" "+kind, func(t *testing.T) {
				t.Parallel()
				for range internalMaxConns + 40 {
					c, err := net.Dial("tcp", addr)
					if err != nil {
						t.Fatal(err)
					}
					defer c.Close()
					_, _ = io.WriteString(c, text)
				}
				// Connections in use are closed for others later than idle ones.
				time.Sleep(acceptor.MaxTransfer + 200*time.Millisecond)
				client := &fasthttp.Client{MaxIdleConnDuration: time.Millisecond}
				for n := range 20 {
					start := time.Now()
					code, _, err := client.GetTimeout(nil, "http://"+uri, 2*time.Second)
					if code != want {
						t.Errorf("request %d: got: %d, %v after %v want: %d", n, code, err, time.Since(start), want)
					}
				}
			})
		}
	}
}
