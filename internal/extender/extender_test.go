package extender

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// TestSlowResponseBreaksOff reads responses from a server that sends a byte at each interval. One
// that goes on is read beyond the deadline, up to the limit; one that begins too late, or stops, is
// not.
func TestSlowResponseBreaksOff(t *testing.T) {
	for _, tc := range []struct {
		name            string
		first, interval time.Duration
		bytes, want     int
		ended           time.Duration
	}{
		{"goes on", 90 * time.Millisecond, 40 * time.Millisecond, 20, 20, 850 * time.Millisecond},
		{"begins too late", 110 * time.Millisecond, 40 * time.Millisecond, 20, 0, 100 * time.Millisecond},
		{"stops", 50 * time.Millisecond, 60 * time.Millisecond, 20, 1, 100 * time.Millisecond},
		{"does not end", 10 * time.Millisecond, 40 * time.Millisecond, 1000, 25, time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, server := net.Pipe()
				go func() {
					time.Sleep(tc.first)
					for range tc.bytes {
						if _, err := server.Write([]byte{1}); err != nil {
							return
						}
						time.Sleep(tc.interval)
					}
				}()
				start := time.Now()
				c := Limits{Silence: 50 * time.Millisecond, Total: time.Second}.Extend(client)
				if err := c.SetReadDeadline(start.Add(100 * time.Millisecond)); err != nil {
					t.Fatal(err)
				}
				got, err := io.ReadFull(c, make([]byte, tc.bytes))
				if took := time.Since(start); got != tc.want || took != tc.ended {
					t.Errorf("got: %d bytes, %v after %v want: %d after %v", got, err, took, tc.want, tc.ended)
				}
				_ = client.Close()
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestDeadlineStaysUnset reads from a connection without a deadline: bytes must not set one.
func TestDeadlineStaysUnset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := net.Pipe()
		go func() {
			_, _ = server.Write([]byte{1})
			time.Sleep(time.Hour)
			_, _ = server.Write([]byte{2})
		}()
		c := Limits{Silence: time.Second, Total: time.Second}.Extend(client)
		if n, err := io.ReadFull(c, make([]byte, 2)); n != 2 {
			t.Errorf("got: %d bytes, %v want: 2", n, err)
		}
	})
}
