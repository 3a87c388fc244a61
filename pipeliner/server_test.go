package pipeliner

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/bufferer"
	"poplarwind/internal/acceptor"
	"poplarwind/internal/guarder"
	_ "poplarwind/internal/seeder"
	"poplarwind/router"
)

// TestConnLimit opens one connection more than allowed while the others have requests.
func TestConnLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{Handler: newTestHandler(), MaxHeader: testMaxHeader, MaxConns: 1, IdleTimeout: func() time.Duration { return testIdle }})
		for i, want := range []int{0, 503} {
			caller, entry := net.Pipe()
			go s.ServeConn(entry)
			if want == 0 {
				if _, err := io.WriteString(caller, "GET /safe/30000/first HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
					t.Fatal(err)
				}
			}
			synctest.Wait()
			_ = caller.SetReadDeadline(time.Now().Add(time.Second))
			var resp fasthttp.Response
			err := resp.Read(bufio.NewReader(caller))
			if want == 0 && err == nil || want > 0 && resp.StatusCode() != want {
				t.Errorf("connection %d: got: %d, %v want: %d", i, resp.StatusCode(), err, want)
			}
		}
		time.Sleep(time.Minute)
	})
}

// TestShutdown shuts down a server with an idle connection and a busy one: the
// former is closed at once, the latter after its response.
func TestShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestHandler()
		s := newTestServer(h)
		idle, entry := net.Pipe()
		go s.ServeConn(entry)
		busy, _ := h.connect(s)
		_, _ = io.WriteString(busy, request([]string{"order", "200", "a"}))
		synctest.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		start := time.Now()
		if err := s.Shutdown(ctx); err != nil || time.Since(start) < 200*time.Millisecond {
			t.Errorf("got: %v after %v want: no error after 200 ms or more", err, time.Since(start))
		}
		if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("got: %v want: %v", err, io.EOF)
		}
		synctest.Wait()
		if got := strings.Join(h.events, ", "); got != "0 start a, 200 answer 200 a close" {
			t.Errorf("got: %s want: the response", got)
		}
		time.Sleep(time.Minute)
	})
}

// TestDisconnectBehindUnreadBytes leaves a connection whose last bytes are unread,
// since too many requests are pending. The calls in progress must be cancelled.
func TestDisconnectBehindUnreadBytes(t *testing.T) {
	h := newTestHandler()
	s := newTestServer(h)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	for i := range 400 {
		if _, err := io.WriteString(c, request([]string{"safe", "60000", strconv.Itoa(i)})); err != nil {
			t.Fatal(err)
		}
	}
	_ = c.Close()
	for start := time.Now(); s.Pending() > 0 || len(s.open()) > 0; time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > 5*time.Second {
			t.Fatalf("got: %d calls pending 5 s after the caller left want: 0", s.Pending())
		}
	}
	_ = l.Close()
	if err := <-served; err != nil {
		t.Errorf("got: %v want: no error", err)
	}
}

// TestDrainClosesOverTCP drains while a request runs. The entry closes the connection
// after the response, although its caller does not.
func TestDrainClosesOverTCP(t *testing.T) {
	for range 20 {
		s := newTestServer(newTestHandler())
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = s.Serve(l) }()
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(c, request([]string{"safe", "20", "a"})); err != nil {
			t.Fatal(err)
		}
		for s.Pending() == 0 {
			time.Sleep(time.Millisecond)
		}
		s.Drain()
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.ReadAll(c); err != nil {
			t.Errorf("got: %v want: the response and the end of the connection", err)
		}
		_ = c.Close()
		_ = l.Close()
	}
}

// TestIdleConnectionMakesRoom opens more connections than a server may have. One that is idle
// must be closed for each further one, the longest idle first, and none that has a request;
// without an idle one the caller is turned away.
func TestIdleConnectionMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestHandler()
		s := New(Options{
			Handler: h, MaxHeader: testMaxHeader, MaxBody: testMaxBody, MaxConns: 3,
			IdleTimeout: func() time.Duration { return testIdle }, Log: slog.New(slog.DiscardHandler),
		})
		open := func() net.Conn {
			caller, entry := net.Pipe()
			go s.ServeConn(entry)
			synctest.Wait()
			time.Sleep(2 * acceptor.MinIdle)
			return caller
		}
		closed := func(c net.Conn) bool {
			_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
			_, err := c.Read(make([]byte, 1))
			return errors.Is(err, io.EOF)
		}
		oldest, busy, newest := open(), open(), open()
		if _, err := io.WriteString(busy, "GET /safe/60000/busy HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		next := open()
		if !closed(oldest) || closed(busy) || closed(newest) || closed(next) {
			t.Error("got: another connection closed want: the longest idle one")
		}
		for _, c := range []net.Conn{newest, next} {
			go func() { _, _ = io.WriteString(c, "GET /safe/60000/more HTTP/1.1\r\nHost: h\r\n\r\n") }()
		}
		synctest.Wait()
		last, entry := net.Pipe()
		go s.ServeConn(entry)
		var resp fasthttp.Response
		if err := resp.Read(bufio.NewReader(last)); err != nil || resp.StatusCode() != fasthttp.StatusServiceUnavailable {
			t.Errorf("got: %d, %v want: turned away with 503", resp.StatusCode(), err)
		}
		if c := s.Connections(); c.Open != 3 || c.ClosedIdle != 1 || c.TurnedAway != 1 {
			t.Errorf("got: %+v want: 3 open, 1 closed, 1 turned away", c)
		}
		for _, c := range []net.Conn{oldest, busy, newest, next, last} {
			_ = c.Close()
		}
		time.Sleep(2 * time.Minute)
	})
}

// TestRejectedRequestOnBrokenConnection has no memory left for the second request of a connection.
// While it waits for memory, the caller leaves, and the response to the first can't be written. The
// rejection of the second must not end the process.
func TestRejectedRequestOnBrokenConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget, panics := bufferer.New(128<<10), guarder.Panics()
		s := New(Options{
			Handler: newTestHandler(), MaxHeader: testMaxHeader, MaxBody: testMaxBody, MaxConns: 1, Budget: budget,
			IdleTimeout: func() time.Duration { return testIdle }, Log: slog.New(slog.DiscardHandler),
		})
		caller, entry := net.Pipe()
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.ServeConn(entry)
		}()
		_, _ = io.WriteString(caller, "GET /safe/300/first HTTP/1.1\r\nHost: h\r\n\r\n")
		synctest.Wait()
		others := []*bufferer.Body{budget.NewBody(bufferer.Requests, nil), budget.NewBody(bufferer.Requests, nil)}
		for i, size := range []int{64 << 10, 18 << 10} {
			if err := others[i].Reserve(size); err != nil {
				t.Fatal(err)
			}
		}
		_, _ = io.WriteString(caller, "GET /safe/300/second HTTP/1.1\r\nHost: h\r\nX-Long: "+strings.Repeat("x", 1000)+"\r\n\r\n")
		synctest.Wait()
		_ = caller.Close()
		<-done
		for _, b := range others {
			b.Release()
		}
		if u := budget.Usage(); u.Used != 0 || u.Rejected["requests"] != 1 || s.Pending() != 0 || guarder.Panics() != panics {
			t.Errorf("got: %+v, %d pending, %d panics want: nothing in use, one rejected, none", u, s.Pending(), guarder.Panics()-panics)
		}
	})
}

// TestSlowRequestsBlockCallers has a caller on each connection that a server may have send a part of
// a request and stop. The one whose request began first must make room for another caller, once it
// has lasted for some time, and none that has a request in hand.
func TestSlowRequestsBlockCallers(t *testing.T) {
	for name, part := range map[string]string{
		"header": "GET /safe/0/slow HTTP/1.1\r\nHo", "body": "POST /safe/0/slow HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n1",
		"chunk": "POST /safe/0/slow HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(Options{
					Handler: newTestHandler(), MaxHeader: testMaxHeader, MaxBody: testMaxBody, MaxConns: 3,
					IdleTimeout: func() time.Duration { return testIdle }, Log: slog.New(slog.DiscardHandler),
				})
				var conns []net.Conn
				send := func(text string) {
					caller, entry := net.Pipe()
					go s.ServeConn(entry)
					go func() { _, _ = io.WriteString(caller, text) }()
					synctest.Wait()
					conns = append(conns, caller)
				}
				busy := "GET /safe/60000/busy HTTP/1.1\r\nHost: h\r\n\r\n"
				send(busy)
				send(part)
				send(part)
				for _, want := range []Connections{
					{Open: 3, Limit: 3, TurnedAway: 1},
					{Open: 3, Limit: 3, TurnedAway: 1, ClosedSlow: 1},
					{Open: 3, Limit: 3, TurnedAway: 1, ClosedSlow: 2},
					{Open: 3, Limit: 3, TurnedAway: 2, ClosedSlow: 2},
				} {
					send(busy)
					if got := s.Connections(); got != want {
						t.Errorf("got: %+v want: %+v", got, want)
					}
					time.Sleep(acceptor.MaxTransfer + time.Second)
				}
				for _, c := range conns {
					_ = c.Close()
				}
				time.Sleep(2 * time.Minute)
			})
		})
	}
}

// TestPanicOfConnectionEndsProcess has the task of a connection panic. Its connection must be closed, and
// others be served.
func TestPanicOfConnectionEndsProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		odd := true
		s := New(Options{
			Handler: newTestHandler(), MaxHeader: testMaxHeader, MaxBody: testMaxBody, MaxConns: 1, Log: slog.New(slog.DiscardHandler),
			IdleTimeout: func() time.Duration { return testIdle },
			Limits: func() router.Limits {
				if odd {
					panic("odd request")
				}
				return router.Limits{}
			},
		})
		for _, want := range []int{0, 200} {
			caller, entry := net.Pipe()
			go s.ServeConn(entry)
			go func() { _, _ = io.WriteString(caller, "GET /safe/1/r HTTP/1.1\r\nHost: h\r\n\r\n") }()
			var resp fasthttp.Response
			err := resp.Read(bufio.NewReader(caller))
			if want == 0 && err == nil || want > 0 && resp.StatusCode() != want {
				t.Errorf("got: %d, %v want: %d", resp.StatusCode(), err, want)
			}
			_ = caller.Close()
			synctest.Wait()
			odd = false
		}
		if c := s.Connections(); c.Open != 0 || s.Pending() != 0 {
			t.Errorf("got: %+v, %d pending want: none", c, s.Pending())
		}
	})
}
