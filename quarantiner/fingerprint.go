package quarantiner

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/juju/errors"
)

// Fingerprint identifies requests that are the same to an upstream: copies of one
// request, however often and by whichever entry they are sent.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request that consists of the parts, which
// must be given in the same order for all requests.
func FingerprintOf(parts ...[]byte) Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(p)))
		h.Write(length[:])
		h.Write(p)
	}
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. The error satisfies
// errors.Is(err, errors.NotValid).
func (f *Fingerprint) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	if err != nil || len(b) != len(f) {
		return errors.NotValidf("fingerprint %.40q", text)
	}
	copy(f[:], b)
	return nil
}
