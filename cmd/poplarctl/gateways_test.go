package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/announcer"
	"poplarwind/internal/responder"
	"poplarwind/quarantiner"
	"poplarwind/reporter"
	"poplarwind/tracker"
)

// startGateways serves the status of entries whose builds are given, and returns their addresses. The
// last one does not see the others.
func startGateways(t *testing.T, builds ...string) []string {
	t.Helper()
	var addrs []string
	var listeners []net.Listener
	for range builds {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		listeners, addrs = append(listeners, l), append(addrs, l.Addr().String())
	}
	for i, build := range builds {
		s := reporter.GatewayStatus{
			Entry: string(rune('a' + i)), Build: build, Ready: true, Uptime: 90 * time.Second, Version: 7,
			Positions: map[string]tracker.Position{tracker.Configs.String(): {AsOf: 5, Age: 500 * time.Millisecond}},
			Crashes:   []quarantiner.Status{{Fingerprint: quarantiner.Fingerprint{1}, Crashes: 3, Quarantined: true}},
		}
		if build != "" {
			s.Level = 1
		}
		for j, addr := range addrs {
			live := i < len(builds)-1 || i == j
			s.Members = append(s.Members, announcer.Status{Live: live, Member: announcer.Member{Name: string(rune('a' + j)), Domain: "d", Ops: addr}})
		}
		body, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			_ = (&fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBody(body) }}).Serve(listeners[i])
		}()
	}
	return addrs
}

// TestMixedBuildsHidden shows entries of two builds, one of which is from before builds were stated.
func TestMixedBuildsHidden(t *testing.T) {
	addrs := startGateways(t, "0123456789ab", "", "0123456789ab")
	var out bytes.Buffer
	c := &tool{out: &out, entryAddrs: addrs[0]}
	if err := c.entries(t.Context(), nil); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	want := []string{
		"ENTRY  DOMAIN  BUILD         LEVEL  STATE  UPTIME  CONFIG  CONFIG AGE  UPSTREAMS AGE  LIVE ENTRIES",
		"a      d       0123456789ab  1      ready  90s     7       0.5s        0.0s           3",
		"b      d       -             0      ready  90s     7       0.5s        0.0s           3",
		"c      d       0123456789ab  1      ready  90s     7       0.5s        0.0s           1",
		"mixed builds: - on 1, 0123456789ab on 2",
	}
	if strings.Join(lines, "\n") != strings.Join(want, "\n") {
		t.Errorf("got:\n%s\nwant:\n%s", strings.Join(lines, "\n"), strings.Join(want, "\n"))
	}
	c.wait = true
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	if err := c.entries(ctx, nil); !errors.Is(err, errNotInForce) {
		t.Errorf("got: %v want: %v, as one entry does not see the others", err, errNotInForce)
	}
	c.entryAddrs = ""
	if err := c.entries(ctx, nil); !errors.Is(err, errUsage) {
		t.Errorf("got: %v want: %v", err, errUsage)
	}
}

// TestMalformedStatusOfEntry has an entry respond with heads that HTTP does not allow. Its state must
// not be shown.
func TestMalformedStatusOfEntry(t *testing.T) {
	for head, want := range map[string]error{
		"HTTP/1.1 200 OK\r\nX-Odd: 1\r\n": nil,
		"HTTP/1.1 000 OK\r\n":             errNoEntry,
		"HTTP/1.1 200 OK\r\nX Odd: 1\r\n": errNoEntry,
	} {
		addr := responder.Start(t, func(*fasthttp.Request) (string, bool) {
			return head + "Content-Length: 14\r\n\r\n" + `{"entry":"e1"}`, false
		})
		c := &tool{out: &bytes.Buffer{}, entryAddrs: addr}
		if err := c.entries(t.Context(), nil); !errors.Is(err, want) {
			t.Errorf("%q: got: %v want: %v", head, err, want)
		}
	}
}
