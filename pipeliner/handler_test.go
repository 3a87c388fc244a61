package pipeliner

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

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

func newTestServer(h Handler) *Server {
	return New(Options{
		Handler: h, MaxHeader: testMaxHeader, MaxBody: testMaxBody, MaxConns: 100,
		IdleTimeout: func() time.Duration { return testIdle }, Log: slog.New(slog.DiscardHandler),
	})
}

// connect serves a new connection. Until wait returns it logs the responses and the
// end of the connection, if no response announced it.
func (h *testHandler) connect(s *Server) (caller net.Conn, wait *sync.WaitGroup) {
	caller, entry := net.Pipe()
	wait = &sync.WaitGroup{}
	recorded := &recordingConn{Conn: entry, handler: h}
	wait.Go(func() { s.ServeConn(recorded) })
	wait.Go(func() {
		_, err := io.Copy(io.Discard, caller)
		h.mu.Lock()
		defer h.mu.Unlock()
		if err == nil && !recorded.closed {
			h.log("closed")
		}
	})
	return caller, wait
}

// recordingConn is the server's end of a pipe. It logs each response before the
// Write that completes it returns, when the caller has received all of it. What
// the server does afterwards is therefore logged later.
type recordingConn struct {
	net.Conn
	handler *testHandler
	// partial holds what was written of a response that is not complete.
	partial []byte
	// closed is set after a response that closes the connection. The handler's
	// lock guards it.
	closed bool
}

// Write implements io.Writer.
func (c *recordingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.partial = append(c.partial, p[:n]...)
	for c.record() {
	}
	return n, err
}

// record logs and removes the first written response. It returns false if there
// is no complete one.
func (c *recordingConn) record() bool {
	text := bytes.NewReader(c.partial)
	r := bufio.NewReader(text)
	var resp fasthttp.Response
	err := resp.Header.Read(r)
	if err == nil && resp.StatusCode() != fasthttp.StatusContinue {
		err = resp.ReadBody(r, 0)
	}
	if err != nil {
		return false
	}
	c.partial = c.partial[len(c.partial)-text.Len()-r.Buffered():]
	id, end := "-", ""
	if resp.StatusCode() == fasthttp.StatusOK {
		id = string(resp.Body())
	}
	if resp.ConnectionClose() {
		end = " close"
	}
	c.handler.mu.Lock()
	defer c.handler.mu.Unlock()
	if c.closed {
		end += " behind a response that closes the connection"
	}
	c.closed = c.closed || resp.ConnectionClose()
	c.handler.log("answer %d %s%s", resp.StatusCode(), id, end)
	return true
}

// request returns a request for the fields KIND WORK ID [close].
func request(f []string) string {
	text := fmt.Sprintf("GET /%s/%s/%s HTTP/1.1\r\nHost: h\r\n", f[0], f[1], f[2])
	if len(f) > 3 {
		text += "Connection: close\r\n"
	}
	return text + "\r\n"
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
