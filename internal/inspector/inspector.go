// Package inspector reports the state of TCP connections without reading from them.
package inspector

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is the state of a connection.
type State int

// The states of a connection.
const (
	// Idle means that the connection is open and has no data to read.
	Idle State = iota
	// Readable means that the connection is open and has data to read.
	Readable
	// Closed means that the peer closed or reset the connection.
	Closed
)

// Inspect returns the state of a TCP connection. It does not block and consumes no
// data. For connections without access to the socket it returns Idle.
func Inspect(c net.Conn) State {
	s, ok := c.(syscall.Conn)
	if !ok {
		return Idle
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
			state = Idle
		case err == nil && n > 0:
			state = Readable
		}
	})
	if err != nil {
		return Closed
	}
	return state
}

// Open reports whether a connection is known to be open, without unread data. It is not
// known of connections without access to the socket.
func Open(c net.Conn) bool {
	_, ok := c.(syscall.Conn)
	return ok && Inspect(c) == Idle
}

// Disconnected reports whether the peer closed or reset a TCP connection, even
// behind data that has not been read.
func Disconnected(c net.Conn) bool {
	switch Inspect(c) {
	case Closed:
		return true
	case Idle:
		return false
	}
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	hungUp := true
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		hungUp = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err != nil || hungUp
}
