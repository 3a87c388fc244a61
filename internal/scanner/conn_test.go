package scanner

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/internal/responder"
)

// TestClientReadsMalformedHead has a client read the second response on a connection. One with a
// malformed head must fail with ErrMalformed; a body may be anything.
func TestClientReadsMalformedHead(t *testing.T) {
	const odd = "HTTP/1.1 000 OK\r\nX Odd: 1\r\n\n"
	for _, tc := range []struct {
		name, response string
		malformed      bool
	}{
		{"sound", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false},
		{"odd body", "HTTP/1.1 200 OK\r\nContent-Length: 28\r\n\r\n" + odd, false},
		{"odd chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1c\r\n" + odd + "\r\n0\r\n\r\n", false},
		{"interim", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false},
		{"status", "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok", true},
		{"status behind interim", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok", true},
		{"field", "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\nok", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			addr := responder.Start(t, func(req *fasthttp.Request) (string, bool) {
				if strings.HasSuffix(string(req.RequestURI()), "first") {
					return "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst", false
				}
				return tc.response, false
			})
			c := fasthttp.Client{DialTimeout: Dial(nil), MaxConnsPerHost: 1}
			if _, body, err := c.GetTimeout(nil, "http://"+addr+"/first", time.Second); err != nil || string(body) != "first" {
				t.Fatalf("got: %q, %v want: first", body, err)
			}
			status, body, err := c.GetTimeout(nil, "http://"+addr+"/second", time.Second)
			switch {
			case tc.malformed && !errors.Is(err, ErrMalformed):
				t.Errorf("got: %d %q, %v want: %v", status, body, err, ErrMalformed)
			case !tc.malformed && (err != nil || status != 200 || string(body) != "ok" && string(body) != odd):
				t.Errorf("got: %d %q, %v want: the response", status, body, err)
			}
		})
	}
}

// TestConnStaysMalformed checks that no bytes can be read after those before a malformed one.
func TestConnStaysMalformed(t *testing.T) {
	addr := responder.Start(t, func(*fasthttp.Request) (string, bool) { return "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok", false })
	c, err := Dial(nil)(addr, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	if _, err := c.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(c)
	if string(text) != "HTTP/1.1 " || !errors.Is(err, ErrMalformed) {
		t.Errorf("got: %q, %v want: what is before the status, %v", text, err, ErrMalformed)
	}
	if n, err := c.Read(make([]byte, 16)); n != 0 || !errors.Is(err, ErrMalformed) {
		t.Errorf("got: %d bytes, %v want: none, %v", n, err, ErrMalformed)
	}
}
