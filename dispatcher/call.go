package dispatcher

import (
	"time"

	"github.com/juju/errors"

	"poplarwind/limiter"
	"poplarwind/parser"
)

const (
	// ErrFull reports that too many calls wait already.
	ErrFull = errors.ConstError("too many calls wait")
	// ErrLate reports that the deadline can't be met.
	ErrLate = errors.ConstError("deadline can't be met")
)

// maxAttempts bounds the attempts of one call.
const maxAttempts = 3

//go:generate go tool stringer -type=Kind,Result -linecomment -output=enum_string.go

// Kind says why an attempt is made.
type Kind int

// The kinds of attempt.
const (
	First Kind = iota // first
	Retry             // retry
	Hedge             // hedge
)

// Result says how an attempt ended.
type Result int

// The results of an attempt.
const (
	// Answered means a whole answer that tells of no fault of the server.
	Answered Result = iota // answered
	// Failed means an answer that tells of a fault, or none at all.
	Failed // failed
	// Shed means that the server refused for lack of slots.
	Shed // shed
	// Dropped means that this entry gave the attempt up.
	Dropped // dropped
)

// Attempt is one sending of a call to one server.
type Attempt struct {
	call   *Call
	server *Server
	kind   Kind
	start  time.Time
	// typical is the average latency of the call's class when it started.
	typical time.Duration
	// node is linked into the server's running list until Finish.
	node limiter.Node[*Attempt]
}

// Call returns the call that the attempt is for.
func (a *Attempt) Call() *Call { return a.call }

// Server returns where the attempt goes.
func (a *Attempt) Server() *Server { return a.server }

// Kind returns why the attempt is made.
func (a *Attempt) Kind() Kind { return a.kind }

// overdue reports whether the attempt takes far longer than its class does.
func (a *Attempt) overdue(now time.Time) bool {
	return a.typical > 0 && now.Sub(a.start) > suspectFactor*a.typical
}

// Call is one call as the dispatcher sees it. Its owner allocates it and
// may use it again once no attempt of it is in flight.
type Call struct {
	// Tag is the owner's.
	Tag any

	class    parser.Class
	deadline time.Time
	repeat   bool
	// attempts[:tries] were ordered so far, each to another server.
	attempts [maxAttempts]Attempt
	tries    int
	// node is linked into a queue while the call waits for a server.
	node limiter.Node[*Call]
	// want is the kind of attempt that the call waits for.
	want Kind
}

// Reset makes the call new. Repeat says that it may run more than once. It
// panics if the call waits.
func (c *Call) Reset(class parser.Class, deadline time.Time, repeat bool) {
	if c.node.Linked() {
		panic("dispatcher: reset of a waiting call")
	}
	c.class, c.deadline, c.repeat = class, deadline, repeat
	c.tries, c.want = 0, First
	c.node.Value = c
}

// Tries returns how many attempts were ordered.
func (c *Call) Tries() int { return c.tries }

// Waiting reports whether the call waits for a server.
func (c *Call) Waiting() bool { return c.node.Linked() }

func (c *Call) tried(s *Server) bool {
	for i := range c.tries {
		if c.attempts[i].server == s {
			return true
		}
	}
	return false
}

// Order is what the owner is to do next.
type Order struct {
	call    *Call
	attempt *Attempt
	err     error
}

// Call returns the call that the order is about.
func (o Order) Call() *Call { return o.call }

// Attempt returns the attempt to make, nil if the call is refused.
func (o Order) Attempt() *Attempt { return o.attempt }

// Err returns why the call, or its hedge or retry, is not sent, or nil.
func (o Order) Err() error { return o.err }
