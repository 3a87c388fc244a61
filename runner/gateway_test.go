package runner

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"poplarwind/parser"
	"poplarwind/platform/imitator"
)

// site is a stand-in store, one upstream, and gateways on loopback.
type site struct {
	t     *testing.T
	store *imitator.Store
	addr  string
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", testHost+":0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// newSite starts a store with a configuration and an upstream that takes work
// for each request.
func newSite(t *testing.T, work time.Duration) *site {
	s := &site{t: t, store: &imitator.Store{}}
	l, up := listen(t), listen(t)
	s.addr = l.Addr().String()
	upstream := &fasthttp.Server{Handler: imitator.Upstream("i-1", work)}
	var wg sync.WaitGroup
	wg.Go(func() { _ = s.store.Serve(l) })
	wg.Go(func() { _ = upstream.Serve(up) })
	t.Cleanup(func() {
		_ = s.store.Close()
		_ = up.Close()
		wg.Wait()
	})
	s.store.PutRoute(3, "h.example", "/a/", "jobs")
	s.store.PutUpstream("i-1", "jobs", up.Addr().String(), "a")
	return s
}

// free returns an address that nobody listens at.
func free(t *testing.T) string {
	l := listen(t)
	defer l.Close()
	return l.Addr().String()
}

// running is a gateway that runs.
type running struct {
	*Gateway
	stop context.CancelFunc
	done chan error
}

// settings returns the settings of a gateway on free addresses.
func (s *site) settings(name, grace string) string {
	return fmt.Sprintf(`{"name":%q,"domain":"a","callers":%q,"peers":%q,"ops":%q,"platform":%q,"secret":"secret-of-the-tests","beat":"100ms","silence":"1s",
		"gateway":{"resolve":%q,"ready":%q,"grace":%q,"probes":1000}}`,
		name, free(s.t), free(s.t), free(s.t), s.addr, free(s.t), free(s.t), grace)
}

func (s *site) start(name, grace string) *running { return s.run(s.settings(name, grace)) }

// run starts a gateway and waits until it is ready.
func (s *site) run(text string) *running {
	r := s.begin(text)
	for begun := time.Now(); !r.ready(); time.Sleep(10 * time.Millisecond) {
		if time.Since(begun) > 10*time.Second {
			s.t.Fatal("got: not ready in 10 s want: ready")
		}
	}
	return r
}

// begin starts a gateway.
func (s *site) begin(text string) *running {
	p, err := parser.ParseProcess("test", []byte(text))
	if err != nil {
		s.t.Fatal(err)
	}
	g, err := NewGateway(p, slog.New(slog.DiscardHandler), func() int64 { return 0 })
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &running{Gateway: g, stop: stop, done: make(chan error, 1)}
	go func() { r.done <- g.Run(ctx) }()
	return r
}

// TestReadyIsAnswered asks an entry for entries all the while until it is ready:
// from then on the answer has it.
func TestReadyIsAnswered(t *testing.T) {
	s := newSite(t, time.Millisecond)
	g := s.begin(s.settings("e1", "1s"))
	for begun := time.Now(); !g.ready(); {
		if list, _ := g.resolve("h.example", "a"); len(list) > 0 && !g.ready() {
			t.Errorf("got: %v of an entry that is not ready want: nobody", list)
		}
		if time.Since(begun) > 10*time.Second {
			t.Fatal("got: not ready in 10 s want: ready")
		}
	}
	if list, _ := g.resolve("h.example", "a"); len(list) != 1 {
		t.Errorf("got: %v want: the entry", list)
	}
	g.stop()
	if err := <-g.done; err != nil {
		t.Error(err)
	}
}

// ask sends one request on a connection and returns the status.
func ask(c net.Conn, id string) (int, error) {
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(c, imitator.Request("h.example", "/a/1", id)); err != nil {
		return 0, err
	}
	buffer := make([]byte, 4096)
	n, err := c.Read(buffer)
	if err != nil {
		return 0, err
	}
	var status int
	_, err = fmt.Sscanf(string(buffer[:n]), "HTTP/1.1 %d", &status)
	return status, err
}

// TestStopCutsNothing stops an entry under load on kept connections whose
// callers don't hear of it: every request that was sent gets an answer, or its
// connection was closed before.
func TestStopCutsNothing(t *testing.T) {
	s := newSite(t, 700*time.Millisecond)
	g := s.start("e1", "3s")
	var wg sync.WaitGroup
	var mu sync.Mutex
	served, refused := 0, 0
	// last is when the last answer came: the end of the process would have cut
	// what comes later.
	var last time.Time
	for i := range 20 {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 40 * time.Millisecond)
			for n := 0; ; n++ {
				c, err := net.Dial("tcp", g.process.Callers())
				if err != nil {
					return
				}
				status, err := ask(c, fmt.Sprintf("r%d-%d", i, n))
				_ = c.Close()
				mu.Lock()
				if err == nil {
					last = time.Now()
				}
				switch {
				case err != nil && !crossed(err):
					t.Errorf("got: %v want: an answer", err)
				case status == 200:
					served++
				case status == 503:
					refused++
				}
				mu.Unlock()
				if err != nil || status != 200 {
					return
				}
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	begun := time.Now()
	g.stop()
	if err := <-g.done; err != nil {
		t.Errorf("got: %v want: an orderly end", err)
	}
	ended := time.Now()
	wg.Wait()
	if last.After(ended) {
		t.Errorf("got: an answer %v after the end want: none cut", last.Sub(ended))
	}
	if d := ended.Sub(begun); d > 3*time.Second {
		t.Errorf("got: %v want: within the grace time", d)
	}
	if served < 40 {
		t.Errorf("got: %d served, %d refused want: at least 40 served", served, refused)
	}
}

// crossed reports whether a connection was reset before its request was read.
func crossed(err error) bool { return strings.Contains(err.Error(), "reset by peer") }

// TestPlatformCalls asks a gateway what the platform and callers ask: where to
// connect, whether it is ready, and for its metrics.
func TestPlatformCalls(t *testing.T) {
	s := newSite(t, time.Millisecond)
	a, b := s.start("e1", "1s"), s.start("e2", "1s")
	o := a.process.Gateway()
	want := fmt.Sprintf("%q", b.process.Callers())
	for begun := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		body := get(t, "http://"+o.Resolve()+imitator.ResolveQuery("h.example", "a"), 200)
		if strings.Contains(body, want) && strings.Contains(body, a.process.Callers()) {
			break
		}
		if time.Since(begun) > 5*time.Second {
			t.Fatalf("got: %s want: both entries", body)
		}
	}
	get(t, "http://"+o.Ready()+imitator.ReadyPath, 200)
	get(t, "http://"+o.Ready()+"/other", 404)
	c, err := net.Dial("tcp", a.process.Callers())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if status, err := ask(c, "r1"); status != 200 || err != nil {
		t.Errorf("got: %d, %v want: 200", status, err)
	}
	if text := get(t, "http://"+a.process.Ops()+"/metrics", 200); !strings.Contains(text, "poplarwind_request_duration") || !strings.Contains(text, "poplarwind_store_calls") {
		t.Errorf("got: %.200s want: counters and histograms", text)
	}
	if text := get(t, "http://"+a.process.Ops()+"/dump", 200); strings.Contains(text, "secret-of-the-tests") || !strings.Contains(text, `"version":3`) {
		t.Errorf("got: %.200s want: the state without the secret", text)
	}
	a.stop()
	for begun := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		body := get(t, "http://"+b.process.Gateway().Resolve()+imitator.ResolveQuery("h.example", "a"), 200)
		if !strings.Contains(body, a.process.Callers()) {
			break
		}
		if time.Since(begun) > 2*time.Second {
			t.Fatalf("got: %s want: the leaving entry left out", body)
		}
	}
	b.stop()
	for _, g := range []*running{a, b} {
		if err := <-g.done; err != nil {
			t.Errorf("got: %v want: an orderly end", err)
		}
	}
}

func get(t *testing.T, uri string, status int) string {
	t.Helper()
	got, body, err := fasthttp.Get(nil, uri)
	if err != nil && err != io.EOF {
		t.Fatal(err)
	}
	if got != status {
		t.Fatalf("%s: got: %d want: %d", uri, got, status)
	}
	return string(body)
}

// TestStopInTime ends an entry while a duty is in a call that does not end: the
// stop does not wait for it.
func TestStopInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &Gateway{log: slog.New(slog.DiscardHandler)}
		call := make(chan struct{})
		var group errgroup.Group
		group.Go(func() error {
			<-call
			return nil
		})
		begun := time.Now()
		if err := g.join(&group); err != nil {
			t.Errorf("got: %v want: no error", err)
		}
		if d := time.Since(begun); d > 200*time.Millisecond {
			t.Errorf("got: %v want: at most 200 ms", d)
		}
		close(call)
	})
}
