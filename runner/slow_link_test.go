package runner

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"poplarwind/platform"
	"poplarwind/platform/imitator"
	"poplarwind/tracker"
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

// TestWatchOfMissedVersionsHoldsUp watches from before 12 versions of a configuration of 260 kB over a path
// of 10 Mbit/s. The watch, which has all of them, must end soon, and a list have the newest one.
func TestWatchOfMissedVersionsHoldsUp(t *testing.T) {
	s := newGatewayEnv(t, time.Millisecond)
	var routes []imitator.Route
	for i := range 1400 {
		routes = append(routes, imitator.Route{Path: fmt.Sprintf("/%d/", i), Idempotent: true})
	}
	for version := 4; version < 16; version++ {
		s.store.PutRoutes(version, "h.example", "jobs", routes)
	}
	slow := &slowLink{Listener: listen(t)}
	t.Cleanup(func() { _ = slow.Close() })
	go slow.serve(s.addr)
	store := platform.NewStore(slow.Addr().String(), slog.New(slog.DiscardHandler), nil, nil)
	limited := func() context.Context {
		ctx, cancel := context.WithTimeout(t.Context(), tracker.ResponseTimeout)
		t.Cleanup(cancel)
		return ctx
	}
	start := time.Now()
	if _, err := store.Watch(limited(), tracker.Configs, 1, time.Millisecond); err == nil || time.Since(start) > 2*tracker.ResponseTimeout {
		t.Errorf("got: %v after %v want: an error within %v", err, time.Since(start), 2*tracker.ResponseTimeout)
	}
	d, err := store.List(limited(), tracker.Configs, false)
	if err != nil || len(d.Changes) != 1 || d.Changes[0].Config.Version != 15 {
		t.Errorf("got: %v, %d objects want: version 15", err, len(d.Changes))
	}
}
