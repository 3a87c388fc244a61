package pipeliner

import (
	"bufio"
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	_ "poplarwind/internal/seeder"
)

// TestConnLimit opens one connection more than allowed.
func TestConnLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{Handler: newTestHandler(), MaxHeader: testMaxHeader, MaxConns: 1, IdleTimeout: func() time.Duration { return testIdle }})
		for i, want := range []int{0, 503} {
			caller, entry := net.Pipe()
			go s.ServeConn(entry)
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
