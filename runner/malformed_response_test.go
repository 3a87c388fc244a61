package runner

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"poplarwind/internal/responder"
	"poplarwind/internal/scripter"
	"poplarwind/platform/imitator"
)

const (
	soundStatus = "HTTP/1.1 200 OK\r\n"
	soundFields = "Request-Id: ID\r\nResponse-Stamp: s\r\n"
	soundRest   = "Content-Length: 5\r\n\r\nwhole"
)

// oddUpstream is an upstream of 60 slots. It responds to requests of a path that ends with /odd with
// a text of the test, in which ID stands for the ID of the request, and closes the connection.
type oddUpstream struct {
	text string

	mu sync.Mutex
	// runs counts how often each request ran.
	runs map[string]int
}

func (u *oddUpstream) respond(req *fasthttp.Request) (string, bool) {
	uri, id := string(req.Header.RequestURI()), string(req.Header.Peek("Request-Id"))
	if uri == "/healthz" {
		return "HTTP/1.1 200 OK\r\nServer-Load: 0,0,60,100\r\nContent-Length: 0\r\n\r\n", false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[id]++
	if strings.HasSuffix(uri, "/odd") {
		return strings.ReplaceAll(u.text, "ID", id), true
	}
	return strings.ReplaceAll(soundStatus+soundFields+soundRest, "ID", id), false
}

// TestMalformedResponseReachesCaller has an upstream send each response of testdata/responses.txt. One
// that HTTP does not allow must not reach a caller, in whole or in part, nor may its request run twice
// or be reported as not run if it is not idempotent.
func TestMalformedResponseReachesCaller(t *testing.T) {
	s := newGatewayEnv(t, time.Millisecond)
	g := s.run(s.settings("e1", "1s"))
	defer func() {
		g.stop()
		<-g.done
	}()
	version := 10
	scripter.Run(t, "testdata/responses.txt", func(t *testing.T) func([]string) string {
		return func(args []string) string {
			version++
			text, err := responseOf(args[0], strings.Join(args[1:], " "))
			if err != nil {
				return err.Error()
			}
			return s.outcome(t, g, version, text)
		}
	})
}

// responseOf returns the response that a command stands for.
func responseOf(command, arg string) (string, error) {
	text, err := strconv.Unquote(`"` + arg + `"`)
	if err != nil {
		return "", err
	}
	switch command {
	case "status":
		return text + "\r\n" + soundFields + soundRest, nil
	case "field":
		return soundStatus + soundFields + text + "\r\n" + soundRest, nil
	case "rest":
		return soundStatus + soundFields + text, nil
	case "raw":
		return text, nil
	}
	return "", fmt.Errorf("unknown command %q", command)
}

// outcome returns what callers get of a response of an upstream to an idempotent request and to one
// that is not.
func (s *gatewayEnv) outcome(t *testing.T, g *testGateway, version int, text string) string {
	u := &oddUpstream{text: text, runs: make(map[string]int)}
	service := fmt.Sprint("odd", version)
	read, order := "/"+service+"/read/", "/"+service+"/order/"
	s.store.PutUpstream("i-"+service, service, responder.Start(t, u.respond), "a")
	s.store.PutRoutes(version, "h.example", service, []imitator.Route{{Path: read, Idempotent: true}, {Path: order}})
	for start := time.Now(); !strings.HasPrefix(request(t, g, read+"sound", "sound", 2000), soundStatus); time.Sleep(5 * time.Millisecond) {
		if time.Since(start) > 5*time.Second {
			t.Fatal("got: not served want: 200 before the malformed response")
		}
	}
	first := classify(request(t, g, order+"odd", "o"+service, 500))
	second := classify(request(t, g, read+"odd", "r"+service, 200))
	u.mu.Lock()
	runs := u.runs["o"+service]
	u.mu.Unlock()
	switch {
	case first != second:
		return first + ", idempotent: " + second
	case runs != 1:
		return fmt.Sprintf("%d runs", runs)
	}
	return first
}

// request sends a request on a connection of its own and returns all that the caller receives.
func request(t *testing.T, g *testGateway, path, id string, deadline int) string {
	t.Helper()
	c, err := net.Dial("tcp", g.process.Callers())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", path, id, deadline); err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(c)
	if err != nil {
		t.Errorf("%s: got: %q, %v want: a response", path, text, err)
	}
	return string(text)
}

// classify returns whether a caller has got the upstream's response or one of the entry, otherwise
// what it has got. None of the entry's states here that the request did not run.
func classify(text string) string {
	status, rest, _ := strings.Cut(text, "\r\n")
	header, body, _ := strings.Cut(rest, "\r\n\r\n")
	stamped := strings.Contains(header, "Response-Stamp: s")
	switch {
	case status == "HTTP/1.1 200 OK" && stamped && body == "whole":
		return "passed"
	case (strings.HasPrefix(status, "HTTP/1.1 502 ") || strings.HasPrefix(status, "HTTP/1.1 504 ")) && !stamped && !strings.Contains(text, "Odd"):
		return "rejected"
	}
	return fmt.Sprintf("%q", text)
}
