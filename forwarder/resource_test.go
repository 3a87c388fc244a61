package forwarder

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// TestDialWithoutDescriptors has the dials to two of three upstreams fail for a while for want of
// descriptors. None of them may be ejected, and the entry must not take itself for cut off.
func TestDialWithoutDescriptors(t *testing.T) {
	for _, fault := range []error{syscall.EMFILE, syscall.EADDRNOTAVAIL} {
		t.Run(fault.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tb := &testbed{runs: map[string]int{}, work: 5 * time.Millisecond}
				f := tb.newEntry(t, 3)
				var exhausted atomic.Bool
				f.options.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
					if exhausted.Load() && addr != "u0" {
						return nil, &net.OpError{Op: "dial", Net: "tcp", Err: fault}
					}
					return tb.dial(ctx, addr)
				}
				exhausted.Store(true)
				for i := range 40 {
					path := []string{"/read/1", "/order/1"}[i%2]
					if got := send(f, path, fmt.Sprint("without", i)).StatusCode(); got != 200 {
						t.Errorf("request %d without descriptors: got: %d want: 200", i, got)
					}
				}
				if f.options.Reach.Cut() {
					t.Error("got: cut off from the upstreams want: not")
				}
				for _, s := range f.Status() {
					for _, u := range s.Upstreams {
						if u.Ejected {
							t.Errorf("got: %s ejected want: in use", u.ID)
						}
					}
				}
				exhausted.Store(false)
				for i := range 12 {
					if got := send(f, "/read/1", fmt.Sprint("with", i)).StatusCode(); got != 200 {
						t.Errorf("request %d with descriptors: got: %d want: 200", i, got)
					}
				}
				tb.close()
				time.Sleep(2 * time.Minute)
			})
		})
	}
}
