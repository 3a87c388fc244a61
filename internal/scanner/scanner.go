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
	// minor is the digit of the minor version.
	minor byte
	// matched is the number of bytes of transferEncoding that the current name begins with, -1 if
	// the name is another one, and encoded is set if the head has that field.
	matched int
	encoded bool
}

// statusPattern is the status line up to the reason phrase. Each 0 stands for a digit.
const statusPattern = "HTTP/1.0 000"

// minorOffset and statusOffset are the offsets of the minor version and of the status code in
// statusPattern.
const (
	minorOffset  = len("HTTP/1.")
	statusOffset = len("HTTP/1.0 ")
)

// transferEncoding is the name of the field with the transfer coding of a body, in lower case.
const transferEncoding = "transfer-encoding"

// NewTrailer returns a Head at the beginning of a trailer.
func NewTrailer() Head { return Head{state: lineStart, minor: '1'} }

// Done reports whether the head is complete.
func (h *Head) Done() bool { return h.state == done }

// Interim reports whether the status is one of an interim response, which another response follows.
func (h *Head) Interim() bool {
	return h.status/100 == 1 && h.status != fasthttp.StatusSwitchingProtocols
}

// Scan scans the next bytes of the head and returns the number of those that belong to it. It
// returns ErrMalformed at the first byte that the grammar does not allow, and at the end of a head
// with a transfer coding in a version without any. It returns no error for bytes after the end.
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
		if h.state == done && h.encoded && h.minor != '1' {
			return i, errors.Annotatef(ErrMalformed, "transfer coding in version 1.%c", h.minor)
		}
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
		h.matched = 0
		h.matchName(c)
		return name, isToken(c)
	case name:
		if c == ':' {
			h.encoded = h.encoded || h.matched == len(transferEncoding)
			return value, true
		}
		h.matchName(c)
		return name, isToken(c)
	case headEnd:
		return done, c == '\n'
	}
	return done, false
}

// matchName compares a byte of a field name with transferEncoding.
func (h *Head) matchName(c byte) {
	if 'A' <= c && c <= 'Z' {
		c += 'a' - 'A'
	}
	if h.matched >= 0 && h.matched < len(transferEncoding) && c == transferEncoding[h.matched] {
		h.matched++
	} else {
		h.matched = -1
	}
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
	if h.position == minorOffset {
		h.minor = c
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
