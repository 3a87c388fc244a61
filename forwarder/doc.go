// Package forwarder forwards callers' requests to the upstreams of a route's
// service and returns the responses.
//
// It adds network I/O and timers to the decisions of placer, limiter and
// router. A request is admitted, placed on an upstream that was usually probed
// for its load just before, sent over the connection that answered the probe,
// and answered with the upstream's complete response. A response never states
// that a request did not run if it may have run. A non-idempotent request is
// sent again only after proof that it did not run.
package forwarder
