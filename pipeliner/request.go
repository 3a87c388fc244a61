package pipeliner

import (
	"bufio"
	"bytes"
	"io"
	"net/http/httputil"
	"strings"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/bufferer"
)

// ErrConflictingLengths reports a request that specifies the length of its body
// more than once. Upstreams might find another end of the request than this
// package, and take a part of the body for a request.
const ErrConflictingLengths = errors.ConstError("Content-Length and Transfer-Encoding conflict")

// errHeaderTooLarge reports a request whose header exceeds the configured limit.
const errHeaderTooLarge = errors.ConstError("header is too large")

// readHeader reads the header of a request.
func readHeader(r *bufio.Reader, req *fasthttp.Request) error {
	if err := req.Header.Read(r); err != nil {
		return err
	}
	if hasConflictingLengths(req.Header.RawHeaders()) {
		return ErrConflictingLengths
	}
	return nil
}

// Values that fasthttp reports as the content length of requests without one.
const (
	chunked  = -1
	bodyless = -2
)

// readBody reads the body of a request of at most limit bytes, 0 meaning that it is not
// limited. Its length is then that of the body, whether or not it came in chunks. A trailer
// stays unread.
func readBody(r *bufio.Reader, req *fasthttp.Request, b *bufferer.Body, limit int) error {
	n := req.Header.ContentLength()
	if n == bodyless {
		return nil
	}
	if limit > 0 && n > limit {
		return fasthttp.ErrBodyTooLarge
	}
	if n != chunked {
		return b.ReadN(r, n)
	}
	err := b.ReadAll(httputil.NewChunkedReader(r), limit)
	if errors.Is(err, bufferer.ErrTooLarge) {
		return fasthttp.ErrBodyTooLarge
	}
	if b.Len() == 0 {
		req.Header.SetContentLength(0)
	}
	return endError(err)
}

// readTrailer reads what follows the last chunk of a body.
func readTrailer(r *bufio.Reader, req *fasthttp.Request) error {
	return endError(req.Header.ReadTrailer(r))
}

// endError returns the error of a request that may have ended before it was complete.
func endError(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// hasConflictingLengths reports whether raw headers specify the length of the
// body more than once.
func hasConflictingLengths(raw []byte) bool {
	lengths, encodings := 0, 0
	for line := range bytes.Lines(raw) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		name = bytes.TrimSpace(name)
		if bytes.EqualFold(name, []byte("Content-Length")) {
			lengths++
		}
		if bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			encodings++
		}
	}
	return lengths+encodings > 1
}

// readErrorText returns the text of an error of readHeader or readBody without the bytes of the
// request that it quotes: they may include the key of a customer.
func readErrorText(err error) string {
	text, _, _ := strings.Cut(err.Error(), `"`)
	return strings.TrimRight(text, " ")
}

// exhaustedRetryAfter is the Retry-After value in seconds of a request for which there is no
// memory left.
const exhaustedRetryAfter = "0.5"

// setReadError sets the response to a request that cannot be read.
func setReadError(resp *fasthttp.Response, err error) {
	status := fasthttp.StatusBadRequest
	var headerErr *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, bufferer.ErrExhausted):
		status = fasthttp.StatusServiceUnavailable
	case isTimeout(err):
		status = fasthttp.StatusRequestTimeout
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &headerErr), errors.Is(err, errHeaderTooLarge):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	resp.Reset()
	resp.SetStatusCode(status)
	if status == fasthttp.StatusServiceUnavailable {
		resp.Header.Set("Retry-After", exhaustedRetryAfter)
	}
	resp.Header.SetContentType("application/json")
	resp.SetBodyString(`{"error":"request can't be read"}`)
}
