package runner

import (
	"net"
	"time"
)

// idleListener bounds how long connections may be kept without a request by
// the configuration in force, which may change while they are open.
type idleListener struct {
	net.Listener
	// bound returns the time that the configuration allows, 0 if it says none.
	bound func() time.Duration
}

// Accept implements net.Listener.
func (l idleListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	return &idleConn{TCPConn: tcp, bound: l.bound}, nil
}

// idleConn is a connection of an idleListener.
type idleConn struct {
	*net.TCPConn
	bound func() time.Duration
}

// idleFrom is the wait from which the server's read deadline is one for the
// next request: those within a request are shorter.
const idleFrom = gatewayIdle / 2

// SetReadDeadline implements net.Conn. A wait for the next request is as long
// as the configuration says.
func (c *idleConn) SetReadDeadline(t time.Time) error {
	if now := time.Now(); t.Sub(now) > idleFrom {
		if d := c.bound(); d > 0 {
			t = now.Add(d)
		}
	}
	return c.TCPConn.SetReadDeadline(t)
}
