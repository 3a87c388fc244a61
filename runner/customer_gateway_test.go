package runner

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"poplarwind/parser"
	"poplarwind/platform/imitator"
)

// configLimit is the time after which a configuration that the store has acknowledged must be in force.
const configLimit = 2500 * time.Millisecond

// customerEnv is a gatewayEnv whose upstream records customers.
type customerEnv struct {
	*gatewayEnv
	upstream *imitator.CustomerUpstream
}

func newCustomerEnv(t *testing.T) *customerEnv {
	s := &customerEnv{gatewayEnv: newGatewayEnv(t, time.Millisecond), upstream: &imitator.CustomerUpstream{}}
	up := listen(t)
	server := &fasthttp.Server{Handler: s.upstream.Handler("i-1", 5*time.Millisecond)}
	var wg sync.WaitGroup
	wg.Go(func() { _ = server.Serve(up) })
	t.Cleanup(func() {
		_ = up.Close()
		wg.Wait()
	})
	s.store.PutUpstream("i-1", "jobs", up.Addr().String(), "a")
	return s
}

// keyCaller is a caller with a connection of its own to an entry.
type keyCaller struct {
	t    *testing.T
	conn net.Conn
	n    int
}

func newKeyCaller(t *testing.T, addr string) *keyCaller {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &keyCaller{t: t, conn: c}
}

// status returns the status of a request with a key on the caller's connection.
func (c *keyCaller) status(key string) int {
	c.t.Helper()
	c.n++
	status, err := sendWithKey(c.conn, fmt.Sprintf("r-%p-%d", c, c.n), key)
	if err != nil {
		c.t.Fatalf("got: %v want: a response on the same connection", err)
	}
	return status
}

// await waits until requests with a key get a status, for at most limit.
func (c *keyCaller) await(what, key string, want int, limit time.Duration) {
	c.t.Helper()
	got := 0
	for start := time.Now(); time.Since(start) < limit; time.Sleep(20 * time.Millisecond) {
		if got = c.status(key); got == want {
			return
		}
	}
	c.t.Errorf("%s: got: %d after %v want: %d", what, got, limit, want)
}

// sendWithKey sends one request with a key on a connection and returns its status.
func sendWithKey(c net.Conn, id, key string) (int, error) {
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(c, imitator.RequestWithKey("h.example", "/a/1", id, key)); err != nil {
		return 0, err
	}
	buffer := make([]byte, 4096)
	n, err := c.Read(buffer)
	if err != nil {
		return 0, err
	}
	var status int
	_, err = fmt.Sscanf(string(buffer[:n]), "HTTP/1.1 %d", &status)
	return status, err
}

// TestKeysThroughStore adds and withdraws keys through the store while callers are connected to two
// entries. Each change must be in force in time on the open connections. While the store is away, and
// at an entry that starts then, and after the store comes back with an older configuration, a withdrawn
// key must not be valid again and a valid one must not be refused.
func TestKeysThroughStore(t *testing.T) {
	s := newCustomerEnv(t)
	put := func(version int, keys ...string) {
		s.store.PutCustomers(version, "h.example", "/a/", "jobs", imitator.Customer{Name: "acme", Keys: keys, Rate: 1000, Burst: 1000}, imitator.Customer{Name: "other", Keys: []string{"key-other"}})
	}
	put(4, "key-old")
	a, b := s.start("e1", "1s"), s.start("e2", "1s")
	callers := []*keyCaller{newKeyCaller(t, a.process.Callers()), newKeyCaller(t, b.process.Callers())}
	each := func(what, key string, want int, limit time.Duration) {
		t.Helper()
		for _, c := range callers {
			c.await(what, key, want, limit)
		}
	}
	each("first key", "key-old", 200, configLimit)
	each("unknown key", "key-new", 401, configLimit)
	older := s.store.Copy()
	put(5, "key-old", "key-new")
	each("added key", "key-new", 200, configLimit)
	put(6, "key-new")
	each("withdrawn key", "key-old", 401, configLimit)
	each("remaining key", "key-new", 200, time.Second)

	s.store.SetFaults(imitator.Faults{Status: 503})
	late := s.launch(s.settings("e3", "1s"))
	_ = late
	for start := time.Now(); time.Since(start) < 3*time.Second; time.Sleep(100 * time.Millisecond) {
		for i, c := range callers {
			if old, valid := c.status("key-old"), c.status("key-new"); old != 401 || valid != 200 {
				t.Fatalf("entry %d without the store: got: %d with the withdrawn key, %d with the valid one want: 401, 200", i+1, old, valid)
			}
		}
	}
	c := newKeyCaller(t, late.process.Callers())
	if got := c.status("key-old"); got != 401 && got != 503 {
		t.Errorf("entry started without the store: got: %d with the withdrawn key want: 401, or 503 without a configuration", got)
	}
	callers = append(callers, c)

	s.store.Restore(older)
	s.store.SetFaults(imitator.Faults{})
	for start := time.Now(); time.Since(start) < configLimit; time.Sleep(100 * time.Millisecond) {
		for i, c := range callers[:2] {
			if old, valid := c.status("key-old"), c.status("key-new"); old != 401 || valid != 200 {
				t.Fatalf("entry %d after the store fell back: got: %d with the withdrawn key, %d with the valid one want: 401, 200", i+1, old, valid)
			}
		}
	}
	put(7, "key-last")
	each("key of a later configuration", "key-last", 200, 2*configLimit)
	each("key withdrawn by a later configuration", "key-new", 401, configLimit)
	if keys, others := s.upstream.Strays("acme"); keys != 0 || others != 0 {
		t.Errorf("got: %d requests with a key, %d of another customer at the upstream want: 0, 0", keys, others)
	}
	for _, path := range []string{"/dump", "/status", "/metrics"} {
		if text := get(t, "http://"+a.process.Ops()+path, 200); strings.Contains(text, "key-last") || strings.Contains(text, "key-new") {
			t.Errorf("%s: got: a key in it want: none", path)
		}
	}
	if text := get(t, "http://"+a.process.Ops()+"/metrics", 200); !strings.Contains(text, "\npoplarwind_requests_unauthorized_total") || strings.Contains(text, "\npoplarwind_requests_unauthorized_total 0\n") {
		t.Error("got: no count of requests without a valid key want: one above 0")
	}
	for _, g := range []*testGateway{a, b, late} {
		g.stop()
		if err := <-g.done; err != nil {
			t.Errorf("got: %v want: a graceful stop", err)
		}
	}
}

// runGatewayProcess runs a gateway as a process of its own, which tests can kill.
func runGatewayProcess(settings string) int {
	log := slog.New(slog.NewJSONHandler(os.Stdout, nil))
	p, err := parser.ParseProcess("", []byte(settings))
	if err != nil {
		panic(err)
	}
	g, err := NewGateway(p, log, func() int64 { return 0 })
	if err != nil {
		panic(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	if g.Run(ctx) != nil {
		return 1
	}
	return 0
}

// flood sends requests with a key to entries, moving on from one that does not respond, until ctx ends. It
// returns the number of responses by status.
func flood(ctx context.Context, addrs []string, key string, callers int, interval time.Duration) map[int]int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := make(map[int]int)
	var ids atomic.Int64
	for i := range callers {
		wg.Go(func() {
			at := i
			var c net.Conn
			time.Sleep(interval * time.Duration(i) / time.Duration(callers))
			for next := time.Now(); ctx.Err() == nil; {
				status, err := 0, error(nil)
				if c == nil {
					c, err = net.DialTimeout("tcp", addrs[at%len(addrs)], time.Second)
				}
				if err == nil {
					status, err = sendWithKey(c, fmt.Sprint("f-", ids.Add(1)), key)
				}
				if err != nil {
					if c != nil {
						_ = c.Close()
					}
					c = nil
					at++
				}
				mu.Lock()
				out[status]++
				mu.Unlock()
				next = next.Add(interval)
				time.Sleep(time.Until(next))
			}
			if c != nil {
				_ = c.Close()
			}
		})
	}
	wg.Wait()
	return out
}

// TestQuotaFlood has one customer send six times its quota to three entries, of which one is killed in
// between, while another customer stays within its own. No window of 5 s may have more requests of the
// customer at upstreams than the bound of its quota, however the entries learn of each other; the
// customer must be served most of its quota, less for the time in which a portion is left to the entry
// that was killed; and the other customer must not be rejected.
func TestQuotaFlood(t *testing.T) {
	const rate, burst, window = 20.0, 20.0, 5 * time.Second
	s := newCustomerEnv(t)
	s.store.PutCustomers(4, "h.example", "/a/", "jobs",
		imitator.Customer{Name: "acme", Keys: []string{"key-acme"}, Rate: rate, Burst: burst},
		imitator.Customer{Name: "small", Keys: []string{"key-small"}, Rate: 6, Burst: 6})
	var addrs, ops []string
	var entries []*process
	for i := range 3 {
		name := fmt.Sprint("e", i+1)
		text := strings.Replace(s.settings(name, "1s"), `"probes":1000`, `"probes":1000,"tolerance":20`, 1)
		p := startProcess(t, "gateway", name, text)
		settings, err := parser.ParseProcess("test", []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		addrs, ops = append(addrs, settings.Callers()), append(ops, settings.Ops())
		entries = append(entries, p)
	}
	for _, addr := range addrs {
		newKeyCaller(t, addr).await("entry ready", "key-small", 200, 20*time.Second)
	}
	// Entries that have started know the others after a few seconds.
	time.Sleep(5 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	start := time.Now()
	const killAfter = 6 * time.Second
	time.AfterFunc(killAfter, func() { entries[1].signal(syscall.SIGKILL) })
	var wg sync.WaitGroup
	var large, small map[int]int
	wg.Go(func() { large = flood(ctx, addrs, "key-acme", 60, 500*time.Millisecond) })
	wg.Go(func() { small = flood(ctx, addrs, "key-small", 3, time.Second) })
	wg.Wait()
	arrivals := s.upstream.Arrivals("acme")
	bound := int((rate*window.Seconds()+burst)*1.1 + 20)
	if got := mostWithin(arrivals, window); got > bound {
		t.Errorf("got: %d requests at upstreams in %v want: at most %d", got, window, bound)
	}
	before := countBetween(arrivals, start.Add(time.Second), start.Add(killAfter))
	after := countBetween(arrivals, start.Add(killAfter+time.Second), start.Add(2*killAfter))
	t.Logf("most in 5 s %d, in 5 s before the kill %d, after it %d; responses %v; other customer %v", mostWithin(arrivals, window), before, after, large, small)
	if float64(before) < 0.75*rate*5 || float64(after) < 0.5*rate*5 {
		t.Errorf("got: %d served in 5 s before the kill, %d after it want: at least %.0f, %.0f", before, after, 0.75*rate*5, 0.5*rate*5)
	}
	if large[429] == 0 || large[401]+large[503] > 0 {
		t.Errorf("flood: got: %v want: responses 200 and 429 alone", large)
	}
	if small[429]+small[401] > 0 {
		t.Errorf("customer within its quota: got: %v want: no rejection", small)
	}
	for path, want := range map[string]string{"/metrics": `poplarwind_quota_customer_rejected_total{customer="acme"}`, "/status": `"customer":"acme","rate":20`} {
		if text := get(t, "http://"+ops[0]+path, 200); !strings.Contains(text, want) {
			t.Errorf("%s: got: no %s want: the decisions on the customer", path, want)
		}
	}
	if keys, others := s.upstream.Strays("acme", "small"); keys != 0 || others != 0 {
		t.Errorf("got: %d requests with a key, %d of other customers want: 0, 0", keys, others)
	}
}

// mostWithin returns the most times, in order, in any window.
func mostWithin(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// countBetween returns the number of times between two.
func countBetween(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}
