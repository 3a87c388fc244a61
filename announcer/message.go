package announcer

import (
	"bytes"
	"compress/gzip"
	"encoding/json"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/bufferer"
	"poplarwind/storer"
)

// Level is the level of the messages that this build understands. It rises with a message or a
// field that others may send only to entries that understand it.
const Level = LevelKeys

// LevelKeys is the level from which on an entry checks the keys of customers and does not pass them on
// to upstreams.
const LevelKeys = 2

// ErrMalformed reports a peer message that is malformed or exceeds a limit.
const ErrMalformed = errors.ConstError("malformed message of a peer")

const (
	// MaxMessage is the maximum size of a message between entries, in bytes.
	MaxMessage    = 2 << 20
	maxHeartbeats = 1024
	maxRequested  = 256
	maxDrainMarks = 256
	maxRates      = 256
	maxText       = 128
	// maxObjects limits the settings in one message, in bytes of data. A single
	// larger object is still sent.
	maxObjects = 512 << 10
)

// Hello is the message that entries exchange at each heartbeat. It is sent as JSON
// and, after a line end, the encoded heartbeats.
type Hello struct {
	From       Member      `json:"from"`
	Heartbeats []Heartbeat `json:"-"`
	// Full requests the heartbeats of all live members, not only recent ones.
	Full         bool     `json:"all,omitempty"`
	Requested    []ID     `json:"want,omitempty"`
	Descriptions []Member `json:"intro,omitempty"`
}

// PullRequest requests accepted settings newer than those in Have.
type PullRequest struct {
	Have []storer.VersionRef `json:"have"`
	// WithInstances also requests the peer's most recent copy of the platform's
	// list.
	WithInstances bool `json:"list,omitempty"`
}

// PullResponse is the response to a PullRequest.
type PullResponse struct {
	Objects   []storer.Object   `json:"objects"`
	Instances []storer.Instance `json:"instances,omitempty"`
}

// smallMessage is the size in bytes up to which a message is sent uncompressed,
// since the bytes saved do not justify the CPU time.
const smallMessage = 1200

// gzipMagic is the prefix of a compressed message. No JSON text starts with it.
var gzipMagic = []byte{0x1f, 0x8b}

// Packed is a message that was encoded by Pack, to be sent to several members.
type Packed []byte

// Pack encodes a message for Announcer.Send and its Handler.
func Pack(message any) (Packed, error) { return pack(message) }

// pack encodes a message as JSON and compresses large ones. These consist
// mostly of repeated names and shrink to about 1/3. Heartbeats alone hardly
// shrink.
func pack(message any) ([]byte, error) {
	if p, ok := message.(Packed); ok {
		return p, nil
	}
	body, err := json.Marshal(message)
	if err != nil {
		return nil, errors.Trace(err)
	}
	compress := len(body) > smallMessage
	if h, ok := message.(Hello); ok {
		body = append(body, '\n')
		for _, b := range h.Heartbeats {
			body = appendHeartbeat(body, b)
		}
	}
	if !compress {
		return body, nil
	}
	return fasthttp.AppendGzipBytesLevel(nil, body, fasthttp.CompressBestSpeed), nil
}

// Unpack returns the JSON text of a packed message.
func (p Packed) Unpack() ([]byte, error) {
	text, _, err := unpack(&bufferer.Budget{}, p)
	return text, err
}

// unpack returns the JSON text of a packed message, of at most MaxMessage bytes. It shares no
// memory with data. The memory is to be released when it is no longer used.
func unpack(g *bufferer.Budget, data []byte) (text []byte, memory *bufferer.Body, err error) {
	if !bytes.HasPrefix(data, gzipMagic) {
		return bytes.Clone(data), nil, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, nil, errors.WithType(err, ErrMalformed)
	}
	memory, err = g.Read(bufferer.Peers, r, MaxMessage, messageOverhead, nil)
	if err != nil {
		return nil, nil, errors.WithType(err, ErrMalformed)
	}
	return memory.Bytes(), memory, nil
}

// ParseHello decodes a Hello and checks its limits.
func ParseHello(data []byte) (Hello, error) {
	var h Hello
	data, rows, _ := bytes.Cut(data, []byte{'\n'})
	if err := json.Unmarshal(data, &h); err != nil {
		return h, errors.WithType(err, ErrMalformed)
	}
	switch {
	case h.From.Name == "":
		return h, errors.Annotate(ErrMalformed, "from.name: missing")
	case len(h.Requested) > maxRequested || len(h.Descriptions) > maxHeartbeats:
		return h, errors.Annotate(ErrMalformed, "want, intro: too long")
	}
	for _, m := range append(h.Descriptions, h.From) {
		if err := m.Check(); err != nil {
			return h, err
		}
	}
	var err error
	h.Heartbeats, err = decodeHeartbeats(rows)
	return h, err
}

// Check returns ErrMalformed if the description exceeds the limits of what entries exchange.
func (m Member) Check() error {
	for _, s := range []string{m.Name, m.Domain, m.Region, m.Callers, m.Peers, m.Ops, m.Build} {
		if len(s) > maxText {
			return errors.Annotate(ErrMalformed, "member: text too long")
		}
	}
	if !(m.Capacity >= 0) {
		return errors.Annotate(ErrMalformed, "member: power below 0")
	}
	if len(m.Rates) > maxRates || len(m.DrainMarks) > maxDrainMarks {
		return errors.Annotate(ErrMalformed, "member: rates, marks: too long")
	}
	return nil
}
