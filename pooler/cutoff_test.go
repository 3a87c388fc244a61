package pooler

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// TestResponseCutOffInHead has a server close the connection at each byte of a response's
// head: no part of a head may be taken for a response, with a body or without one.
func TestResponseCutOffInHead(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nId: 1\r\nStamp: s\r\nContent-Length: 5\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 1\r\nStamp: s\r\nConnection: close\r\n\r\n",
		"HTTP/1.1 200 OK\nId: 1\nTransfer-Encoding: chunked\n\n",
		"HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		for n := range len(head) {
			addr := listen(t, func(c net.Conn) {
				_, _ = c.Read(make([]byte, 1024))
				_, _ = c.Write([]byte(head[:n]))
				_ = c.Close()
			})
			var p Pool
			c, err := p.Get(context.Background(), addr, 1, false)
			if err != nil {
				t.Fatal(err)
			}
			c.SetDeadline(time.Now().Add(5 * time.Second))
			var req fasthttp.Request
			req.SetRequestURI("http://h/")
			if err := c.Send(&req); err != nil {
				t.Fatal(err)
			}
			var resp fasthttp.Response
			if err := c.ReceiveUntilClose(&resp, false, 1<<20); err == nil {
				t.Errorf("%q: got: a response with status %d want: an error", head[:n], resp.StatusCode())
			}
			p.Discard(c)
		}
	}
}
