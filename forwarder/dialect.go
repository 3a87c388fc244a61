package forwarder

import (
	"time"

	"github.com/valyala/fasthttp"

	"poplarwind/placer"
)

// Dialect is the headers that callers and upstreams speak.
type Dialect interface {
	// ID returns the request's own ID, empty if it has none.
	ID(h *fasthttp.RequestHeader) []byte
	// Wait returns how long the caller waits, false if it does not say.
	Wait(h *fasthttp.RequestHeader) (time.Duration, bool)
	// Address addresses a request to one upstream, with what is left of its
	// time.
	Address(h *fasthttp.RequestHeader, upstream string, left time.Duration)
	// Read returns what an upstream's answer, received now, says beside its
	// body.
	Read(h *fasthttp.ResponseHeader, now time.Time) Facts
}

// Facts are what an upstream's answer says beside its body.
type Facts struct {
	// ID is that of the request that the answer is to, empty if untold. It is
	// valid until the answer is released.
	ID []byte
	// Instance is the ID of the upstream that answered, empty if untold.
	Instance string
	// Stamped says that the answer is to a request that ran.
	Stamped bool
	// NotRun says that the request did not run and never will.
	NotRun bool
	// Misdirected says that another upstream has the address.
	Misdirected bool
	// Load is the upstream's load, if HasLoad.
	Load    placer.Report
	HasLoad bool
}
