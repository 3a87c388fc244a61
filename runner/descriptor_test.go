package runner

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/parser"
	"poplarwind/platform/imitator"
)

// TestConnLimits divides descriptors. The connections to all listeners must leave descriptors
// for others, and settings that the process can't hold must be rejected.
func TestConnLimits(t *testing.T) {
	for _, tc := range []struct {
		descriptors, configured, callers int
		invalid                          bool
	}{
		{4100, 0, 2925, false},
		{4100, 1000, 1000, false},
		{4100, 8192, 0, true},
		{2870, 0, 2002, false},
		{1 << 20, 8192, 8192, false},
		{100, 0, 0, true},
		{0, 0, 0, true},
	} {
		l, err := newConnLimits(tc.descriptors, tc.configured)
		if tc.invalid {
			if !errors.Is(err, errors.NotValid) {
				t.Errorf("%+v: got: %+v, %v want: %v", tc, l, err, errors.NotValid)
			}
			continue
		}
		if err != nil || l.callers != tc.callers || l.callers+4*l.others > tc.descriptors-fileDescriptors {
			t.Errorf("%+v: got: %+v, %v want: %d for callers", tc, l, err, tc.callers)
		}
	}
}

// users are callers that keep a connection each and send a request from time to time.
type users struct {
	t        *testing.T
	callers  string
	recorder *imitator.Recorder
	end      time.Time

	served, turnedAway, closed, lost atomic.Int64
}

// run is one user. Its connection may be closed while it is idle, for others: the request that
// finds this out was not read. A request is lost if an upstream ran it and no answer came.
func (u *users) run(name string) {
	var c net.Conn
	var err error
	for n := 0; time.Now().Before(u.end); n++ {
		if c == nil {
			if c, err = net.Dial("tcp", u.callers); err != nil {
				u.t.Error(err)
				return
			}
		}
		id := fmt.Sprintf("%s-%d", name, n)
		code, err := sendRequest(c, id)
		switch {
		case code == 200:
			u.served.Add(1)
			time.Sleep(600 * time.Millisecond)
			continue
		case code == 503 && !u.recorder.Ran(id):
			u.turnedAway.Add(1)
		case err != nil && !u.recorder.Ran(id):
			u.closed.Add(1)
		default:
			u.lost.Add(1)
			u.t.Logf("%s: lost with status %d, %v", id, code, err)
		}
		_ = c.Close()
		c = nil
		time.Sleep(50 * time.Millisecond)
	}
	if c != nil {
		_ = c.Close()
	}
}

// TestUsersBeyondConnLimit has 1, 1.7 and 3 times as many users as an entry has connections for.
// No request may be lost that an upstream runs, and others must be served meanwhile.
func TestUsersBeyondConnLimit(t *testing.T) {
	const limit = 100
	for _, factor := range []float64{1, 1.7, 3} {
		t.Run(fmt.Sprint(factor), func(t *testing.T) {
			s := newGatewayEnv(t, 20*time.Millisecond)
			u := &users{t: t, recorder: &imitator.Recorder{}}
			for i := range 4 {
				id := fmt.Sprintf("r-%d", i)
				l := listen(t)
				t.Cleanup(func() { _ = l.Close() })
				go func() { _ = (&fasthttp.Server{Handler: u.recorder.Handler(id, 20*time.Millisecond)}).Serve(l) }()
				s.store.PutUpstream(id, "recorded", l.Addr().String(), "a")
			}
			s.store.PutRoute(4, "h.example", "/a/", "recorded")
			g := s.run(strings.Replace(s.settings("e1", "1s"), `"gateway":{`, fmt.Sprintf(`"conns":%d,"gateway":{`, limit), 1))
			u.callers, u.end = g.process.Callers(), time.Now().Add(3*time.Second)
			var wg sync.WaitGroup
			for i := range int(factor * limit) {
				wg.Go(func() {
					time.Sleep(time.Duration(i) * 5 * time.Millisecond)
					u.run(fmt.Sprint("u", i))
				})
			}
			wg.Wait()
			t.Logf("%d served, %d turned away, %d found their connection closed, %d lost; %+v", u.served.Load(), u.turnedAway.Load(), u.closed.Load(), u.lost.Load(), g.callers.Connections())
			if u.lost.Load() > 0 || u.served.Load() < limit {
				t.Errorf("got: %d lost, %d served want: 0, at least %d", u.lost.Load(), u.served.Load(), limit)
			}
			if n := u.turnedAway.Load() + u.closed.Load(); factor == 1 && n > 0 {
				t.Errorf("got: %d turned away or closed want: none, as there is a connection for each", n)
			}
			g.stop()
			<-g.done
		})
	}
}

// exhausted is a listener of which each second accept fails for want of descriptors.
type exhausted struct {
	net.Listener
	accepts atomic.Int64
}

func (l *exhausted) Accept() (net.Conn, error) {
	if l.accepts.Add(1)%2 == 1 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestAcceptErrorEndsEntry has the accepts of all listeners fail for want of descriptors. The
// entry must go on, and must respond at each of them.
func TestAcceptErrorEndsEntry(t *testing.T) {
	s := newGatewayEnv(t, time.Millisecond)
	p, err := parser.ParseProcess("test", []byte(s.settings("e1", "1s")))
	if err != nil {
		t.Fatal(err)
	}
	g, err := NewGateway(p, slog.New(slog.DiscardHandler), func() int64 { return 0 })
	if err != nil {
		t.Fatal(err)
	}
	g.callersListener = &exhausted{Listener: g.callersListener}
	for i := range g.listeners {
		g.listeners[i].Listener = &exhausted{Listener: g.listeners[i].Listener}
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	done := make(chan error, 1)
	go func() { done <- g.Run(ctx) }()
	entry := &testGateway{Gateway: g}
	for start := time.Now(); status(entry, "a") != 200; time.Sleep(20 * time.Millisecond) {
		if time.Since(start) > 5*time.Second {
			t.Error("got: requests not served in 5 s want: 200")
			break
		}
	}
	for range 3 {
		for _, uri := range []string{p.Ops() + "/ready", p.Gateway().ReadyAddr() + imitator.ReadyPath, p.Gateway().ResolveAddr() + imitator.ResolveQuery("h.example", "a")} {
			if code, _, err := fasthttp.GetTimeout(nil, "http://"+uri, 2*time.Second); code != 200 {
				t.Errorf("%s: got: %d, %v want: 200", uri, code, err)
			}
		}
	}
	select {
	case err := <-done:
		t.Errorf("got: the entry ended, %v want: it goes on", err)
		return
	default:
	}
	stop()
	if err := <-done; err != nil {
		t.Errorf("got: %v want: a graceful stop", err)
	}
}

// TestFailedTaskEndsEntrySilently has a task of an entry fail: Run must return its error, so
// that the process does not end as if it had been stopped.
func TestFailedTaskEndsEntrySilently(t *testing.T) {
	s := newGatewayEnv(t, time.Millisecond)
	p, err := parser.ParseProcess("test", []byte(s.settings("e1", "1s")))
	if err != nil {
		t.Fatal(err)
	}
	g, err := NewGateway(p, slog.New(slog.DiscardHandler), func() int64 { return 0 })
	if err != nil {
		t.Fatal(err)
	}
	failing := errors.ConstError("task failed")
	done := make(chan error, 1)
	go func() { done <- g.run(context.Background(), func(context.Context) error { return failing }) }()
	select {
	case err := <-done:
		if !errors.Is(err, failing) {
			t.Errorf("got: %v want: %v", err, failing)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("got: the entry goes on want: an error")
	}
}
