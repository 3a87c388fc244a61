// Package sealer signs and verifies messages between entries with a shared
// secret.
package sealer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
)

// Header is the name of the header that carries a seal.
const Header = "Poplar-Seal"

// Nonce is the name of the header that ties an answer to its request.
const Nonce = "Poplar-Nonce"

// Seal returns the seal of the parts, in hexadecimal. The parts are separated
// in the digest, so that moving a byte from one part to the next changes it.
func Seal(secret []byte, parts ...[]byte) string {
	m := hmac.New(sha256.New, secret)
	for _, p := range parts {
		var n [8]byte
		for i := range n {
			n[i] = byte(len(p) >> (8 * i))
		}
		m.Write(n[:])
		m.Write(p)
	}
	return hex.EncodeToString(m.Sum(nil))
}

// Verify reports in constant time whether seal is the seal of the parts.
func Verify(secret []byte, seal string, parts ...[]byte) bool {
	return hmac.Equal([]byte(seal), []byte(Seal(secret, parts...)))
}
