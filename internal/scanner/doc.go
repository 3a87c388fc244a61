// Package scanner checks the heads of HTTP responses before a codec parses them.
//
// fasthttp accepts more than the grammar of RFC 9112: it takes status 000 for 200, field names with
// blanks, and bare line feeds as line ends. A response that the grammar does not allow may come from a
// faulty server, and must not reach a caller as something else.
package scanner
