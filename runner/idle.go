package runner

import (
	"net"
	"time"
)

// idleListener applies the idle timeout of the configuration in force to its
// connections. The configuration may change while they are open.
type idleListener struct {
	net.Listener
	// timeout returns the configured idle timeout, 0 if none is set.
	timeout func() time.Duration
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
	return &idleConn{TCPConn: tcp, timeout: l.timeout}, nil
}

// idleConn is a connection of an idleListener.
type idleConn struct {
	*net.TCPConn
	timeout func() time.Duration
}

// idleThreshold separates read deadlines for the next request from those within a
// request, which are shorter.
const idleThreshold = gatewayIdleTimeout / 2

// SetReadDeadline implements net.Conn. A deadline for the next request is replaced
// by the configured idle timeout.
func (c *idleConn) SetReadDeadline(t time.Time) error {
	if now := time.Now(); t.Sub(now) > idleThreshold {
		if d := c.timeout(); d > 0 {
			t = now.Add(d)
		}
	}
	return c.TCPConn.SetReadDeadline(t)
}
