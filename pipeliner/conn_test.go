package pipeliner

import (
	"bufio"
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
	"testing"
	"testing/synctest"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/valyala/fasthttp"

	"poplarwind/bufferer"
	_ "poplarwind/internal/seeder"
	"poplarwind/router"
)

const (
	testMaxHeader = 4 << 10
	testMaxBody   = 8 << 10
	testIdle      = 30 * time.Second
)

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

// TestLongFieldsOfPipelinedRequests sends requests in a row whose headers and trailers exceed the
// first buffer, byte by byte. Each must be read whole, and those beyond the limit be rejected.
func TestLongFieldsOfPipelinedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := bufferer.New(1 << 20)
		h := newTestHandler()
		s := New(Options{Handler: h, MaxHeader: 3 * readBufferSize, MaxBody: testMaxBody, MaxConns: 1, Budget: budget, Log: slog.New(slog.DiscardHandler), IdleTimeout: func() time.Duration { return testIdle }})
		caller, wg := h.connect(s)
		field := func(n int) string { return "X-Long: " + strings.Repeat("x", n) + "\r\n" }
		var text strings.Builder
		for i, n := range []int{10, readBufferSize, 2 * readBufferSize, 10, readBufferSize - 90} {
			fmt.Fprintf(&text, "GET /safe/0/%d HTTP/1.1\r\nHost: h\r\nRequest-Id: %d\r\n%s\r\n", i, i, field(n))
		}
		text.WriteString("POST /safe/0/5 HTTP/1.1\r\nHost: h\r\nRequest-Id: 5\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n" + field(readBufferSize) + "\r\n")
		text.WriteString("GET /safe/0/6 HTTP/1.1\r\nHost: h\r\nRequest-Id: 6\r\n" + field(4*readBufferSize) + "\r\n")
		go func() {
			for _, b := range []byte(text.String()) {
				if _, err := caller.Write([]byte{b}); err != nil {
					return
				}
			}
		}()
		wg.Wait()
		synctest.Wait()
		got := strings.Join(h.events, "\n")
		for i := range 6 {
			if want := fmt.Sprintf("start %d", i); strings.Count(got, want) != 1 {
				t.Errorf("got: %s want: %s", got, want)
			}
		}
		if !strings.Contains(got, "431") {
			t.Errorf("got: %s want: a rejection of the header beyond the limit", got)
		}
		_ = caller.Close()
		time.Sleep(time.Minute)
		if u := budget.Usage(); u.Used != 0 {
			t.Errorf("got: %d bytes in use want: 0", u.Used)
		}
	})
}

// TestConfiguredLimitsIgnored sends requests within and beyond the limits of the configuration. Those
// beyond must be rejected, slow headers when their time is over, and the others be served.
func TestConfiguredLimitsIgnored(t *testing.T) {
	limits := router.Limits{Header: 1000, Body: 2000, HeaderTimeout: 3 * time.Second}
	request := func(header, body int) string {
		return fmt.Sprintf("POST /safe/0/r HTTP/1.1\r\nHost: h\r\nX-Long: %s\r\nContent-Length: %d\r\n\r\n%s", strings.Repeat("x", header), body, strings.Repeat("y", body))
	}
	for _, tc := range []struct {
		name, text string
		// pause is the time between two bytes.
		pause time.Duration
		want  int
		took  time.Duration
	}{
		{"within the limits", request(800, 2000), 0, 200, 0},
		{"long header", request(1100, 0), 0, 431, 0},
		{"long body", request(100, 2001), 0, 413, 0},
		{"long body in chunks", "POST /safe/0/r HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n9c4\r\n" + strings.Repeat("y", 2500) + "\r\n0\r\n\r\n", 0, 413, 0},
		{"slow header", request(800, 0), 10 * time.Millisecond, 408, 3 * time.Second},
		{"slow body", request(50, 500), 10 * time.Millisecond, 200, 6160 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(Options{
					Handler: newTestHandler(), MaxHeader: testMaxHeader, MaxBody: testMaxBody, MaxConns: 1, Limits: func() router.Limits { return limits },
					IdleTimeout: func() time.Duration { return testIdle }, Log: slog.New(slog.DiscardHandler),
				})
				caller, entry := net.Pipe()
				go s.ServeConn(entry)
				start := time.Now()
				go func() {
					for _, b := range []byte(tc.text) {
						if _, err := caller.Write([]byte{b}); err != nil {
							return
						}
						time.Sleep(tc.pause)
					}
				}()
				var resp fasthttp.Response
				if err := resp.Read(bufio.NewReader(caller)); err != nil || resp.StatusCode() != tc.want || time.Since(start).Round(100*time.Millisecond) != tc.took.Round(100*time.Millisecond) {
					t.Errorf("got: %d, %v after %v want: %d after %v", resp.StatusCode(), err, time.Since(start), tc.want, tc.took)
				}
				_ = caller.Close()
				time.Sleep(time.Minute)
			})
		})
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
