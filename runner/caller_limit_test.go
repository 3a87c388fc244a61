package runner

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// TestLimitsOfConfigurationNotInForce sends requests beyond the limits that the operator's configuration
// sets for headers, bodies and the time for a header. Each must be rejected as not run, and one within
// them be served.
func TestLimitsOfConfigurationNotInForce(t *testing.T) {
	s := newGatewayEnv(t, time.Millisecond)
	s.store.Put("config", "main", `{"version":4,"routes":[{"name":"r","host":"h.example","path_prefix":"/a/","type":"safe","timeout_ms":2000,
		"target_latency_ms":500,"service":"jobs","max_attempts":2}],"services":[{"name":"jobs","health_path":"/healthz"}],
		"limits":{"max_header_bytes":1000,"max_body_bytes":2000,"header_timeout_ms":300,"idle_timeout_ms":15000}}`)
	g := s.start("e1", "1s")
	defer func() {
		g.stop()
		<-g.done
	}()
	head := "POST /a/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\nDeadline-Ms: 2000\r\n"
	for _, tc := range []struct {
		name, text string
		want       int
	}{
		{"within them", head + "Content-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000), 200},
		{"header", head + "X-Long: " + strings.Repeat("x", 1000) + "\r\nContent-Length: 0\r\n\r\n", 431},
		{"body", head + "Content-Length: 2001\r\n\r\n", 413},
		{"time for a header", head, 408},
	} {
		c, err := net.Dial("tcp", g.process.Callers())
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(2 * time.Second))
		_, _ = io.WriteString(c, tc.text)
		buffer := make([]byte, 64)
		n, err := c.Read(buffer)
		got := 0
		_, _ = fmt.Sscanf(string(buffer[:n]), "HTTP/1.1 %d", &got)
		if got != tc.want {
			t.Errorf("%s: got: %d, %v want: %d", tc.name, got, err, tc.want)
		}
		_ = c.Close()
	}
}
