package forwarder

import (
	"hash/maphash"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"poplarwind/limiter"
)

// queuePriority returns the properties that determine the position of the request in the admission
// queue. The lock of the service must be held.
func (x *exchange) queuePriority() limiter.Priority {
	return limiter.Priority{Rank: x.rank(), Due: x.due, Latency: x.serviceTime.Average(), Flow: x.flow}
}

// flowSeed is random, so that callers can't choose addresses whose flows collide with others.
var flowSeed = maphash.MakeSeed()

// flowPrefixBits is the length of the prefix of an IPv6 address that identifies a caller. Hosts
// have all addresses of such a network at their disposal.
const flowPrefixBits = 64

// flowKey identifies a customer, or a caller by its address or by a request that was relayed.
type flowKey struct {
	customer, request string
	caller            netip.Addr
}

// queueFlow returns the flow of the request in the admission queue: that of its customer, or else
// of its caller. The caller's address of a request that is proven to be relayed is that of another entry, which has
// several callers, so that each is a flow of its own.
func (x *exchange) queueFlow() uint64 {
	key := flowKey{caller: x.call.Caller}
	switch {
	case x.customer != nil:
		key = flowKey{customer: x.customer.Name}
	case x.proven:
		key = flowKey{request: x.id}
	case key.caller.Is6():
		if p, err := key.caller.WithZone("").Prefix(flowPrefixBits); err == nil {
			key.caller = p.Addr()
		}
	}
	return maphash.Comparable(flowSeed, key)
}

// loadWeight is the weight of the load in the fraction of slots that an entry can expect. The load
// that others know is some seconds old; with the rest, an entry whose load has just risen does not
// take itself for one without slots.
const loadWeight = 0.8

// slotFraction returns the fraction of the slots of all upstreams that this entry can expect. Slots
// go to the entries that ask for them, so it follows the load where that is known: with equal
// fractions the entry with the most load would reject requests that it has time for. The fractions
// of all assigned entries add up to 1.
func slotFraction(e EntrySet) float64 {
	equal := 1 / float64(max(1, e.Assigned))
	if e.LoadFraction <= 0 {
		return equal
	}
	return loadWeight*e.LoadFraction + (1-loadWeight)*equal
}

// setRetryAfter completes the Retry-After value of a rejection, in whole milliseconds. Those of a
// quota and of a pause have jitter of their own (apportioner, placer).
func (x *exchange) setRetryAfter(cause error) {
	x.retryAfter = max(x.retryAfter, minRetryAfter)
	if !errors.Is(cause, errOverQuota) && !errors.Is(cause, errPaused) {
		x.retryAfter = limiter.RetryAfter(x.retryAfter, rand.Float64())
	}
	x.retryAfter = (x.retryAfter + time.Millisecond - 1).Truncate(time.Millisecond)
}

// WaitEstimate is an estimate of the wait in the admission queue, and what it follows from.
type WaitEstimate struct {
	// Ahead is the number of requests ahead, Slots the number of slots that the entry can expect,
	// and Latency the average latency of requests.
	Ahead         int
	Slots         float64
	Latency, Wait time.Duration
}

// estimateWait estimates the wait of the request with a number of requests ahead of it, and records
// the estimate for the log. The lock of the service must be held.
func (x *exchange) estimateWait(now time.Time, ahead int) time.Duration {
	s := x.service
	x.estimate = WaitEstimate{Ahead: ahead, Slots: s.expectedSlots(now), Latency: s.fleet.AverageLatency(), Wait: s.estimateWait(now, ahead)}
	return x.estimate.Wait
}

// rejectionCauses holds the causes for which this entry rejects requests.
var rejectionCauses = []error{
	errDraining, errNoConfig, errNoRoute, errOverQuota, errNoCustomer, errBodyTooLarge, errNoSlot, errRateLimited, errPaused, errBarred,
	errQuarantined, errCutOff, errNoUpstream, errDisconnected, errTimeout, errNoRetry,
	errNoKey, errNoEvacuations, errEvacuated,
}

// RejectionCauses returns the causes of rejections as in Record.Cause. Metrics have no others as values.
func RejectionCauses() []string {
	out := make([]string, 0, len(rejectionCauses))
	for _, err := range rejectionCauses {
		out = append(out, err.Error())
	}
	return out
}
