package relayer

import (
	"bytes"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/internal/sanitizer"
)

// Headers between callers, entries and servers.
const (
	// HeaderRan is the response header that indicates whether the call ran.
	HeaderRan = "Poplar-Ran"
	// HeaderDeadline is how long the caller waits for a response, such as
	// "250ms". Servers receive the remaining time.
	HeaderDeadline = "Poplar-Deadline"
	// HeaderKey identifies a call that must not run twice, so that the caller
	// can safely send it again.
	HeaderKey = "Idempotency-Key"
	// HeaderFirst, set to "1", asserts that no request with this key was sent
	// before.
	HeaderFirst = "Poplar-First"
	// HeaderSpent is the response header that indicates that the call was
	// retried, so that callers further up the call chain do not retry it again.
	HeaderSpent = "Poplar-Spent"
	// HeaderReplay marks a response that was recorded for an earlier request
	// with the same key.
	HeaderReplay = "Poplar-Replay"
)

// Headers that servers add to responses. Package prober uses these definitions
// as well.
const (
	// HeaderLoad is the number of calls that the server runs or queues.
	HeaderLoad = "Server-Load"
	// HeaderDraining marks the responses of a draining server.
	HeaderDraining = "Server-Leaving"
	// HeaderShed marks a 503 response of a server that did not run the call.
	HeaderShed = "Server-Shed"
)

const (
	// ErrDeadline reports a malformed deadline.
	ErrDeadline = errors.ConstError("malformed " + HeaderDeadline)
	// ErrKey reports a malformed idempotency key.
	ErrKey = errors.ConstError("malformed " + HeaderKey)
)

const (
	maxKeyBytes = 128
	maxLoad     = 1 << 20
	maxDeadline = 2 * time.Minute
)

// ParseDeadline parses the value of HeaderDeadline: a positive duration with a
// unit. Values over two minutes are reduced to two minutes.
func ParseDeadline(v []byte) (time.Duration, error) {
	d, err := time.ParseDuration(string(v))
	if err != nil || d <= 0 {
		return 0, errors.Annotatef(ErrDeadline, "got: %.40q want: a duration such as \"250ms\"", v)
	}
	return min(d, maxDeadline), nil
}

// ParseKey parses the value of HeaderKey: 1 to 128 printable ASCII characters
// other than space.
func ParseKey(v []byte) (string, error) {
	if len(v) == 0 || len(v) > maxKeyBytes {
		return "", errors.Annotatef(ErrKey, "got: %d bytes want: 1 to %d", len(v), maxKeyBytes)
	}
	for _, b := range v {
		if b <= ' ' || b > '~' {
			return "", errors.Annotate(ErrKey, "want printable characters without a blank")
		}
	}
	return string(v), nil
}

// ParseLoad parses the value of HeaderLoad. It returns -1 if the value is
// missing or malformed.
func ParseLoad(v []byte) int {
	n, err := strconv.Atoi(string(v))
	if err != nil || n < 0 {
		return -1
	}
	return min(n, maxLoad)
}

// hasConflictingLengths reports whether raw headers have both Content-Length
// and Transfer-Encoding. An entry and a server could frame such a request
// differently.
func hasConflictingLengths(raw []byte) bool {
	length, chunked := false, false
	for line := range bytes.Lines(raw) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		name = bytes.TrimSpace(name)
		length = length || bytes.EqualFold(name, []byte("Content-Length"))
		chunked = chunked || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	}
	return length && chunked
}

// prepareRequest sets dst to the request for the server at addr, made from the
// caller's request src. remaining is the time until the deadline. A request
// without a host, as HTTP/1.0 callers may send, gets addr as its host.
func prepareRequest(dst, src *fasthttp.Request, addr string, remaining time.Duration) {
	src.Header.CopyTo(&dst.Header)
	sanitizer.StripHopByHop(&dst.Header)
	for _, name := range []string{HeaderFirst, HeaderSpent, HeaderReplay, HeaderRan} {
		dst.Header.Del(name)
	}
	dst.Header.Set(HeaderDeadline, remaining.Round(time.Microsecond).String())
	dst.Header.ResetConnectionClose()
	dst.UseHostHeader = true
	if len(dst.Header.Host()) == 0 {
		dst.Header.SetHost(addr)
	}
	dst.SetBodyRaw(src.Body())
}
