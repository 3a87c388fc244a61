package pipeliner

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	_ "poplarwind/internal/seeder"
)

// TestMain writes a response first: fasthttp then starts the goroutine that keeps
// the date outside of any test's bubble.
func TestMain(m *testing.M) {
	var resp fasthttp.Response
	if err := resp.Write(bufio.NewWriter(io.Discard)); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// testHandler serves paths of the form /KIND/WORK/ID: it responds with the ID
// after WORK ms. Calls of the kind safe may run concurrently.
type testHandler struct {
	start time.Time

	mu sync.Mutex
	// events holds "TIME start ID" and "TIME cancelled ID" in order.
	events []string
	// running holds the IDs of the running calls and their kinds.
	running map[string]string
	// runs counts how often each ID was started, and overlaps the calls that ran
	// while one that is not concurrent did.
	runs     map[string]int
	overlaps int
}

func newTestHandler() *testHandler {
	return &testHandler{start: time.Now(), running: make(map[string]string), runs: make(map[string]int)}
}

func splitPath(c *Call) (kind string, work time.Duration, id string) {
	fields := strings.Split(strings.TrimPrefix(string(c.Request.Header.RequestURI()), "/"), "/")
	ms, err := strconv.Atoi(fields[1])
	if err != nil {
		panic(err)
	}
	return fields[0], time.Duration(ms) * time.Millisecond, fields[2]
}

func (h *testHandler) Concurrent(c *Call) bool {
	kind, _, _ := splitPath(c)
	return kind == "safe"
}

func (h *testHandler) log(format string, args ...any) {
	h.events = append(h.events, fmt.Sprint(time.Since(h.start).Milliseconds())+" "+fmt.Sprintf(format, args...))
}

func (h *testHandler) begin(kind, id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.log("start %s", id)
	h.runs[id]++
	h.running[id] = kind
	for _, k := range h.running {
		if k != "safe" && len(h.running) > 1 {
			h.overlaps++
		}
	}
}

func (h *testHandler) Handle(ctx context.Context, c *Call) {
	kind, work, id := splitPath(c)
	h.begin(kind, id)
	if id == "panic" {
		panic("test")
	}
	select {
	case <-time.After(work):
	case <-ctx.Done():
		h.mu.Lock()
		h.log("cancelled %s", id)
		h.mu.Unlock()
	}
	h.mu.Lock()
	delete(h.running, id)
	h.mu.Unlock()
	c.Response.SetBodyString(id)
}

const (
	testMaxHeader = 4 << 10
	testMaxBody   = 8 << 10
	testIdle      = 30 * time.Second
)

func newTestServer(h Handler) *Server {
	return New(Options{
		Handler: h, MaxHeader: testMaxHeader, MaxBody: testMaxBody, MaxConns: 100,
		IdleTimeout: func() time.Duration { return testIdle }, Log: slog.New(slog.DiscardHandler),
	})
}

// connect serves a new connection and receives the responses to its caller until wait
// returns.
func (h *testHandler) connect(s *Server) (caller net.Conn, wait *sync.WaitGroup) {
	caller, entry := net.Pipe()
	wait = &sync.WaitGroup{}
	wait.Go(func() { s.ServeConn(entry) })
	wait.Go(func() { h.receive(caller) })
	return caller, wait
}

// receive logs the responses on a connection until it ends.
func (h *testHandler) receive(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		var resp fasthttp.Response
		err := resp.Header.Read(r)
		if err == nil && resp.StatusCode() != fasthttp.StatusContinue {
			err = resp.ReadBody(r, 0)
		}
		h.mu.Lock()
		if err == io.EOF {
			h.log("closed")
		}
		if err != nil {
			h.mu.Unlock()
			return
		}
		id, end := "-", ""
		if resp.StatusCode() == fasthttp.StatusOK {
			id = string(resp.Body())
		}
		if resp.ConnectionClose() {
			end = " close"
		}
		h.log("answer %d %s%s", resp.StatusCode(), id, end)
		h.mu.Unlock()
		if resp.ConnectionClose() {
			_, _ = io.Copy(io.Discard, r)
			return
		}
	}
}

// step performs one step of a script on the caller's side of a connection.
func step(s *Server, c net.Conn, line string) {
	fields := strings.SplitN(line, " ", 3)
	ms, err := strconv.Atoi(fields[0])
	if err != nil {
		panic(err)
	}
	time.Sleep(time.Until(time.Unix(946684800, 0).Add(time.Duration(ms) * time.Millisecond)))
	switch fields[1] {
	case "drain":
		s.Drain()
	case "leave":
		_ = c.Close()
	case "raw":
		text := strings.ReplaceAll(fields[2], "|", "\r\n")
		text = strings.ReplaceAll(text, "{5000}", strings.Repeat("x", 5000))
		_, _ = io.WriteString(c, text)
	case "send":
		_, _ = io.WriteString(c, request(strings.Fields(fields[2])))
	default:
		panic("unknown step " + line)
	}
}

// request returns a request for the fields KIND WORK ID [close].
func request(f []string) string {
	text := fmt.Sprintf("GET /%s/%s/%s HTTP/1.1\r\nHost: h\r\n", f[0], f[1], f[2])
	if len(f) > 3 {
		text += "Connection: close\r\n"
	}
	return text + "\r\n"
}

// sortStarts orders the starts that follow each other at the same time by ID.
func sortStarts(events []string) {
	for i, e := range events {
		if !strings.Contains(e, " start ") {
			continue
		}
		at, _, _ := strings.Cut(e, "start")
		n := i
		for n < len(events) && strings.HasPrefix(events[n], at+"start ") {
			n++
		}
		slices.Sort(events[i:n])
	}
}

// TestConnections plays the scripts of testdata/conns.txtar and compares the
// events.
func TestConnections(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "conns.txtar"))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range txtar.Parse(text).Files {
		t.Run(f.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				steps, want, _ := strings.Cut("\n"+string(f.Data), "\nwant\n")
				h := newTestHandler()
				s := newTestServer(h)
				caller, wg := h.connect(s)
				for line := range strings.Lines(strings.TrimSpace(steps)) {
					go step(s, caller, strings.TrimSpace(line))
					synctest.Wait()
				}
				wg.Wait()
				synctest.Wait()
				sortStarts(h.events)
				if !strings.Contains(want, "closed") {
					// Connections that the script leaves open end by their idle timeout.
					h.events = slices.DeleteFunc(h.events, func(e string) bool { return strings.HasSuffix(e, " closed") })
				}
				if got := strings.Join(h.events, "\n") + "\n"; got != want {
					t.Errorf("got:\n%swant:\n%s", got, want)
				}
				if s.Pending() != 0 {
					t.Errorf("got: %d pending want: 0", s.Pending())
				}
				_ = caller.Close()
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestRandomPipelines sends random pipelines in random pieces, drains at a random
// time and sometimes leaves. Responses come in the order of the requests, each to
// its own request; each request runs at most once, and no order runs beside
// another call of its connection. Without a drain and if the caller stays, all are
// answered.
func TestRandomPipelines(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(rt, "requests")
		var text strings.Builder
		for i := range n {
			kind := rapid.SampledFrom([]string{"safe", "safe", "safe", "order"}).Draw(rt, "kind")
			work := rapid.SampledFrom([]string{"0", "1", "7", "40", "300"}).Draw(rt, "work")
			text.WriteString(request([]string{kind, work, strconv.Itoa(i)}))
		}
		pieces := rapid.SliceOfN(rapid.IntRange(1, 300), 1, 20).Draw(rt, "pieces")
		gaps := rapid.SliceOfN(rapid.SampledFrom([]int{0, 0, 1, 30}), 1, 10).Draw(rt, "gaps")
		drainAt := rapid.SampledFrom([]int{-1, -1, 0, 5, 50, 400}).Draw(rt, "drain")
		leaveAt := rapid.SampledFrom([]int{-1, -1, 3, 60, 500}).Draw(rt, "leave")
		synctest.Test(t, func(*testing.T) {
			h := newTestHandler()
			s := newTestServer(h)
			caller, wg := h.connect(s)
			if drainAt >= 0 {
				time.AfterFunc(time.Duration(drainAt)*time.Millisecond, s.Drain)
			}
			if leaveAt >= 0 {
				time.AfterFunc(time.Duration(leaveAt)*time.Millisecond, func() { _ = caller.Close() })
			}
			wg.Go(func() { writePieces(caller, text.String(), pieces, gaps) })
			wg.Wait()
			synctest.Wait()
			checkPipeline(rt, h, n, drainAt < 0 && leaveAt < 0)
			if s.Pending() != 0 {
				rt.Errorf("got: %d pending want: 0", s.Pending())
			}
			_ = caller.Close()
			time.Sleep(time.Minute)
		})
	})
}

// writePieces writes text in pieces of the given sizes with the given gaps in ms,
// both used in turn.
func writePieces(c net.Conn, text string, sizes, gaps []int) {
	for i := 0; len(text) > 0; i++ {
		n := min(sizes[i%len(sizes)], len(text))
		if _, err := io.WriteString(c, text[:n]); err != nil {
			return
		}
		text = text[n:]
		time.Sleep(time.Duration(gaps[i%len(gaps)]) * time.Millisecond)
	}
}

// checkPipeline checks the events of a pipeline of n requests with the IDs 0 to
// n-1.
func checkPipeline(t *rapid.T, h *testHandler, n int, all bool) {
	answered := 0
	for _, e := range h.events {
		f := strings.Fields(e)
		if f[1] != "answer" {
			continue
		}
		if f[2] != "200" || f[3] != strconv.Itoa(answered) {
			t.Errorf("got: %q want: the response to request %d", e, answered)
		}
		answered++
	}
	if all && answered != n {
		t.Errorf("got: %d responses want: %d", answered, n)
	}
	for id, runs := range h.runs {
		if runs != 1 {
			t.Errorf("request %s: got: %d runs want: 1", id, runs)
		}
	}
	if h.overlaps > 0 {
		t.Errorf("got: %d calls beside an order want: 0", h.overlaps)
	}
}

// TestPendingBound sends more requests at once than a connection may have pending
// while the first one runs: the rest stays unread.
func TestPendingBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestHandler()
		s := newTestServer(h)
		caller, wg := h.connect(s)
		text := request([]string{"safe", "1000", "0"})
		for i := range 3 * maxPending {
			text += request([]string{"safe", "1", strconv.Itoa(i + 1)})
		}
		wg.Go(func() { writePieces(caller, text, []int{100}, []int{0}) })
		time.Sleep(500 * time.Millisecond)
		if s.Pending() != maxPending {
			t.Errorf("got: %d pending want: %d", s.Pending(), maxPending)
		}
		wg.Wait()
		if len(h.runs) != 3*maxPending+1 {
			t.Errorf("got: %d calls want: %d", len(h.runs), 3*maxPending+1)
		}
		time.Sleep(time.Minute)
	})
}

// largeHandler responds with bodies of size bytes at once, but to the path /wait
// after release is closed.
type largeHandler struct {
	size    int
	release chan struct{}
	calls   atomic.Int64
}

func (h *largeHandler) Concurrent(*Call) bool { return true }

func (h *largeHandler) Handle(_ context.Context, c *Call) {
	h.calls.Add(1)
	if string(c.Request.Header.RequestURI()) == "/wait" {
		<-h.release
	}
	c.Response.SetBody(make([]byte, h.size))
}

// TestLargeResponses pipelines downloads behind a slow request. Their responses
// wait in memory, so only as many start as maxPendingBytes allows.
func TestLargeResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &largeHandler{size: 540 << 10, release: make(chan struct{})}
		s := newTestServer(h)
		caller, entry := net.Pipe()
		var wg sync.WaitGroup
		wg.Go(func() { s.ServeConn(entry) })
		wg.Go(func() {
			_, _ = io.WriteString(caller, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
			time.Sleep(time.Millisecond)
			for range 10 {
				_, _ = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				time.Sleep(time.Millisecond)
			}
		})
		time.Sleep(time.Second)
		if got, limit := h.calls.Load(), int64(1+maxPendingBytes/h.size+1); got > limit {
			t.Errorf("got: %d calls started behind a slow one want: at most %d", got, limit)
		}
		close(h.release)
		r := bufio.NewReader(caller)
		for range 11 {
			var resp fasthttp.Response
			if err := resp.Read(r); err != nil || len(resp.Body()) != h.size {
				t.Fatalf("got: %d bytes, %v want: %d", len(resp.Body()), err, h.size)
			}
		}
		_ = caller.Close()
		wg.Wait()
		time.Sleep(time.Minute)
	})
}

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
		busy, entry := net.Pipe()
		go s.ServeConn(entry)
		go h.receive(busy)
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
