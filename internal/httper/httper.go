// Package httper holds what relaying of HTTP messages has in common, whoever
// speaks.
package httper

import "bytes"

// Headers is what requests' and responses' headers have in common.
type Headers interface {
	Peek(key string) []byte
	Del(key string)
	DelBytes(key []byte)
}

// connectionHeaders are about one connection and never passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// Strip removes headers about one connection, and those that the Connection
// header names.
func Strip(h Headers) {
	if v := h.Peek("Connection"); len(v) > 0 {
		for name := range bytes.SplitSeq(bytes.Clone(v), []byte(",")) {
			name = bytes.TrimSpace(name)
			if !bytes.EqualFold(name, []byte("close")) && !bytes.EqualFold(name, []byte("keep-alive")) {
				h.DelBytes(name)
			}
		}
	}
	for _, name := range connectionHeaders {
		h.Del(name)
	}
}
