// Package signer signs and verifies messages between entries with an HMAC by a
// shared secret.
package signer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
)

// SignatureHeader is the name of the header that contains the signature.
const SignatureHeader = "Poplar-Seal"

// NonceHeader is the name of the header that binds a response to its request.
const NonceHeader = "Poplar-Nonce"

// Sign returns the HMAC-SHA256 signature of the parts, in hexadecimal. Each part
// is preceded by its length, so that moving a byte from one part to the next
// changes the signature.
func Sign(secret []byte, parts ...[]byte) string {
	mac := hmac.New(sha256.New, secret)
	for _, p := range parts {
		var length [8]byte
		for i := range length {
			length[i] = byte(len(p) >> (8 * i))
		}
		mac.Write(length[:])
		mac.Write(p)
	}
	return hex.EncodeToString(mac.Sum(nil))
}

// Verify reports whether signature is the signature of the parts. The comparison
// takes constant time.
func Verify(secret []byte, signature string, parts ...[]byte) bool {
	return hmac.Equal([]byte(signature), []byte(Sign(secret, parts...)))
}
