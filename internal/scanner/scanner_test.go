package scanner

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/internal/scripter"
)

// body is what follows a head in the tests.
const body = "whole"

// TestHeads scans the texts of testdata, with escapes as in Go: as one piece, byte by byte, and
// from a reader. A body behind them must not be scanned.
func TestHeads(t *testing.T) {
	scripter.Run(t, "testdata/*.txt", func(t *testing.T) func([]string) string {
		return func(args []string) string {
			text, err := strconv.Unquote(`"` + strings.Join(args[1:], " ") + `"`)
			if err != nil {
				return err.Error()
			}
			start := Head{}
			if args[0] == "trailer" {
				start = NewTrailer()
			}
			want := scan(start, text, len(text)+len(body))
			for _, got := range []string{scan(start, text, 1), check(t, start, text)} {
				if got != want {
					t.Errorf("%q: got: %s want: %s, as in one piece", text, got, want)
				}
			}
			return want
		}
	})
}

// scan scans a text, and a body behind it if it is a complete head, in pieces of a size, and
// returns the outcome.
func scan(h Head, text string, size int) string {
	rest, scanned := []byte(text+body), 0
	if incomplete(h, text) {
		rest = rest[:len(text)]
	}
	for len(rest) > 0 {
		piece := rest[:min(size, len(rest))]
		n, err := h.Scan(piece)
		scanned += n
		if err != nil {
			return reasonOf(err)
		}
		rest = rest[len(piece):]
	}
	switch {
	case !h.Done():
		return "incomplete"
	case scanned != len(text):
		return "wrong end"
	case h.Interim():
		return "interim"
	}
	return "complete"
}

// incomplete reports whether more bytes of the head must follow a text.
func incomplete(h Head, text string) bool {
	_, err := h.Scan([]byte(text))
	return err == nil && !h.Done()
}

// reasonOf returns the text of an error without the sentinel.
func reasonOf(err error) string {
	return strings.TrimSuffix(err.Error(), ": "+ErrMalformed.Error())
}

// check passes a text, and a body behind it, to Check byte by byte and returns the outcome.
func check(t *testing.T, h Head, text string) string {
	t.Helper()
	interim := h
	_, _ = interim.Scan([]byte(text))
	if !incomplete(h, text) {
		text += body
	}
	r := bufio.NewReader(iotest.OneByteReader(strings.NewReader(text)))
	err := Check(r, h)
	if rest, _ := io.ReadAll(r); string(rest) != text {
		t.Errorf("%q: got: %q left to read want: all", text, rest)
	}
	switch {
	case errors.Is(err, io.EOF):
		return "incomplete"
	case err != nil:
		return reasonOf(err)
	case interim.Interim():
		return "interim"
	}
	return "complete"
}

// TestCheckLongHead checks that a head that exceeds the buffer is no malformed one.
func TestCheckLongHead(t *testing.T) {
	r := bufio.NewReaderSize(strings.NewReader("HTTP/1.1 200 OK\r\nA: "+strings.Repeat("x", 64)), 32)
	if err := Check(r, Head{}); !errors.Is(err, bufio.ErrBufferFull) {
		t.Errorf("got: %v want: %v", err, bufio.ErrBufferFull)
	}
}

// FuzzHead compares what the codec parses with what was sent. Of a head that is not malformed, it
// must find the same end and the same status, and no name that is not a token.
func FuzzHead(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nA: 1\r\n\r\n", "HTTP/1.1 000 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nX Odd: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\nA: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nA: 1\r\n B: 2\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var h Head
		n, err := h.Scan(text)
		if err != nil || !h.Done() {
			return
		}
		r := bufio.NewReader(bytes.NewReader(text))
		var parsed fasthttp.ResponseHeader
		if err := parsed.Read(r); err != nil {
			return
		}
		if got := len(text) - r.Buffered(); len(text) < r.Size() && got != n {
			t.Errorf("%q: got: a head of %d bytes want: %d", text, got, n)
		}
		if got, want := strconv.Itoa(parsed.StatusCode()), string(text[statusOffset:statusOffset+3]); got != want {
			t.Errorf("%q: got: status %s want: %s", text, got, want)
		}
		for name := range parsed.All() {
			for _, c := range name {
				if !isToken(c) {
					t.Errorf("%q: got: name %q want: a token", text, name)
				}
			}
		}
	})
}

// BenchmarkCheck checks the head of a typical response of an upstream.
func BenchmarkCheck(b *testing.B) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: 1024\r\n" +
		"Id: 9c41d07be2a35f68\r\nStamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nLoad: 3,0,8,100\r\n\r\n"
	text := strings.NewReader(head)
	r := bufio.NewReader(text)
	for b.Loop() {
		text.Reset(head)
		r.Reset(text)
		if err := Check(r, Head{}); err != nil {
			b.Fatal(err)
		}
	}
}
