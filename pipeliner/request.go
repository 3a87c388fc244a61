package pipeliner

import (
	"bufio"
	"bytes"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// ErrConflictingLengths reports a request that specifies the length of its body
// more than once. Upstreams might find another end of the request than this
// package, and take a part of the body for a request.
const ErrConflictingLengths = errors.ConstError("Content-Length and Transfer-Encoding conflict")

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

// setReadError sets the response to a request that cannot be read.
func setReadError(resp *fasthttp.Response, err error) {
	status := fasthttp.StatusBadRequest
	var headerErr *fasthttp.ErrSmallBuffer
	switch {
	case isTimeout(err):
		status = fasthttp.StatusRequestTimeout
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &headerErr):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	resp.Reset()
	resp.SetStatusCode(status)
	resp.Header.SetContentType("application/json")
	resp.SetBodyString(`{"error":"request can't be read"}`)
}
