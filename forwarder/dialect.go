package forwarder

import (
	"time"

	"github.com/valyala/fasthttp"

	"poplarwind/placer"
)

// Dialect reads and writes the protocol headers of callers and upstreams.
type Dialect interface {
	// ID returns the ID of a request, empty if it has none.
	ID(h *fasthttp.RequestHeader) []byte
	// CallerTimeout returns the caller's timeout, false if the request
	// specifies none.
	CallerTimeout(h *fasthttp.RequestHeader) (time.Duration, bool)
	// SetTarget addresses a request to one upstream and sets the time left until
	// its deadline.
	SetTarget(h *fasthttp.RequestHeader, upstream string, left time.Duration)
	// SetTimeout sets the time left until the deadline of a request that is sent to
	// another entry.
	SetTimeout(h *fasthttp.RequestHeader, left time.Duration)
	// Key returns the key of a customer that a request bears, and the number of its headers with
	// keys. The key is valid until the header is changed.
	Key(h *fasthttp.RequestHeader) (key []byte, count int)
	// SetCustomer removes the keys and the names of customers from a request and sets a
	// name, unless it is empty.
	SetCustomer(h *fasthttp.RequestHeader, name string)
	// SetKey removes the keys and the names of customers from a request that is sent to another
	// entry and sets a key, unless it is empty.
	SetKey(h *fasthttp.RequestHeader, key []byte)
	// ParseResponse parses the protocol headers of an upstream's response,
	// received at now.
	ParseResponse(h *fasthttp.ResponseHeader, now time.Time) ResponseInfo
}

// ResponseInfo is the protocol metadata of an upstream's response.
type ResponseInfo struct {
	// ID is the ID of the request that the response belongs to, empty if
	// absent. It is valid until the response is released.
	ID []byte
	// Instance is the ID of the upstream that responded, empty if absent.
	Instance string
	// Stamped reports whether the response marks the request as run.
	Stamped bool
	// NotRun reports whether the request did not run and never will.
	NotRun bool
	// Misdirected reports whether the address belongs to another upstream.
	Misdirected bool
	// Load is the load of the upstream, valid if HasLoad is set.
	Load    placer.Report
	HasLoad bool
	// RateLimit is the rate of requests per second that the upstream accepts from
	// all entries together, valid if Limited is set. LimitMalformed reports that the
	// response states a limit that can't be parsed.
	RateLimit               float64
	Limited, LimitMalformed bool
	// Leaving reports that the upstream says that it leaves.
	Leaving bool
	// Pause is the time for which the upstream asks this entry to send it no requests,
	// 0 if it asks for none. PauseError reports that it asks for one that can't be
	// parsed.
	Pause      time.Duration
	PauseError error
	// Warmup is how much longer the upstream is cold, 0 if it is not. WarmupError reports a
	// statement of it that can't be parsed.
	Warmup      time.Duration
	WarmupError error
	// WarmupStated is set by the forwarder if the response says whether the upstream is cold: it
	// states a warm-up, or is that to a load probe and states none.
	WarmupStated bool
}
