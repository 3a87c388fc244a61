//go:build !race

// The race detector has memory of its own for each connection.

package runner

import (
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"poplarwind/platform/imitator"
)

// TestIdleConnectionsExceedMemory opens connections that send a request each and stay open. As many as
// the smallest machines may have must fit into a quarter of their memory, which the budget for messages
// leaves to them.
func TestIdleConnectionsExceedMemory(t *testing.T) {
	const (
		conns         = 2000
		smallestLimit = 136 << 20
		descriptors   = 4100
	)
	limits, err := newConnLimits(descriptors, 0)
	if err != nil {
		t.Fatal(err)
	}
	s := newGatewayEnv(t, time.Millisecond)
	g := s.start("e1", "1s")
	defer func() {
		g.stop()
		<-g.done
	}()
	inUse := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapInuse + m.StackInuse)
	}
	request, buffer := imitator.Request("h.example", "/a/1", "r"), make([]byte, 4<<10)
	before := inUse()
	for range conns {
		c, err := net.Dial("tcp", g.process.Callers())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.WriteString(c, request); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Read(buffer); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(100 * time.Millisecond)
	each := (inUse() - before) / conns
	t.Logf("%.0f bytes for each idle connection, with its other end", each)
	if all := each * float64(limits.callers); all > smallestLimit/4 {
		t.Errorf("got: %.0f MB for %d idle connections want: at most %d", all/1e6, limits.callers, smallestLimit/4/1000000)
	}
}
