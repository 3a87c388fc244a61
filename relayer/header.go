package relayer

import (
	"bytes"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/internal/httper"
)

// Headers between callers, entries and servers.
const (
	// HeaderRan says in an answer whether the call ran.
	HeaderRan = "Poplar-Ran"
	// HeaderDeadline says how long a caller waits, such as "250ms". Servers
	// are sent what is left of it.
	HeaderDeadline = "Poplar-Deadline"
	// HeaderKey makes a call that must not run twice safe to repeat.
	HeaderKey = "Idempotency-Key"
	// HeaderFirst, set to "1", asserts that the key was never sent before.
	HeaderFirst = "Poplar-First"
	// HeaderSpent says in an answer that retries were spent on the call, so
	// that those above spend none.
	HeaderSpent = "Poplar-Spent"
	// HeaderReplay marks an answer that was recorded for an earlier attempt.
	HeaderReplay = "Poplar-Replay"
)

// Headers that servers add to answers: the one place that knows them.
const (
	// HeaderLoad tells how many calls the server runs or holds.
	HeaderLoad = "Server-Load"
	// HeaderLeaving marks the answers of a server that is leaving.
	HeaderLeaving = "Server-Leaving"
	// HeaderShed marks a 503 of a server that did not run the call.
	HeaderShed = "Server-Shed"
)

const (
	// ErrDeadline reports a malformed deadline.
	ErrDeadline = errors.ConstError("malformed " + HeaderDeadline)
	// ErrKey reports a malformed idempotency key.
	ErrKey = errors.ConstError("malformed " + HeaderKey)
)

const (
	maxKey    = 128
	maxLoad   = 1 << 20
	deadLimit = 2 * time.Minute
)

// ParseDeadline reads the value of HeaderDeadline: a duration with a unit,
// above zero. Values over two minutes mean two minutes.
func ParseDeadline(v []byte) (time.Duration, error) {
	d, err := time.ParseDuration(string(v))
	if err != nil || d <= 0 {
		return 0, errors.Annotatef(ErrDeadline, "got: %.40q want: a duration such as \"250ms\"", v)
	}
	return min(d, deadLimit), nil
}

// ParseKey reads the value of HeaderKey: 1 to 128 printable characters
// without a blank.
func ParseKey(v []byte) (string, error) {
	if len(v) == 0 || len(v) > maxKey {
		return "", errors.Annotatef(ErrKey, "got: %d bytes want: 1 to %d", len(v), maxKey)
	}
	for _, b := range v {
		if b <= ' ' || b > '~' {
			return "", errors.Annotate(ErrKey, "want printable characters without a blank")
		}
	}
	return string(v), nil
}

// ParseLoad reads the load that a server told, -1 if it told none.
func ParseLoad(v []byte) int {
	n, err := strconv.Atoi(string(v))
	if err != nil || n < 0 {
		return -1
	}
	return min(n, maxLoad)
}

// conflicting reports whether raw headers give a body's length in two ways,
// which entries and servers might read differently.
func conflicting(raw []byte) bool {
	length, chunks := false, false
	for line := range bytes.Lines(raw) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		name = bytes.TrimSpace(name)
		length = length || bytes.EqualFold(name, []byte("Content-Length"))
		chunks = chunks || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	}
	return length && chunks
}

// outgoing fills dst with what a server is sent of the caller's request src,
// with left of the deadline. A request without a host, as old callers send,
// gets the server's address for one.
func outgoing(dst, src *fasthttp.Request, addr string, left time.Duration) {
	src.Header.CopyTo(&dst.Header)
	httper.Strip(&dst.Header)
	for _, name := range []string{HeaderFirst, HeaderSpent, HeaderReplay, HeaderRan} {
		dst.Header.Del(name)
	}
	dst.Header.Set(HeaderDeadline, left.Round(time.Microsecond).String())
	dst.Header.ResetConnectionClose()
	dst.UseHostHeader = true
	if len(dst.Header.Host()) == 0 {
		dst.Header.SetHost(addr)
	}
	dst.SetBodyRaw(src.Body())
}
