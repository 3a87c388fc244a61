package runner

import (
	"syscall"

	"github.com/juju/errors"
)

const (
	// fileDescriptors is the number of descriptors of a process that are kept for files,
	// pipes and the runtime.
	fileDescriptors = 200
	// callerFraction is the fraction of the others that callers' connections may use. The
	// rest is for the other listeners and for connections to upstreams, to other entries
	// and to the store.
	callerFraction = 0.75
	// listenerFraction is the fraction of that rest that connections to one of the other
	// listeners may use.
	listenerFraction = 0.125
)

// descriptorLimit returns the number of descriptors that the process may have.
func descriptorLimit() (int, error) {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return 0, errors.Annotate(err, "limit of descriptors")
	}
	return int(min(l.Cur, 1<<30)), nil
}

// connLimits bounds the connections to the listeners of an entry.
type connLimits struct {
	// callers bounds those of callers, and others those to each other listener.
	callers, others int
}

// newConnLimits divides the descriptors of a process. The configured number of callers'
// connections is 0 if the settings leave it to the number of descriptors. The error satisfies
// errors.Is(err, errors.NotValid) if the process can't hold it.
func newConnLimits(descriptors, configured int) (connLimits, error) {
	sockets := max(0, descriptors-fileDescriptors)
	l := connLimits{callers: int(callerFraction * float64(sockets))}
	l.others = min(internalMaxConns, int(listenerFraction*float64(sockets-l.callers)))
	if l.callers < 1 || l.others < 1 {
		return l, errors.NotValidf("limit of descriptors: got: %d want: more than %d:", descriptors, fileDescriptors)
	}
	if configured > l.callers {
		return l, errors.NotValidf("conns: got: %d want: at most %d with %d descriptors:", configured, l.callers, descriptors)
	}
	if configured > 0 {
		l.callers = configured
	}
	return l, nil
}
