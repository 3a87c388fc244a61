package runner

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"
)

// TestIdleTimeout checks that the wait for the next request on a connection is
// bounded by the configured idle timeout, and that shorter read deadlines within a
// request are not changed.
func TestIdleTimeout(t *testing.T) {
	for _, v := range []struct {
		name                 string
		timeout, wait, limit time.Duration
	}{
		{"idle", 50 * time.Millisecond, gatewayIdleTimeout, time.Second},
		{"within a request", time.Minute, 50 * time.Millisecond, time.Second},
	} {
		t.Run(v.name, func(t *testing.T) {
			l := idleListener{Listener: listen(t), timeout: func() time.Duration { return v.timeout }}
			defer l.Close()
			client, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			server, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			start := time.Now()
			if err := server.SetReadDeadline(start.Add(v.wait)); err != nil {
				t.Fatal(err)
			}
			if _, err := server.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("got: %v want: %v", err, os.ErrDeadlineExceeded)
			}
			if d := time.Since(start); d > v.limit {
				t.Errorf("got: %v want: at most %v", d, v.limit)
			}
		})
	}
}
