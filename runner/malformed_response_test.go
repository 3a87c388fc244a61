package runner

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"poplarwind/internal/responder"
	"poplarwind/internal/scripter"
	"poplarwind/platform/imitator"
)

const (
	soundStatus = "HTTP/1.1 200 OK\r\n"
	soundRest   = "Content-Length: 5\r\n\r\nwhole"
)

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
		return text + "\r\n" + imitator.RunFields + soundRest, nil
	case "field":
		return soundStatus + imitator.RunFields + text + "\r\n" + soundRest, nil
	case "rest":
		return soundStatus + imitator.RunFields + text, nil
	case "version":
		version, rest, _ := strings.Cut(text, " ")
		return version + " 200 OK\r\n" + imitator.RunFields + rest, nil
	}
	return "", fmt.Errorf("unknown command %q", command)
}

// outcome returns what callers get of a response of an upstream to an idempotent request and to one
// that is not.
func (s *gatewayEnv) outcome(t *testing.T, g *testGateway, version int, text string) string {
	u := &imitator.TextUpstream{Text: text}
	service := fmt.Sprint("odd", version)
	read, order := "/"+service+"/read/", "/"+service+"/order/"
	s.store.PutUpstream("i-"+service, service, responder.Start(t, u.Respond), "a")
	s.store.PutRoutes(version, "h.example", service, []imitator.Route{{Path: read, Idempotent: true}, {Path: order}})
	for start := time.Now(); !strings.HasPrefix(request(t, g, read+"sound", "sound", 2000), soundStatus); time.Sleep(5 * time.Millisecond) {
		if time.Since(start) > 5*time.Second {
			t.Fatal("got: not served want: 200 before the malformed response")
		}
	}
	first := classify(request(t, g, order+"text", "o"+service, 500))
	second := classify(request(t, g, read+"text", "r"+service, 200))
	runs := u.Runs("o" + service)
	switch {
	case first != second:
		return first + ", idempotent: " + second
	case runs != 1:
		return fmt.Sprintf("%d runs", runs)
	}
	return first
}

// request sends a request with a deadline in milliseconds on a connection of its own and returns all
// that the caller receives.
func request(t *testing.T, g *testGateway, path, id string, deadline int) string {
	t.Helper()
	c, err := net.Dial("tcp", g.process.Callers())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err = io.WriteString(c, imitator.RequestWithin("h.example", path, id, deadline)); err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(c)
	if err != nil {
		t.Errorf("%s: got: %q, %v want: a response", path, text, err)
	}
	return string(text)
}

// classify returns "passed" for a caller that has got the upstream's response, "rejected" for one that
// has got an error of the entry that does not state that the request did not run, otherwise the text.
func classify(text string) string {
	status, rest, _ := strings.Cut(text, "\r\n")
	header, body, _ := strings.Cut(rest, "\r\n\r\n")
	stamped := imitator.Stamped(header)
	switch {
	case status == "HTTP/1.1 200 OK" && stamped && body == "whole":
		return "passed"
	case (strings.HasPrefix(status, "HTTP/1.1 502 ") || strings.HasPrefix(status, "HTTP/1.1 504 ")) && !stamped && !strings.Contains(text, "Odd"):
		return "rejected"
	}
	return fmt.Sprintf("%q", text)
}
