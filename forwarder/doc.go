// Package forwarder carries the requests of callers to the upstreams of a
// route's service, and the answers back.
//
// It owns sockets and clock around the decisions of placer, limiter and
// router. A request is admitted, placed on an upstream that was asked for its
// load just before, sent on the connection that the upstream answered on, and
// answered with the upstream's whole answer. What can have run is never told
// that it has not; a request that must not run twice is sent again only after
// proof that it did not run.
package forwarder
