package runner

import (
	"fmt"
	"io"
	"math"
	"net"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"

	"poplarwind/platform/imitator"
)

const (
	// testMemory is the memory limit of the entry in MiB.
	testMemory = 64
	// troubleTime is how long a disturbance lasts, at least until minRequests were sent, and
	// at most maxTroubleTime.
	troubleTime    = 2 * time.Second
	minRequests    = 20
	maxTroubleTime = 30 * time.Second
	// headerConns is the number of connections with headers that do not end: as many as the smallest
	// machines may have, in proportion to their memory.
	headerConns = 1000
	// linkRate is what the link of an entry carries, in bytes per second: more does not
	// arrive, from all senders together.
	linkRate = 125e6
)

// link is the link of an entry.
type link struct {
	mu sync.Mutex
	// free is when the link can carry further bytes.
	free time.Time
}

// send waits until the link has carried n bytes.
func (l *link) send(n int) {
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / linkRate * float64(time.Second)))
	wait := l.free.Sub(now)
	l.mu.Unlock()
	time.Sleep(wait)
}

// memoryTrouble sends an entry bytes without end, from as many connections as it takes
// to exceed its memory. It returns when stop is closed.
type memoryTrouble func(g *testGateway, l *link, wg *sync.WaitGroup, stop <-chan struct{})

// endlessResponses sends requests to upstreams whose responses do not end.
func endlessResponses(service string) memoryTrouble {
	return func(g *testGateway, _ *link, wg *sync.WaitGroup, stop <-chan struct{}) {
		for i := range 10 {
			wg.Go(func() {
				for n := 0; !closed(stop); n++ {
					c, err := net.Dial("tcp", g.process.Callers())
					if err != nil {
						return
					}
					_, _ = io.WriteString(c, imitator.Request("h.example", "/"+service+"/1", fmt.Sprintf("%s-%d-%d", service, i, n)))
					_ = c.SetDeadline(time.Now().Add(time.Second))
					_, _ = c.Read(make([]byte, 64))
					_ = c.Close()
				}
			})
		}
	}
}

// endlessUploads sends requests whose bodies do not end.
func endlessUploads(head string) memoryTrouble {
	return func(g *testGateway, l *link, wg *sync.WaitGroup, stop <-chan struct{}) {
		for range 10 {
			wg.Go(func() { upload(g.process.Callers(), head, math.MaxInt, l, stop) })
		}
	}
}

// endlessMessages sends messages without a signature to the listener for other entries. Each
// lacks its last bytes.
func endlessMessages(g *testGateway, l *link, wg *sync.WaitGroup, stop <-chan struct{}) {
	head := fmt.Sprintf("POST /peer/state HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", peersMaxBody)
	for range 120 {
		wg.Go(func() { upload(g.process.Peers(), head, peersMaxBody-1, l, stop) })
	}
}

// endlessHeaders opens connections whose requests have a header of size bytes that does not end.
func endlessHeaders(size int) memoryTrouble {
	return func(g *testGateway, _ *link, wg *sync.WaitGroup, stop <-chan struct{}) {
		head := "GET /sound/1 HTTP/1.1\r\nHost: h.example\r\nX-Long: "
		head += strings.Repeat("x", max(0, size-len(head)))
		for range headerConns {
			wg.Go(func() {
				for !closed(stop) {
					c, err := net.Dial("tcp", g.process.Callers())
					if err != nil {
						return
					}
					_, err = io.WriteString(c, head)
					for err == nil && !closed(stop) {
						_ = c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
						_, err = c.Read(make([]byte, 64))
						if isTimeout(err) {
							err = nil
						}
					}
					_ = c.Close()
				}
			})
		}
	}
}

// upload sends a header and up to limit bytes, as fast as they are read, until stop is closed.
// It opens a new connection if one ends.
func upload(addr, head string, limit int, l *link, stop <-chan struct{}) {
	block := make([]byte, 32<<10)
	for !closed(stop) {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return
		}
		_, err = io.WriteString(c, head)
		for sent := 0; err == nil && !closed(stop); {
			if sent+len(block) > limit {
				time.Sleep(10 * time.Millisecond)
				continue
			}
			l.send(len(block))
			_ = c.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
			var n int
			n, err = c.Write(block)
			sent += n
			if isTimeout(err) {
				err = nil
			}
		}
		_ = c.Close()
	}
}

// unreadResponses sends requests in a row and reads no response.
func unreadResponses(g *testGateway, _ *link, wg *sync.WaitGroup, stop <-chan struct{}) {
	for i := range 200 {
		wg.Go(func() {
			c, err := net.Dial("tcp", g.process.Callers())
			if err != nil {
				return
			}
			defer c.Close()
			_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
			for n := 0; n < 16 && !closed(stop); n++ {
				_, _ = io.WriteString(c, imitator.Request("h.example", "/large/1", fmt.Sprintf("large-%d-%d", i, n)))
			}
			<-stop
		})
	}
}

// unreadReports asks for state dumps and reads none.
func unreadReports(g *testGateway, _ *link, wg *sync.WaitGroup, stop <-chan struct{}) {
	for range internalMaxConns {
		wg.Go(func() {
			for !closed(stop) {
				c, err := net.Dial("tcp", g.process.Ops())
				if err != nil {
					return
				}
				_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
				_, err = io.WriteString(c, "GET /dump HTTP/1.1\r\nHost: h\r\n\r\n")
				for err == nil && !closed(stop) {
					time.Sleep(50 * time.Millisecond)
					_, err = c.Write(nil)
				}
				_ = c.Close()
			}
		})
	}
}

// endlessStore has all responses of the store not end.
func endlessStore(g *testGateway, l *link, wg *sync.WaitGroup, stop <-chan struct{}) {
	g.imitated.SetFaults(imitator.Faults{Endless: l.send})
	wg.Go(func() {
		<-stop
		g.imitated.SetFaults(imitator.Faults{})
	})
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// memoryTroubles holds the disturbances by name.
func memoryTroubles() map[string]memoryTrouble {
	return map[string]memoryTrouble{
		"responses without a length":  endlessResponses("untilclose"),
		"responses in chunks":         endlessResponses("chunks"),
		"responses with a length":     endlessResponses("length"),
		"uploads":                     endlessUploads("POST /sound/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 60000000\r\n\r\n"),
		"uploads in chunks":           endlessUploads("POST /sound/1 HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\nffffff\r\n"),
		"messages of peers":           endlessMessages,
		"responses that are not read": unreadResponses,
		"reports that are not read":   unreadReports,
		"responses of the store":      endlessStore,
		"short headers":               endlessHeaders(100),
		"long headers":                endlessHeaders(16 << 10),
	}
}

// allTroubles is all disturbances at the same time.
func allTroubles(g *testGateway, l *link, wg *sync.WaitGroup, stop <-chan struct{}) {
	for _, trouble := range memoryTroubles() {
		trouble(g, l, wg, stop)
	}
}

// TestBytesWithoutEndExceedMemory sends an entry bytes that do not end, in responses, in
// requests and in messages of other entries. The entry must stay within its memory limit, and
// must serve requests meanwhile.
func TestBytesWithoutEndExceedMemory(t *testing.T) {
	for name, trouble := range memoryTroubles() {
		t.Run(name, func(t *testing.T) { testServed(t, testMemoryLimit(t, trouble)) })
	}
	t.Run("all together", func(t *testing.T) { testMemoryLimit(t, allTroubles) })
}

// TestServedBesideBytesWithoutEnd sends an entry all of them at the same time. It must serve
// requests meanwhile.
func TestServedBesideBytesWithoutEnd(t *testing.T) { testServed(t, testMemoryLimit(t, allTroubles)) }

// sentRequests counts the requests that were sent during a disturbance, and those served.
type sentRequests struct{ sent, served int }

func testServed(t *testing.T, r sentRequests) {
	t.Helper()
	if r.served*100 < 99*r.sent || r.sent < minRequests {
		t.Errorf("got: %d of %d requests served want: 99 in 100", r.served, r.sent)
	}
}

// serveServices starts the upstreams of each service: those of services that are named after
// a framing send responses that do not end, that of large 2 MiB, and those of sound a few
// bytes.
func (s *gatewayEnv) serveServices(link *link) {
	for service, f := range map[string]imitator.Framing{"untilclose": imitator.UntilClose, "chunks": imitator.InChunks, "length": imitator.WithLength} {
		l := listen(s.t)
		s.t.Cleanup(func() { _ = l.Close() })
		go func() { _ = imitator.ServeEndless(l, "i-"+service, f, link.send) }()
		s.store.PutUpstream("i-"+service, service, l.Addr().String(), "a")
	}
	for id, size := range map[string]int{"i-sound-1": 100, "i-sound-2": 100, "i-sound-3": 100, "i-large-1": 2 << 20} {
		l := listen(s.t)
		s.t.Cleanup(func() { _ = l.Close() })
		go func() { _ = imitator.ServeSized(l, id, size, 5*time.Millisecond) }()
		s.store.PutUpstream(id, strings.Split(id, "-")[1], l.Addr().String(), "a")
	}
	s.store.PutServices(4, "h.example", "untilclose", "chunks", "length", "sound", "large")
}

// testMemoryLimit checks that an entry stays within its memory limit during a disturbance.
func testMemoryLimit(t *testing.T, trouble memoryTrouble) sentRequests {
	t.Helper()
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(math.MaxInt64))
	s := newGatewayEnv(t, time.Millisecond)
	l := &link{}
	s.serveServices(l)
	text := strings.Replace(s.settings("e1", "1s"), `"gateway":{`, fmt.Sprintf(`"body":67108864,"header":20480,"gateway":{"memory":%d,`, testMemory), 1)
	g := s.run(text)
	defer func() {
		g.stop()
		<-g.done
	}()
	for start := time.Now(); status(g, "sound") != 200; time.Sleep(20 * time.Millisecond) {
		if time.Since(start) > 5*time.Second {
			t.Fatal("got: requests not served before the disturbance want: 200")
		}
	}
	runtime.GC()
	before := heapMiB()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	trouble(g, l, &wg, stop)
	served, sent, peak := 0, 0, 0.0
	for start := time.Now(); time.Since(start) < troubleTime || sent < minRequests && time.Since(start) < maxTroubleTime; time.Sleep(10 * time.Millisecond) {
		peak = max(peak, heapMiB()-before)
		sent++
		if got := status(g, "sound"); got == 200 {
			served++
		} else {
			t.Logf("request %d: got: status %d after %v", sent, got, time.Since(start))
		}
	}
	close(stop)
	wg.Wait()
	if text := get(t, "http://"+g.process.Ops()+"/metrics", 200); !strings.Contains(text, "poplarwind_memory_limit") {
		t.Errorf("got: %.200s want: the memory of messages", text)
	}
	if peak > testMemory {
		t.Errorf("got: %.0f MiB in use want: at most %d", peak, testMemory)
	}
	t.Logf("%.0f MiB in use, %d of %d requests served", peak, served, sent)
	return sentRequests{sent: sent, served: served}
}

// heapMiB returns the memory of the heap in use, in MiB.
func heapMiB() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse) / (1 << 20)
}

// status sends a request to a service on a new connection and returns the status of the
// response, 0 if there is none.
func status(g *testGateway, service string) int {
	c, err := net.Dial("tcp", g.process.Callers())
	if err != nil {
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.WriteString(c, imitator.Request("h.example", "/"+service+"/1", "probe")); err != nil {
		return 0
	}
	buffer := make([]byte, 1024)
	n, _ := c.Read(buffer)
	var code int
	_, _ = fmt.Sscanf(string(buffer[:n]), "HTTP/1.1 %d", &code)
	return code
}
