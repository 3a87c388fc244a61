package runner

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/valyala/fasthttp"

	"poplarwind/internal/faker"
	"poplarwind/internal/sealer"
)

// strangerBed is an entry with small bounds and one server.
func strangerBed(t *testing.T) (*bed, *inside) {
	t.Helper()
	b := newBed(t)
	b.apply("/t/s", `{"slots": 3, "deadline": "2s", "routes": [{"match": "/keyed", "methods": ["POST"], "key": true}]}`)
	b.localServer("s1", "/t/s", &faker.Server{Slots: 3, Work: time.Millisecond})
	e := b.entryWith("e1", strings.Replace(entrySettings("e1", "a", b.addr), "{", `{"body": 4096, "header": 2048, `, 1))
	eventually(t, "ready", settle, func() bool {
		s, err := statusOf(e.Ops)
		return err == nil && len(s.Services) == 1 && len(s.Services[0].Servers) == 1
	})
	return b, e
}

// TestStrangers sends each request of testdata/strangers.txtar as it stands
// and compares the answers' statuses and whether they say that the call ran.
// A file's first line is "want: STATUS RAN ..." for each answer in turn, "end"
// standing for a closed connection. "{N}" stands for N letters.
func TestStrangers(t *testing.T) {
	b, e := strangerBed(t)
	defer b.close()
	text, err := os.ReadFile(filepath.Join("testdata", "strangers.txtar"))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range txtar.Parse(text).Files {
		t.Run(f.Name, func(t *testing.T) {
			first, rest, _ := strings.Cut(string(f.Data), "\n")
			want := strings.TrimPrefix(first, "want: ")
			if got := converse(t, e.Callers, expand(rest)); got != want {
				t.Errorf("got: %s want: %s", got, want)
			}
		})
	}
}

// expand turns lines into a request: a line's end into CRLF, "{N}" into N
// letters, and a last line of "." into nothing.
func expand(text string) string {
	text = strings.TrimSuffix(strings.TrimSuffix(text, "\n"), "\n.")
	text = strings.ReplaceAll(text, "\n", "\r\n")
	for {
		before, after, ok := strings.Cut(text, "{")
		number, after, closed := strings.Cut(after, "}")
		if !ok || !closed {
			return text
		}
		n, err := strconv.Atoi(number)
		if err != nil {
			return text
		}
		text = before + strings.Repeat("x", n) + after
	}
}

// converse sends raw bytes and returns what came back, in short.
func converse(t *testing.T, addr, request string) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	go func() { _, _ = io.WriteString(c, request) }()
	r := bufio.NewReader(c)
	var out []string
	for len(out) < 4 {
		var resp fasthttp.Response
		resp.SkipBody = strings.HasPrefix(request, "HEAD")
		if err := resp.Read(r); err != nil {
			break
		}
		out = append(out, fmt.Sprintf("%d %s", resp.StatusCode(), resp.Header.Peek("Poplar-Ran")))
		if resp.ConnectionClose() {
			return strings.Join(append(out, "end"), " ")
		}
		if r.Buffered() == 0 && len(out) >= strings.Count(request, "HTTP/1.") {
			break
		}
	}
	return strings.Join(out, " ")
}

// TestPeersNeedTheSecret speaks to the peers' listener without the secret and
// with another, and with a seal that was made for another body.
func TestPeersNeedTheSecret(t *testing.T) {
	b, e := strangerBed(t)
	defer b.close()
	body := []byte(`{"from":{"name":"evil","epoch":9},"news":[{"n":"e1","e":9999999999999999999}]}`)
	for _, seal := range []string{
		"", "00", sealer.Seal([]byte("another-secret--"), []byte("/peer/hello"), []byte("n"), body),
		sealer.Seal([]byte(secret), []byte("/peer/hello"), []byte("n"), []byte("{}")),
		sealer.Seal([]byte(secret), []byte("/peer/pull"), []byte("n"), body),
	} {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + e.Peers + "/peer/hello")
		req.Header.SetMethod("POST")
		req.Header.Set(sealer.Nonce, "n")
		req.Header.Set(sealer.Header, seal)
		req.SetBody(body)
		if err := fasthttp.DoTimeout(req, resp, time.Second); err != nil || resp.StatusCode() != fasthttp.StatusForbidden {
			t.Errorf("seal %.10q: got: %d, %v want: 403", seal, resp.StatusCode(), err)
		}
	}
	s, err := statusOf(e.Ops)
	if err != nil || len(s.Members) != 1 {
		t.Errorf("members: got: %d, %v want: 1", len(s.Members), err)
	}
}

// TestNoSecretIsTold looks for the secret in all that an entry tells.
func TestNoSecretIsTold(t *testing.T) {
	b, e := strangerBed(t)
	defer b.close()
	for _, p := range []string{"/status", "/dump", "/metrics"} {
		code, body, err := fasthttp.GetTimeout(nil, "http://"+e.Ops+p, 2*time.Second)
		if err != nil || code != fasthttp.StatusOK || len(body) == 0 {
			t.Errorf("%s: got: %d, %d bytes, %v want: 200", p, code, len(body), err)
		}
		if strings.Contains(string(body), secret) {
			t.Errorf("%s tells the secret", p)
		}
	}
}

// TestCallerLeaves lets a caller hang up: its call ends at the server too.
func TestCallerLeaves(t *testing.T) {
	b := newBed(t)
	b.apply("/t/s", `{"slots": 1, "deadline": "30s"}`)
	slow := &faker.Server{Slots: 1, Work: 10 * time.Second}
	b.localServer("s1", "/t/s", slow)
	e := b.entry("e1", "a")
	defer b.close()
	inFlight := func() int {
		s, err := statusOf(e.Ops)
		if err != nil || len(s.Services) == 0 || len(s.Services[0].Servers) == 0 {
			return -1
		}
		return s.Services[0].Servers[0].Flight
	}
	eventually(t, "ready", settle, func() bool { return inFlight() == 0 })
	c, err := net.Dial("tcp", e.Callers)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, "GET /t/s/x HTTP/1.1\r\nHost: h\r\n\r\n")
	eventually(t, "sent", settle, func() bool { return inFlight() == 1 })
	_ = c.Close()
	eventually(t, "given up", settle, func() bool { return inFlight() == 0 })
}

// TestSlowSenders dribbles requests: each connection is closed in time, and
// other callers are served meanwhile.
func TestSlowSenders(t *testing.T) {
	t.Parallel()
	b, e := strangerBed(t)
	defer b.close()
	ends := make(chan error, 20)
	for i := range cap(ends) {
		c, err := net.Dial("tcp", e.Callers)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		start := "POST /t/s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4000\r\n"
		if i%2 == 0 {
			start += "\r\n"
		}
		go func() {
			for _, err = io.WriteString(c, start); err == nil; time.Sleep(500 * time.Millisecond) {
				_, err = io.WriteString(c, "x")
			}
			ends <- err
		}()
	}
	if got := converse(t, e.Callers, "GET /t/s/x HTTP/1.1\r\nHost: h\r\n\r\n"); got != "200 yes" {
		t.Errorf("another caller: got: %s want: 200 yes", got)
	}
	limit := time.After(2*slowSender + settle)
	for range cap(ends) {
		select {
		case <-ends:
		case <-limit:
			t.Fatal("a slow sender: got: still connected want: closed")
		}
	}
}
