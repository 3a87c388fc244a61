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
	"poplarwind/internal/signer"
)

// newLimitedTestbed starts an entry with small size limits and one server.
func newLimitedTestbed(t *testing.T) (*testbed, *localEntry) {
	t.Helper()
	b := newTestbed(t)
	b.applySettings("/t/s", `{"slots": 3, "deadline": "2s", "routes": [{"match": "/keyed", "methods": ["POST"], "key": true}]}`)
	b.startServer("s1", "/t/s", &faker.Server{Slots: 3, Work: time.Millisecond})
	e := b.startEntryWith("e1", strings.Replace(entrySettings("e1", "a", b.addr), "{", `{"body": 4096, "header": 2048, `, 1))
	eventually(t, "ready", settleTimeout, func() bool {
		s, err := statusOf(e.Ops)
		return err == nil && len(s.Services) == 1 && len(s.Services[0].Servers) == 1
	})
	return b, e
}

// TestRawRequests sends each request of testdata/untrusted.txtar unchanged and
// compares the responses' statuses and whether they report that the call ran. A
// file's first line is "want:" and "STATUS RAN" for each response in order, with
// "end" for a closed connection. "{N}" stands for N letters.
func TestRawRequests(t *testing.T) {
	b, e := newLimitedTestbed(t)
	defer b.stopEntries()
	text, err := os.ReadFile(filepath.Join("testdata", "untrusted.txtar"))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range txtar.Parse(text).Files {
		t.Run(f.Name, func(t *testing.T) {
			first, rest, _ := strings.Cut(string(f.Data), "\n")
			want := strings.TrimPrefix(first, "want: ")
			if got := exchange(t, e.Callers, expand(rest)); got != want {
				t.Errorf("got: %s want: %s", got, want)
			}
		})
	}
}

// expand converts lines to a request: it replaces line ends by CRLF and "{N}" by N
// letters, and removes a last line of ".".
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

// exchange sends raw bytes and returns a summary of up to 4 responses.
func exchange(t *testing.T, addr, request string) string {
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

// TestPeersRequireSecret sends requests to the peers' listener without a valid
// signature: with none, a malformed one, one by another secret, and ones for
// another body or path. All must be rejected, and no member added.
func TestPeersRequireSecret(t *testing.T) {
	b, e := newLimitedTestbed(t)
	defer b.stopEntries()
	body := []byte(`{"from":{"name":"evil","epoch":9},"news":[{"n":"e1","e":9999999999999999999}]}`)
	for _, signature := range []string{
		"", "00", signer.Sign([]byte("another-secret--"), []byte("/peer/hello"), []byte("n"), body),
		signer.Sign([]byte(secret), []byte("/peer/hello"), []byte("n"), []byte("{}")),
		signer.Sign([]byte(secret), []byte("/peer/pull"), []byte("n"), body),
	} {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + e.Peers + "/peer/hello")
		req.Header.SetMethod("POST")
		req.Header.Set(signer.NonceHeader, "n")
		req.Header.Set(signer.SignatureHeader, signature)
		req.SetBody(body)
		if err := fasthttp.DoTimeout(req, resp, time.Second); err != nil || resp.StatusCode() != fasthttp.StatusForbidden {
			t.Errorf("signature %.10q: got: %d, %v want: 403", signature, resp.StatusCode(), err)
		}
	}
	s, err := statusOf(e.Ops)
	if err != nil || len(s.Members) != 1 {
		t.Errorf("members: got: %d, %v want: 1", len(s.Members), err)
	}
}

// TestSecretNotExposed searches an entry's status, dump and metrics for the
// secret.
func TestSecretNotExposed(t *testing.T) {
	b, e := newLimitedTestbed(t)
	defer b.stopEntries()
	for _, p := range []string{"/status", "/dump", "/metrics"} {
		code, body, err := fasthttp.GetTimeout(nil, "http://"+e.Ops+p, 2*time.Second)
		if err != nil || code != fasthttp.StatusOK || len(body) == 0 {
			t.Errorf("%s: got: %d, %d bytes, %v want: 200", p, code, len(body), err)
		}
		if strings.Contains(string(body), secret) {
			t.Errorf("%s contains the secret", p)
		}
	}
}

// TestCallerDisconnects closes a caller's connection during a call. The entry
// must then cancel the call, so that it is no longer in flight at the server.
func TestCallerDisconnects(t *testing.T) {
	b := newTestbed(t)
	b.applySettings("/t/s", `{"slots": 1, "deadline": "30s"}`)
	slow := &faker.Server{Slots: 1, Work: 10 * time.Second}
	b.startServer("s1", "/t/s", slow)
	e := b.startEntry("e1", "a")
	defer b.stopEntries()
	inFlight := func() int {
		s, err := statusOf(e.Ops)
		if err != nil || len(s.Services) == 0 || len(s.Services[0].Servers) == 0 {
			return -1
		}
		return s.Services[0].Servers[0].InFlight
	}
	eventually(t, "ready", settleTimeout, func() bool { return inFlight() == 0 })
	c, err := net.Dial("tcp", e.Callers)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, "GET /t/s/x HTTP/1.1\r\nHost: h\r\n\r\n")
	eventually(t, "sent", settleTimeout, func() bool { return inFlight() == 1 })
	_ = c.Close()
	eventually(t, "cancelled", settleTimeout, func() bool { return inFlight() == 0 })
}

// TestSlowSenders sends requests a byte at a time. Each connection must be closed
// in time, and other callers must be served meanwhile.
func TestSlowSenders(t *testing.T) {
	t.Parallel()
	b, e := newLimitedTestbed(t)
	defer b.stopEntries()
	closed := make(chan error, 20)
	for i := range cap(closed) {
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
			closed <- err
		}()
	}
	if got := exchange(t, e.Callers, "GET /t/s/x HTTP/1.1\r\nHost: h\r\n\r\n"); got != "200 yes" {
		t.Errorf("another caller: got: %s want: 200 yes", got)
	}
	limit := time.After(2*transferTimeout + settleTimeout)
	for range cap(closed) {
		select {
		case <-closed:
		case <-limit:
			t.Fatal("a slow sender: got: still connected want: closed")
		}
	}
}
