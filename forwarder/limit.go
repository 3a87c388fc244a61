package forwarder

import (
	"time"

	"poplarwind/placer"
)

//go:generate go tool stringer -type=limitSource -linecomment -output=limitsource_string.go

// limitSource is where a rate limit of an upstream was learned from.
type limitSource int

// The sources of rate limits.
const (
	sourceRequest limitSource = iota // request
	sourceProbe                      // probe
)

// recordLimit records what a response states about the rate limit of the upstream.
// A load probe's response without a limit says nothing: upstreams may state it only
// in responses to requests. The same holds for a request that did not run. The lock
// of the service must be held.
func (x *exchange) recordLimit(u *placer.Upstream, info ResponseInfo, sentAt time.Time, source limitSource) {
	log := x.forwarder.options.Log
	if info.LimitMalformed {
		log.Warn("rate limit of upstream can't be parsed", "upstream", u.ID(), "service", x.service.name, "source", source.String())
		return
	}
	limit := placer.RateLimit{Rate: info.RateLimit, Limited: info.Limited, At: time.Now()}
	if !info.Limited {
		if source == sourceProbe || info.NotRun {
			return
		}
		limit.At = sentAt
	}
	old := u.RateLimit()
	if x.service.fleet.RecordLimit(u, limit) {
		log.Info("rate limit of upstream changed", "upstream", u.ID(), "service", x.service.name, "limited", limit.Limited, "rate", limit.Rate, "was", old.Rate, "source", source.String(), "request", string(info.ID))
	}
}
