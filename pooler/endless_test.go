package pooler

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// writeEndlessly writes a text and then another one again and again until the
// connection is closed or limit bytes were written. It returns their number.
func writeEndlessly(c net.Conn, text, repeated string, limit int) int {
	n, _ := io.WriteString(c, text)
	block := strings.Repeat(repeated, 1+4096/len(repeated))
	for n < limit {
		w, err := io.WriteString(c, block)
		n += w
		if err != nil {
			break
		}
	}
	return n
}

// TestEndlessResponses receives responses that do not end. Receive must fail after
// a number of bytes that depends on the size limit alone, without waiting for the
// deadline.
func TestEndlessResponses(t *testing.T) {
	const (
		maxBody = 64 << 10
		bound   = 8*maxBody + 1<<20
	)
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, tc := range []struct{ name, text, repeated string }{
		{"status line", "HTTP/1.1 200 ", "x"},
		{"no protocol", "", "x"},
		{"empty lines", "", "\r\n"},
		{"header line", ok + "A: ", "x"},
		{"headers", ok, "A: x\r\n"},
		{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"body without a length", ok + "\r\n", "x"},
		{"body with a length", ok + "Content-Length: 999999999999\r\n\r\n", "x"},
		{"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		{"chunk", ok + "Transfer-Encoding: chunked\r\n\r\nffffffff\r\n", "x"},
		{"chunk size", ok + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		{"chunk extension", ok + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		{"trailers", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: x\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			client, server := net.Pipe()
			p := Pool{Dial: func(context.Context, string) (net.Conn, error) { return client, nil }}
			c, err := p.Get(context.Background(), "a", 1, false)
			if err != nil {
				t.Fatal(err)
			}
			written := make(chan int, 1)
			go func() { written <- writeEndlessly(server, tc.text, tc.repeated, 4*bound) }()
			c.SetDeadline(time.Now().Add(10 * time.Second))
			start := time.Now()
			var resp fasthttp.Response
			err = c.ReceiveUntilClose(&resp, false, maxBody)
			p.Discard(c)
			if err == nil || time.Since(start) > 5*time.Second {
				t.Errorf("got: %v after %v want: an error before the deadline", err, time.Since(start))
			}
			if n := <-written; n > bound {
				t.Errorf("got: %d bytes read want: at most %d", n, bound)
			}
			if size := len(resp.Body()); size > 2*maxBody {
				t.Errorf("got: a body of %d bytes in memory want: at most %d", size, 2*maxBody)
			}
		})
	}
}
