package pipeliner

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"
)

// TestUnreadableRequestIsNotLogged sends requests that can't be read, each with a key in its header or in
// what follows. The codec quotes the bytes of such a request in its error; the log must have the reason
// without them, since keys of customers must not get into logs.
func TestUnreadableRequestIsNotLogged(t *testing.T) {
	for name, text := range map[string]string{
		"blank in a name":     "GET / HTTP/1.1\r\nHost: h\r\nKey: secret-key\r\nOdd : 1\r\n\r\n",
		"blank after the key": "GET / HTTP/1.1\r\nHost: h\r\nKey : secret-key\r\n\r\n",
		"control character":   "GET / HTTP/1.1\r\nHost: h\r\nKey: secret-key\x01\r\n\r\n",
		"no version":          "GET /\r\nKey: secret-key\r\n\r\n",
		"no colon":            "GET / HTTP/1.1\r\nHost: h\r\nKey secret-key\r\n\r\n",
		"quote before":        "GET / HTTP/1.1\r\nHost: \"h\r\nKey\x00: secret-key\r\n\r\n",
		"forbidden trailer":   "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nHost: secret-key\r\n\r\n",
		"trailer value":       "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nKey: secret-key\x01\r\n\r\n",
		"chunk length":        "POST / HTTP/1.1\r\nHost: h\r\nKey: secret-key\r\nTransfer-Encoding: chunked\r\n\r\nsecret-key\r\n",
		"too long":            "GET / HTTP/1.1\r\nHost: h\r\nKey: secret-key\r\nLong: " + strings.Repeat("x", 16<<10) + "\r\n\r\n",
	} {
		var log bytes.Buffer
		s := New(Options{
			Handler: newTestHandler(), MaxHeader: 4 << 10, MaxBody: 1 << 20, MaxConns: 10,
			IdleTimeout: func() time.Duration { return time.Minute }, Log: slog.New(slog.NewTextHandler(&log, nil)),
		})
		caller, entry := net.Pipe()
		done := make(chan struct{})
		go func() {
			s.ServeConn(entry)
			close(done)
		}()
		go func() { _, _ = io.WriteString(caller, text) }()
		_ = caller.SetReadDeadline(time.Now().Add(5 * time.Second))
		response, _ := io.ReadAll(caller)
		_ = caller.Close()
		<-done
		if !bytes.Contains(response, []byte("HTTP/1.1 4")) || !strings.Contains(log.String(), "request can't be read") {
			t.Errorf("%s: got: %.60q, log %q want: a rejection that is logged", name, response, log.String())
		}
		if strings.Contains(log.String(), "secret") {
			t.Errorf("%s: got: %q want: no bytes of the request", name, log.String())
		}
	}
}
