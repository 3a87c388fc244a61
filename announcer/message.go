package announcer

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/keeper"
)

// ErrMessage reports a message of a peer that is malformed or out of bounds.
const ErrMessage = errors.ConstError("malformed message of a peer")

const (
	// MaxMessage bounds a message between entries, in bytes.
	MaxMessage = 2 << 20
	maxBriefs  = 1024
	maxWants   = 256
	maxMarks   = 256
	maxRates   = 256
	maxText    = 128
	// maxObjects bounds the settings in one message, in bytes of data.
	maxObjects = 512 << 10
)

// Hello is what entries exchange each beat.
type Hello struct {
	From  Member   `json:"from"`
	News  []Brief  `json:"news"`
	Want  []string `json:"want,omitempty"`
	Intro []Member `json:"intro,omitempty"`
}

// Pull asks a peer for accepted settings newer than those held.
type Pull struct {
	Have []keeper.Stamp `json:"have"`
	// List asks for the platform's list too, as the peer last saw it.
	List bool `json:"list,omitempty"`
}

// Haul answers a Pull.
type Haul struct {
	Objects   []keeper.Object   `json:"objects"`
	Instances []keeper.Instance `json:"instances,omitempty"`
}

// smallMessage is the size in bytes up to which compressing costs more
// processor time than the bytes that it saves are worth.
const smallMessage = 1200

// gzipMagic begins what is compressed; JSON never begins so.
var gzipMagic = []byte{0x1f, 0x8b}

// pack encodes a message. Names that recur make up most of a large one, so
// that it is compressed to about a third.
func pack(message any) ([]byte, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(body) <= smallMessage {
		return body, nil
	}
	return fasthttp.AppendGzipBytesLevel(nil, body, fasthttp.CompressBestSpeed), nil
}

// unpack reverses pack up to the encoding. It reads no more than MaxMessage.
// The result shares no memory with data, which may belong to a message that is
// used again.
func unpack(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, gzipMagic) {
		return bytes.Clone(data), nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.WithType(err, ErrMessage)
	}
	body, err := io.ReadAll(io.LimitReader(r, MaxMessage+1))
	if err != nil {
		return nil, errors.WithType(err, ErrMessage)
	}
	if len(body) > MaxMessage {
		return nil, errors.Annotate(ErrMessage, "too large")
	}
	return body, nil
}

// ParseHello reads a Hello and checks its bounds.
func ParseHello(data []byte) (Hello, error) {
	var h Hello
	if err := json.Unmarshal(data, &h); err != nil {
		return h, errors.WithType(err, ErrMessage)
	}
	switch {
	case h.From.Name == "":
		return h, errors.Annotate(ErrMessage, "from.name: missing")
	case len(h.News) > maxBriefs:
		return h, errors.Annotate(ErrMessage, "news: too long")
	case len(h.Want) > maxWants || len(h.Intro) > maxBriefs:
		return h, errors.Annotate(ErrMessage, "want, intro: too long")
	}
	for _, m := range append(h.Intro, h.From) {
		if err := m.check(); err != nil {
			return h, err
		}
	}
	for _, b := range h.News {
		if b.Name == "" || len(b.Name) > maxText {
			return h, errors.Annotate(ErrMessage, "news.n: length")
		}
		if !(b.Load >= 0) {
			return h, errors.Annotate(ErrMessage, "news.q: below 0")
		}
	}
	return h, nil
}

func (m Member) check() error {
	for _, s := range []string{m.Name, m.Domain, m.Region, m.Callers, m.Peers, m.Ops} {
		if len(s) > maxText {
			return errors.Annotate(ErrMessage, "member: text too long")
		}
	}
	if !(m.Power >= 0) {
		return errors.Annotate(ErrMessage, "member: power below 0")
	}
	if len(m.Rates) > maxRates || len(m.Marks) > maxMarks {
		return errors.Annotate(ErrMessage, "member: rates, marks: too long")
	}
	return nil
}
