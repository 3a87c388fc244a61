package quarantiner

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"

	"github.com/juju/errors"
)

// Fingerprint identifies requests that are the same to an upstream: copies of one
// request, however often and by whichever entry they are sent.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request that consists of the parts, which
// must be given in the same order for all requests.
func FingerprintOf(parts ...[]byte) Fingerprint { return fingerprint(hashOf(parts)) }

// Content is the content of a message.
type Content interface {
	// Len returns the size in bytes.
	Len() int
	// WriteTo writes the content. It fails only if w does.
	io.WriterTo
}

// FingerprintOfMessage returns the fingerprint of a request whose last part is its content.
// It is that of FingerprintOf for the same parts.
func FingerprintOfMessage(content Content, parts ...[]byte) Fingerprint {
	h := hashOf(parts)
	writeLength(h, content.Len())
	// A hash accepts all.
	_, _ = content.WriteTo(h)
	return fingerprint(h)
}

func hashOf(parts [][]byte) hash.Hash {
	h := sha256.New()
	for _, p := range parts {
		writeLength(h, len(p))
		h.Write(p)
	}
	return h
}

// writeLength writes the length of a part, so that moving a byte from one part to the next
// changes the fingerprint.
func writeLength(h hash.Hash, n int) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(n))
	h.Write(length[:])
}

func fingerprint(h hash.Hash) Fingerprint { return Fingerprint(h.Sum(nil)[:len(Fingerprint{})]) }

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
