package claimer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/juju/errors"
)

//go:generate go tool stringer -type=State -linecomment -output=state_string.go

// State is the state of a claim.
type State int

// The states of a claim.
const (
	// Claimed means that the holder may send the call at any time.
	Claimed State = iota // claimed
	// Void means that no attempt so far has run the call or will run it.
	Void // void
	// Done means that the call ran and its response is recorded.
	Done // done
	// Lost means that the call may have run and that its response will never be
	// available.
	Lost // lost
)

// MarshalText returns the name of the state.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses the name of a state.
func (s *State) UnmarshalText(text []byte) error {
	for i := Claimed; i <= Lost; i++ {
		if i.String() == string(text) {
			*s = i
			return nil
		}
	}
	// The text is part of callers' responses.
	return errors.Errorf("unknown state of a claim: %q", text)
}

// Outcome is the recorded response to a call.
type Outcome struct {
	Status int    `json:"status"`
	Type   string `json:"type,omitempty"`
	Body   []byte `json:"body,omitempty"`
	// Omitted is set if the body was larger than MaxBody and is not recorded.
	Omitted bool `json:"omitted,omitempty"`
}

// MaxBody is the maximum size of a recorded body, in bytes.
const MaxBody = 256 << 10

// record is the stored form of the claim of one key.
type record struct {
	// Attempt is the unique identifier of the attempt that wrote the claim.
	Attempt string `json:"attempt"`
	// Entry is the instance that made the attempt, for operators.
	Entry string `json:"entry"`
	// Fingerprint is a digest of the request. All requests with the key must have
	// the same fingerprint.
	Fingerprint string   `json:"print"`
	State       State    `json:"state"`
	Outcome     *Outcome `json:"outcome,omitempty"`
}

func (r record) encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic("claimer: cannot encode record")
	}
	return b
}

func decode(data []byte) (record, error) {
	var r record
	err := json.Unmarshal(data, &r)
	return r, errors.Annotate(err, "claim")
}

// Prefix is the path prefix of claims in the store.
const Prefix = "/claims"

// Path returns the store path of the claim for a key of the service.
func Path(service, key string) string {
	d := sha256.Sum256([]byte(service + "\x00" + key))
	return Prefix + service + "/" + hex.EncodeToString(d[:])
}

// Fingerprint returns the fingerprint of a request: a digest of its method, URI
// and body.
func Fingerprint(method, uri string, body []byte) string {
	h := sha256.New()
	for _, s := range []string{method, uri} {
		_, _ = h.Write([]byte(s))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}
