// Package sanitizer removes the headers that a proxy must not forward from HTTP
// requests and responses.
package sanitizer

import "bytes"

// Headers is implemented by the headers of requests and of responses.
type Headers interface {
	Peek(key string) []byte
	Del(key string)
	DelBytes(key []byte)
}

// hopByHopHeaders apply to a single connection and must not be forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// StripHopByHop removes the hop-by-hop headers and those listed in the
// Connection header.
func StripHopByHop(h Headers) {
	if v := h.Peek("Connection"); len(v) > 0 {
		for name := range bytes.SplitSeq(bytes.Clone(v), []byte(",")) {
			name = bytes.TrimSpace(name)
			if !bytes.EqualFold(name, []byte("close")) && !bytes.EqualFold(name, []byte("keep-alive")) {
				h.DelBytes(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}
