package runner

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"poplarwind/parser"
	"poplarwind/platform/imitator"
)

// gatewayEnv is a test environment of an imitated store, one upstream, and
// gateways on loopback.
type gatewayEnv struct {
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

// newGatewayEnv starts a store with a configuration, and an upstream that
// serves each request in the time work.
func newGatewayEnv(t *testing.T, work time.Duration) *gatewayEnv {
	s := &gatewayEnv{t: t, store: &imitator.Store{}}
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

// firstPort is below the range from which the system takes ports of its own choice, such
// as those of outgoing connections.
const firstPort = 20000

// lastPort is the last port that freeAddr returned, relative to firstPort.
var lastPort atomic.Int32

// freeAddr returns an address without a listener, a different one each time. A port that
// the system chose could be in use again before it is listened at.
func freeAddr(t *testing.T) string {
	t.Helper()
	for range 1000 {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", testHost, firstPort+lastPort.Add(1)%10000))
		if err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
	t.Fatal("got: no free port want: one")
	return ""
}

// testGateway is a running gateway.
type testGateway struct {
	*Gateway
	imitated *imitator.Store
	stop     context.CancelFunc
	done     chan error
}

// settings returns the settings of a gateway in failure domain a on free addresses.
func (s *gatewayEnv) settings(name, grace string) string { return s.settingsIn("a", name, grace) }

// settingsIn returns the settings of a gateway in a failure domain on free addresses.
func (s *gatewayEnv) settingsIn(domain, name, grace string) string {
	return fmt.Sprintf(`{"name":%q,"domain":%q,"callers":%q,"peers":%q,"ops":%q,"platform":%q,"secret":"secret-of-the-tests","beat":"100ms","silence":"1s",
		"gateway":{"resolve":%q,"ready":%q,"grace":%q,"probes":1000}}`,
		name, domain, freeAddr(s.t), freeAddr(s.t), freeAddr(s.t), s.addr, freeAddr(s.t), freeAddr(s.t), grace)
}

func (s *gatewayEnv) start(name, grace string) *testGateway { return s.run(s.settings(name, grace)) }

// run starts a gateway with the given settings and waits until it is ready.
func (s *gatewayEnv) run(text string) *testGateway {
	r := s.launch(text)
	for start := time.Now(); !r.ready(); time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > 10*time.Second {
			s.t.Fatal("got: not ready in 10 s want: ready")
		}
	}
	return r
}

// launch starts a gateway without waiting for it.
func (s *gatewayEnv) launch(text string) *testGateway {
	p, err := parser.ParseProcess("test", []byte(text))
	if err != nil {
		s.t.Fatal(err)
	}
	g, err := NewGateway(p, slog.New(slog.DiscardHandler), func() int64 { return 0 })
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &testGateway{Gateway: g, imitated: s.store, stop: stop, done: make(chan error, 1)}
	go func() { r.done <- g.Run(ctx) }()
	return r
}

// TestResolveOnlyReadyEntry resolves at an entry until it is ready. The entry must
// not be in the result before, and must be in the first one after: a cached empty
// membership snapshot would delay it.
func TestResolveOnlyReadyEntry(t *testing.T) {
	s := newGatewayEnv(t, time.Millisecond)
	g := s.launch(s.settings("e1", "1s"))
	for start := time.Now(); !g.ready(); {
		if list, _ := g.resolve("h.example", "a"); len(list) > 0 && !g.ready() {
			t.Errorf("got: %v before the entry is ready want: no entries", list)
		}
		if time.Since(start) > 10*time.Second {
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

// sendRequest sends one request on a connection and returns the status.
func sendRequest(c net.Conn, id string) (int, error) {
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

// TestStopCompletesRequests stops an entry under load from callers that are not
// notified of the stop. Every request that was sent must get a response, unless
// its connection was reset before it was read.
func TestStopCompletesRequests(t *testing.T) {
	s := newGatewayEnv(t, 700*time.Millisecond)
	g := s.start("e1", "3s")
	var wg sync.WaitGroup
	var mu sync.Mutex
	served, rejected := 0, 0
	// last is the time of the last response. The exit of a real process would
	// have cut off any response after the end of Run.
	var last time.Time
	for i := range 20 {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 40 * time.Millisecond)
			for n := 0; ; n++ {
				c, err := net.Dial("tcp", g.process.Callers())
				if err != nil {
					return
				}
				status, err := sendRequest(c, fmt.Sprintf("r%d-%d", i, n))
				_ = c.Close()
				mu.Lock()
				if err == nil {
					last = time.Now()
				}
				switch {
				case err != nil && !connectionReset(err):
					t.Errorf("got: %v want: a response", err)
				case status == 200:
					served++
				case status == 503:
					rejected++
				}
				mu.Unlock()
				if err != nil || status != 200 {
					return
				}
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	start := time.Now()
	g.stop()
	if err := <-g.done; err != nil {
		t.Errorf("got: %v want: a graceful stop", err)
	}
	end := time.Now()
	wg.Wait()
	if last.After(end) {
		t.Errorf("got: a response %v after the end of Run want: none", last.Sub(end))
	}
	if d := end.Sub(start); d > 3*time.Second {
		t.Errorf("got: %v want: within the grace time", d)
	}
	if served < 40 {
		t.Errorf("got: %d served, %d rejected want: at least 40 served", served, rejected)
	}
}

// connectionReset reports whether a connection was reset before its request was
// read.
func connectionReset(err error) bool { return strings.Contains(err.Error(), "reset by peer") }

// TestPlatformEndpoints sends a gateway the requests of the platform, callers
// and operators: resolution, readiness, a call, metrics and a dump. A draining
// entry must no longer be resolved.
func TestPlatformEndpoints(t *testing.T) {
	s := newGatewayEnv(t, time.Millisecond)
	a, b := s.start("e1", "1s"), s.start("e2", "1s")
	o := a.process.Gateway()
	want := fmt.Sprintf("%q", b.process.Callers())
	for start := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		body := get(t, "http://"+o.ResolveAddr()+imitator.ResolveQuery("h.example", "a"), 200)
		if strings.Contains(body, want) && strings.Contains(body, a.process.Callers()) {
			break
		}
		if time.Since(start) > 5*time.Second {
			t.Fatalf("got: %s want: both entries", body)
		}
	}
	get(t, "http://"+o.ReadyAddr()+imitator.ReadyPath, 200)
	get(t, "http://"+o.ReadyAddr()+"/other", 404)
	c, err := net.Dial("tcp", a.process.Callers())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if status, err := sendRequest(c, "r1"); status != 200 || err != nil {
		t.Errorf("got: %d, %v want: 200", status, err)
	}
	if text := get(t, "http://"+a.process.Ops()+"/metrics", 200); !strings.Contains(text, "poplarwind_request_duration") || !strings.Contains(text, "poplarwind_store_calls") {
		t.Errorf("got: %.200s want: counters and histograms", text)
	}
	if text := get(t, "http://"+a.process.Ops()+"/dump", 200); strings.Contains(text, "secret-of-the-tests") || !strings.Contains(text, `"version":3`) {
		t.Errorf("got: %.200s want: the state without the secret", text)
	}
	a.stop()
	for start := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		body := get(t, "http://"+b.process.Gateway().ResolveAddr()+imitator.ResolveQuery("h.example", "a"), 200)
		if !strings.Contains(body, a.process.Callers()) {
			break
		}
		if time.Since(start) > 2*time.Second {
			t.Fatalf("got: %s want: no draining entry", body)
		}
	}
	b.stop()
	for _, g := range []*testGateway{a, b} {
		if err := <-g.done; err != nil {
			t.Errorf("got: %v want: a graceful stop", err)
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

// TestStopNotBlockedByTask waits for the background tasks while one is in a call
// that does not return. The wait must end in time without it.
func TestStopNotBlockedByTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &Gateway{log: slog.New(slog.DiscardHandler)}
		call := make(chan struct{})
		var group errgroup.Group
		group.Go(func() error {
			<-call
			return nil
		})
		start := time.Now()
		if err := g.waitTasks(&group); err != nil {
			t.Errorf("got: %v want: no error", err)
		}
		if d := time.Since(start); d > 200*time.Millisecond {
			t.Errorf("got: %v want: at most 200 ms", d)
		}
		close(call)
	})
}
