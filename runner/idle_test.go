package runner

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"
)

// TestIdle waits for a request on a kept connection: as long as the
// configuration in force allows, and as long as the server says if it allows
// none. Waits within a request are left alone.
func TestIdle(t *testing.T) {
	for _, v := range []struct {
		name                string
		bound, wait, atMost time.Duration
	}{
		{"idle", 50 * time.Millisecond, gatewayIdle, time.Second},
		{"within a request", time.Minute, 50 * time.Millisecond, time.Second},
	} {
		t.Run(v.name, func(t *testing.T) {
			l := idleListener{Listener: listen(t), bound: func() time.Duration { return v.bound }}
			defer l.Close()
			far, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer far.Close()
			near, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer near.Close()
			begun := time.Now()
			if err := near.SetReadDeadline(begun.Add(v.wait)); err != nil {
				t.Fatal(err)
			}
			if _, err := near.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("got: %v want: %v", err, os.ErrDeadlineExceeded)
			}
			if d := time.Since(begun); d > v.atMost {
				t.Errorf("got: %v want: at most %v", d, v.atMost)
			}
		})
	}
}
