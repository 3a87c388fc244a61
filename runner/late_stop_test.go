package runner

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"
)

// TestLateRequestsInPlannedStop has callers go on sending requests on open connections
// until the end of a planned stop. Each request must get a response of its upstream, be
// rejected as not run, or be on a connection that was closed before it was read: none may
// be passed on and then be cut off.
func TestLateRequestsInPlannedStop(t *testing.T) {
	for _, work := range []time.Duration{400 * time.Millisecond, 1600 * time.Millisecond} {
		t.Run(work.String(), func(t *testing.T) { testLateRequests(t, work) })
	}
}

func testLateRequests(t *testing.T, work time.Duration) {
	s := newGatewayEnv(t, work)
	g := s.start("e1", "3s")
	var wg sync.WaitGroup
	var mu sync.Mutex
	served, rejected, closed := 0, 0, 0
	// last is the time of the last response of an upstream. The exit of a real process
	// would cut off any response after the end of Run.
	var last time.Time
	for i := range 20 {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * work / 20)
			c, err := net.Dial("tcp", g.process.Callers())
			for n := 0; err == nil; n++ {
				start := time.Now()
				status, failed := sendRequest(c, fmt.Sprintf("r%d-%d", i, n))
				mu.Lock()
				switch {
				case failed != nil && time.Since(start) > work/4:
					t.Errorf("got: %v after %v want: a response", failed, time.Since(start))
				case failed != nil:
					closed++
				case status == 200:
					served, last = served+1, time.Now()
				case status == 503:
					rejected++
				default:
					t.Errorf("got: status %d want: 200 or 503", status)
				}
				mu.Unlock()
				if failed != nil {
					_ = c.Close()
					c, err = net.Dial("tcp", g.process.Callers())
				}
			}
		})
	}
	time.Sleep(500*time.Millisecond + 2*work)
	g.stop()
	if err := <-g.done; err != nil {
		t.Error(err)
	}
	ended := time.Now()
	wg.Wait()
	if last.After(ended) {
		t.Errorf("got: a response %v after the end want: none", last.Sub(ended))
	}
	if served == 0 {
		t.Error("got: no request served want: some")
	}
	t.Logf("served %d rejected %d closed %d", served, rejected, closed)
}
