package acceptor

import (
	"bytes"
	"log/slog"
	"net"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
)

// exhausted is a listener whose first accepts fail for want of descriptors. It is closed
// after one connection.
type exhausted struct {
	failures, accepts int
}

func (l *exhausted) Accept() (net.Conn, error) {
	l.accepts++
	switch {
	case l.accepts <= l.failures:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	case l.accepts == l.failures+1:
		c, _ := net.Pipe()
		return c, nil
	}
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: net.ErrClosed}
}

func (l *exhausted) Close() error   { return nil }
func (l *exhausted) Addr() net.Addr { return &net.TCPAddr{} }

// TestAcceptWithoutDescriptors fails accepts for 3 s. The listener must go on, log a line a
// second, ask for descriptors each time, and end when it is closed.
func TestAcceptWithoutDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		released := 0
		const failures = 300
		l := Listener{Listener: &exhausted{failures: failures}, Log: slog.New(slog.NewTextHandler(&log, nil)), Release: func() { released++ }}
		start := time.Now()
		c, err := l.Accept()
		if err != nil {
			t.Fatalf("got: %v want: a connection", err)
		}
		_ = c.Close()
		if n := strings.Count(log.String(), "\n"); n < 1 || n > 1+int(time.Since(start)/logInterval) {
			t.Errorf("got: %d log lines in %v want: one a second", n, time.Since(start))
		}
		if released != failures || l.Failures() != failures {
			t.Errorf("got: %d calls of Release, %d failures want: %d", released, l.Failures(), failures)
		}
		if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
			t.Errorf("got: %v want: %v", err, net.ErrClosed)
		}
	})
}
