// Package edge looks at sockets without reading from them.
package edge

import (
	"net"
	"syscall"
)

// State is what a look at a connection found.
type State int

// The states of a connection.
const (
	// Quiet means open with nothing to read.
	Quiet State = iota
	// Readable means open with something to read.
	Readable
	// Closed means that the other side closed or reset it.
	Closed
)

// Probe looks at a TCP connection without waiting and without consuming
// anything. A connection of another kind is Quiet.
func Probe(c net.Conn) State {
	s, ok := c.(syscall.Conn)
	if !ok {
		return Quiet
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
			state = Quiet
		case err == nil && n > 0:
			state = Readable
		}
	})
	if err != nil {
		return Closed
	}
	return state
}
