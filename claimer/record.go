package claimer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/juju/errors"
)

//go:generate go tool stringer -type=State -linecomment -output=state_string.go

// State says what is known of a claimed call.
type State int

// The states of a claim.
const (
	// Claimed means that the holder may send the call, now or later.
	Claimed State = iota // claimed
	// Void means that no attempt so far ran or ever will.
	Void // void
	// Done means that the call ran and its answer is kept.
	Done // done
	// Lost means that the call may have run and that no answer will come.
	Lost // lost
)

// MarshalText writes the name of the state.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads the name of a state.
func (s *State) UnmarshalText(text []byte) error {
	for i := Claimed; i <= Lost; i++ {
		if i.String() == string(text) {
			*s = i
			return nil
		}
	}
	return errors.Errorf("unknown state of a claim: %q", text)
}

// Outcome is the answer that a call had.
type Outcome struct {
	Status int    `json:"status"`
	Type   string `json:"type,omitempty"`
	Body   []byte `json:"body,omitempty"`
	// Omitted says that the body was too large to keep.
	Omitted bool `json:"omitted,omitempty"`
}

// MaxBody bounds the body that a record keeps, in bytes.
const MaxBody = 256 << 10

// record is what the store holds for one key.
type record struct {
	// Attempt is unique to the attempt that wrote the claim.
	Attempt string `json:"attempt"`
	// Entry names the instance of the attempt, for operators.
	Entry string `json:"entry"`
	// Print is a digest of the request, which a repeated call must match.
	Print   string   `json:"print"`
	State   State    `json:"state"`
	Outcome *Outcome `json:"outcome,omitempty"`
}

func (r record) encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic("claimer: record does not encode")
	}
	return b
}

func decode(data []byte) (record, error) {
	var r record
	err := json.Unmarshal(data, &r)
	return r, errors.Annotate(err, "claim")
}

// Prefix is where claims stand in the store.
const Prefix = "/claims"

// Path returns the place of the claim for a key of the service.
func Path(service, key string) string {
	d := sha256.Sum256([]byte(service + "\x00" + key))
	return Prefix + service + "/" + hex.EncodeToString(d[:])
}

// Print returns the digest of a request.
func Print(method, uri string, body []byte) string {
	h := sha256.New()
	for _, s := range []string{method, uri} {
		_, _ = h.Write([]byte(s))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}
