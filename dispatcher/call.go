package dispatcher

import (
	"time"

	"github.com/juju/errors"

	"poplarwind/limiter"
	"poplarwind/parser"
)

const (
	// ErrFull reports that the queue is full.
	ErrFull = errors.ConstError("too many calls wait")
	// ErrLate reports that the deadline cannot be met.
	ErrLate = errors.ConstError("deadline can't be met")
)

// maxAttempts is the maximum number of attempts of one call.
const maxAttempts = 3

//go:generate go tool stringer -type=Kind,Result -linecomment -output=enum_string.go

// Kind is the reason for an attempt.
type Kind int

// The kinds of attempt.
const (
	First Kind = iota // first
	Retry             // retry
	Hedge             // hedge
)

// Result is the outcome of an attempt.
type Result int

// The results of an attempt.
const (
	// Completed means a complete response that indicates no server fault.
	Completed Result = iota // answered
	// Failed means a response that indicates a server fault, or no complete
	// response.
	Failed // failed
	// Shed means that the server rejected the call because it had no free slot.
	Shed // shed
	// Canceled means that this entry canceled the attempt.
	Canceled // dropped
)

// Attempt is one transmission of a call to one server.
type Attempt struct {
	call   *Call
	server *Server
	kind   Kind
	start  time.Time
	// meanLatency is the average latency of the call's class at the start of
	// the attempt.
	meanLatency time.Duration
	// node is linked into the server's running list until Finish.
	node limiter.Node[*Attempt]
}

// Call returns the call that the attempt is for.
func (a *Attempt) Call() *Call { return a.call }

// Server returns the server that the attempt is sent to.
func (a *Attempt) Server() *Server { return a.server }

// Kind returns the reason for the attempt.
func (a *Attempt) Kind() Kind { return a.kind }

// overdue reports whether the attempt has been running for more than
// suspectFactor times the average latency of its class.
func (a *Attempt) overdue(now time.Time) bool {
	return a.meanLatency > 0 && now.Sub(a.start) > suspectFactor*a.meanLatency
}

// Call is the dispatcher's state of one call. The owner allocates it and may
// reuse it when none of its attempts is in flight.
type Call struct {
	// Tag is for use by the owner.
	Tag any

	class      parser.Class
	deadline   time.Time
	repeatable bool
	// attempts[:numAttempts] are the attempts ordered so far, each to a different
	// server.
	attempts    [maxAttempts]Attempt
	numAttempts int
	// node is linked into a queue while the call waits for a server.
	node limiter.Node[*Call]
	// nextKind is the kind of the attempt that the call waits for.
	nextKind Kind
}

// Reset initializes the call for a new request. repeatable indicates that the
// call may be executed more than once. Reset panics if the call is waiting.
func (c *Call) Reset(class parser.Class, deadline time.Time, repeatable bool) {
	if c.node.Linked() {
		panic("dispatcher: reset of a waiting call")
	}
	c.class, c.deadline, c.repeatable = class, deadline, repeatable
	c.numAttempts, c.nextKind = 0, First
	c.node.Value = c
}

// Attempts returns the number of attempts ordered so far.
func (c *Call) Attempts() int { return c.numAttempts }

// Waiting reports whether the call waits for a server.
func (c *Call) Waiting() bool { return c.node.Linked() }

func (c *Call) tried(s *Server) bool {
	for i := range c.numAttempts {
		if c.attempts[i].server == s {
			return true
		}
	}
	return false
}

// Order is the next action that the owner must execute.
type Order struct {
	call    *Call
	attempt *Attempt
	err     error
}

// Call returns the call that the order applies to.
func (o Order) Call() *Call { return o.call }

// Attempt returns the attempt to start, or nil if the call is rejected.
func (o Order) Attempt() *Attempt { return o.attempt }

// Err returns the reason that the call or its retry is rejected, or nil.
func (o Order) Err() error { return o.err }
