package runner

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"poplarwind/platform/imitator"
)

// slowLink carries bytes between connections to a listener and a target, those to the client at
// 10 Mbit/s altogether.
type slowLink struct {
	net.Listener
	link link
}

// slowRate is the rate of a slow link in bytes per second.
const slowRate = 10e6 / 8

func (s *slowLink) serve(target string) {
	for {
		client, err := s.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", target)
		if err != nil {
			_ = client.Close()
			continue
		}
		go func() {
			_, _ = io.Copy(server, client)
			_ = server.Close()
		}()
		go func() {
			defer client.Close()
			block := make([]byte, 4<<10)
			for {
				n, err := server.Read(block)
				if err != nil {
					return
				}
				s.link.send(int(float64(n) * linkRate / slowRate))
				if _, err := client.Write(block[:n]); err != nil {
					return
				}
			}
		}()
	}
}

// TestLargeConfigurationOverSlowLink gives an entry whose path to the store carries 10 Mbit/s a
// configuration of almost a megabyte, which takes 0.7 s, and then changes it. Each version must
// come into force.
func TestLargeConfigurationOverSlowLink(t *testing.T) {
	s := newGatewayEnv(t, time.Millisecond)
	var routes []imitator.Route
	for i := range 2500 {
		routes = append(routes, imitator.Route{Path: fmt.Sprintf("/%d/%s/", i, strings.Repeat("x", 200)), Idempotent: true})
	}
	s.store.PutRoutes(4, "h.example", "jobs", routes)
	slow := &slowLink{Listener: listen(t)}
	t.Cleanup(func() { _ = slow.Close() })
	go slow.serve(s.addr)
	s.addr = slow.Addr().String()
	g := s.launch(s.settings("e1", "1s"))
	defer func() {
		g.stop()
		<-g.done
	}()
	for version := 4; version < 7; version++ {
		if version > 4 {
			s.store.PutRoutes(version, "h.example", "jobs", routes)
		}
		start := time.Now()
		for table := g.forwarder.Table(); table == nil || table.Version() != int64(version); table = g.forwarder.Table() {
			if time.Since(start) > 5*time.Second {
				t.Fatalf("got: version %d not in force after %v want: in force", version, time.Since(start))
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("version %d in force after %v", version, time.Since(start))
	}
}
