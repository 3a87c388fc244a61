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

// ErrMessage reports a peer message that is malformed or exceeds a limit.
const ErrMessage = errors.ConstError("malformed peer message")

const (
	// MaxMessage is the maximum size of a message between entries, in bytes.
	MaxMessage    = 2 << 20
	maxHeartbeats = 1024
	maxWants      = 256
	maxMarks      = 256
	maxRates      = 256
	maxText       = 128
	// maxObjects limits the settings in one message, in bytes of data. A single
	// larger object is still sent.
	maxObjects = 512 << 10
)

// Hello is the message that entries exchange at each heartbeat.
type Hello struct {
	From  Member   `json:"from"`
	News  []Brief  `json:"news"`
	Want  []string `json:"want,omitempty"`
	Intro []Member `json:"intro,omitempty"`
}

// Pull requests accepted settings newer than those in Have.
type Pull struct {
	Have []keeper.VersionRef `json:"have"`
	// List also requests the peer's most recent copy of the platform's list.
	List bool `json:"list,omitempty"`
}

// Haul is the response to a Pull.
type Haul struct {
	Objects   []keeper.Object   `json:"objects"`
	Instances []keeper.Instance `json:"instances,omitempty"`
}

// smallMessage is the size in bytes up to which a message is sent uncompressed,
// since the bytes saved do not justify the CPU time.
const smallMessage = 1200

// gzipMagic is the prefix of a compressed message. No JSON text starts with it.
var gzipMagic = []byte{0x1f, 0x8b}

// pack encodes a message as JSON and compresses large ones. These consist
// mostly of repeated names and shrink to about 1/3.
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

// unpack returns the JSON text of a packed message, of at most MaxMessage bytes
// if it is compressed. The result shares no memory with data, which may belong
// to a request or response object that is reused.
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

// ParseHello decodes a Hello and checks its limits.
func ParseHello(data []byte) (Hello, error) {
	var h Hello
	if err := json.Unmarshal(data, &h); err != nil {
		return h, errors.WithType(err, ErrMessage)
	}
	switch {
	case h.From.Name == "":
		return h, errors.Annotate(ErrMessage, "from.name: missing")
	case len(h.News) > maxHeartbeats:
		return h, errors.Annotate(ErrMessage, "news: too long")
	case len(h.Want) > maxWants || len(h.Intro) > maxHeartbeats:
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
