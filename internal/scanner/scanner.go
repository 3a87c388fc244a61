package scanner

import (
	"bufio"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

//go:generate go tool stringer -type=state -linecomment -output=state_string.go

// ErrMalformed reports the head or the trailer of a response that is not one of HTTP/1.
const ErrMalformed = errors.ConstError("response is malformed")

// state is the part of a head that the next byte belongs to.
type state int

// The states. A trailer begins at lineStart.
const (
	statusLine state = iota // status line
	reason                  // reason phrase
	lineEnd                 // line end
	lineStart               // start of a line
	name                    // field name
	value                   // field value
	headEnd                 // end of the head
	done                    // body
)

// Head scans the head of one response, or a trailer. Its zero value is at the beginning of a head.
type Head struct {
	state state
	// position is the number of bytes of statusPattern that were matched.
	position int
	// status is the value of the digits of the status code so far.
	status int
}

// statusPattern is the status line up to the reason phrase. Each 0 stands for a digit.
const statusPattern = "HTTP/1.0 000"

// statusOffset is the offset of the status code in statusPattern.
const statusOffset = len("HTTP/1.0 ")

// NewTrailer returns a Head at the beginning of a trailer.
func NewTrailer() Head { return Head{state: lineStart} }

// Done reports whether the head is complete.
func (h *Head) Done() bool { return h.state == done }

// Interim reports whether the status is one of an interim response, which another response follows.
func (h *Head) Interim() bool {
	return h.status/100 == 1 && h.status != fasthttp.StatusSwitchingProtocols
}

// Scan scans the next bytes of the head and returns the number of those that belong to it. It
// returns ErrMalformed at the first byte that the grammar does not allow, and no error for any
// bytes after the end.
func (h *Head) Scan(p []byte) (int, error) {
	for i, c := range p {
		if h.state == done {
			return i, nil
		}
		next, ok := h.next(c)
		if !ok {
			return i, errors.Annotatef(ErrMalformed, "byte %q in %s", []byte{c}, h.state)
		}
		h.state = next
	}
	return len(p), nil
}

// next returns the state after a byte, false if the grammar does not allow the byte.
func (h *Head) next(c byte) (state, bool) {
	switch h.state {
	case statusLine:
		return h.nextInStatusLine(c)
	case reason, value:
		if c == '\r' {
			return lineEnd, true
		}
		return h.state, isText(c)
	case lineEnd:
		return lineStart, c == '\n'
	case lineStart:
		if c == '\r' {
			return headEnd, true
		}
		return name, isToken(c)
	case name:
		if c == ':' {
			return value, true
		}
		return name, isToken(c)
	case headEnd:
		return done, c == '\n'
	}
	return done, false
}

// nextInStatusLine is next for a byte of the status line before the reason phrase. A status
// line may end without one.
func (h *Head) nextInStatusLine(c byte) (state, bool) {
	if h.position == len(statusPattern) {
		if c == '\r' {
			return lineEnd, true
		}
		return reason, c == ' '
	}
	want := statusPattern[h.position]
	switch {
	case want != '0':
		h.position++
		return statusLine, c == want
	case h.position == statusOffset && (c < '1' || c > '5'), c < '0', c > '9':
		return statusLine, false
	}
	if h.position >= statusOffset {
		h.status = 10*h.status + int(c-'0')
	}
	h.position++
	return statusLine, true
}

// isText reports whether a byte may be part of a field value or a reason phrase.
func isText(c byte) bool { return c >= ' ' && c != 0x7f || c == '\t' }

// isToken reports whether a byte may be part of a field name.
func isToken(c byte) bool { return tokens[c] }

// tokens holds the bytes of tokens, as defined in section 5.6.2 of RFC 9110.
var tokens = func() (t [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		t[c] = true
	}
	return t
}()

// Check scans a head, or a trailer, that begins at the next byte of r and reads nothing of it. It
// returns ErrMalformed, the error of r, or bufio.ErrBufferFull if the head exceeds the buffer.
func Check(r *bufio.Reader, h Head) error {
	for scanned := 0; !h.Done(); {
		if _, err := r.Peek(scanned + 1); err != nil {
			return errors.Trace(err)
		}
		buffered, err := r.Peek(r.Buffered())
		if err != nil {
			return errors.Trace(err)
		}
		n, err := h.Scan(buffered[scanned:])
		if err != nil {
			return err
		}
		scanned += n
	}
	return nil
}
