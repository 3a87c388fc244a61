package pooler

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// TestMalformedResponses receives responses that HTTP does not allow, in the last one the head is
// longer than the buffer.
func TestMalformedResponses(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, tc := range []struct {
		name, text string
		want       error
	}{
		{"sound", ok + "X-Odd: 1\r\nContent-Length: 5\r\n\r\nwhole", nil},
		{"sound trailer", ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-Odd: 1\r\n\r\n", nil},
		{"status 000", "HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nwhole", ErrMalformed},
		{"status 099 as interim response", "HTTP/1.1 099 Odd\r\n\r\n" + ok + "Content-Length: 5\r\n\r\nwhole", ErrMalformed},
		{"blank in a name", ok + "X Odd: 1\r\nContent-Length: 5\r\n\r\nwhole", ErrMalformed},
		{"line feed before a name", ok + "Content-Length: 5\r\n\nX-Odd: 1\r\n\r\nwhole", ErrMalformed},
		{"blank in a trailer", ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX Odd: 1\r\n\r\n", ErrMalformed},
		{"long head", ok + "A: " + strings.Repeat("x", defaultBufferSize) + "\r\n\r\n", ErrTooLarge},
	} {
		t.Run(tc.name, func(t *testing.T) {
			addr := listen(t, func(c net.Conn) {
				defer c.Close()
				_, _ = c.Read(make([]byte, 4096))
				_, _ = io.WriteString(c, tc.text)
			})
			var p Pool
			c, err := p.Get(context.Background(), addr, 1, false)
			if err != nil {
				t.Fatal(err)
			}
			defer p.Discard(c)
			c.SetDeadline(time.Now().Add(5 * time.Second))
			var req fasthttp.Request
			req.SetRequestURI("http://h/")
			if err := c.Send(&req); err != nil {
				t.Fatal(err)
			}
			var resp fasthttp.Response
			defer resp.Reset()
			if err := c.ReceiveUntilClose(&resp, false, 1<<20); !errors.Is(err, tc.want) {
				t.Errorf("got: %v want: %v", err, tc.want)
			}
		})
	}
}
