// Package scanner checks the heads of HTTP responses before a codec parses them.
//
// fasthttp accepts more than RFC 9112 does: it takes status 000 for 200, field names with blanks, and
// bare line feeds as line ends, and ignores the transfer coding of versions other than HTTP/1.1. A
// response that the RFC does not allow may come from a faulty server, and must not reach a caller as
// something else.
package scanner
