package runner

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/juju/errors"

	"poplarwind/announcer"
	"poplarwind/forwarder"
	"poplarwind/internal/sleeper"
	"poplarwind/placer"
	"poplarwind/resolver"
)

// pathLimits is the path of messages with rate limits of upstreams.
const pathLimits = "/peer/limits"

const (
	// limitReportInterval is how often an entry checks for rate limits that it has to
	// report to others.
	limitReportInterval = 200 * time.Millisecond
	// maxLimitReports bounds the reports in one message.
	maxLimitReports = 4096
)

// limitMessage is a message with rate limits of upstreams.
type limitMessage struct {
	From    string                  `json:"from"`
	Reports []forwarder.LimitReport `json:"limits"`
	// Warmups says which upstreams are cold. Only entries with warm-up rates in their
	// configuration send it, in messages without rate limits.
	Warmups []forwarder.WarmupReport `json:"warmups,omitempty"`
}

// limitFraction returns the fraction of the rate limit of an upstream that the entry
// named self may use: equal fractions for its owners, and none for other entries.
func (s *membership) limitFraction(self string, u placer.Spec, rate float64) float64 {
	owners := resolver.LimitOwners(u.ID, u.Domain, s.assignedAll(u.Service), rate)
	if !slices.ContainsFunc(owners, func(m announcer.Member) bool { return m.Name == self }) {
		return 0
	}
	return 1 / float64(len(owners))
}

const (
	// warmupSettleTime is the time after its start in which an entry sends nothing to cold
	// upstreams. Entries that were all restarted do not know each other yet, and each of
	// them would take the warm-up rate for its own.
	warmupSettleTime = 2500 * time.Millisecond
	// warmupOwnerRatio is the number of owners of a warm-up rate for each request per second of
	// it. Each owner may add a request to any second: half of the rate leaves most of what
	// the rate may be exceeded by to entries that disagree on the owners.
	warmupOwnerRatio = 0.5
)

// warmupFraction returns the fraction of the warm-up rate of a cold upstream that the entry named self,
// which was started uptime ago, may use: equal fractions for the owners of the rate, and none for
// other entries. Entries that are cut off from the others have none either: each would take itself for
// the only one.
func (s *membership) warmupFraction(self string, u placer.Spec, rate float64, uptime time.Duration) float64 {
	if uptime < warmupSettleTime || s.isMinority() {
		return 0
	}
	return s.limitFraction(self, u, warmupOwnerRatio*rate)
}

// limitRecipients returns the entries to send a report to.
func (s *membership) limitRecipients(r forwarder.LimitReport) []announcer.Member {
	if r.ToAll {
		return s.all
	}
	return s.assignedAll(r.Service)
}

// limitGroup identifies reports with the same recipients.
type limitGroup struct {
	service string
	toAll   bool
}

// reportLimits reports the rate limits that upstreams state in their responses to this
// entry to other entries.
func (g *Gateway) reportLimits(ctx context.Context) error {
	for ctx.Err() == nil {
		reports := g.forwarder.TakeLimitReports()
		groups := make(map[limitGroup][]forwarder.LimitReport)
		for _, r := range reports {
			k := limitGroup{service: r.Service, toAll: r.ToAll}
			groups[k] = append(groups[k], r)
		}
		for _, list := range groups {
			for part := range slices.Chunk(list, maxLimitReports) {
				g.sendLimits(ctx, part)
			}
		}
		g.reportWarmups(ctx)
		sleeper.Sleep(ctx, limitReportInterval)
	}
	return nil
}

// sendLimits sends reports with the same recipients, of which there is at least one.
func (g *Gateway) sendLimits(ctx context.Context, reports []forwarder.LimitReport) {
	message, err := announcer.Pack(limitMessage{From: g.process.Name(), Reports: reports})
	if err != nil {
		g.log.Error("rate limits can't be encoded", "service", reports[0].Service, "error", err.Error())
		return
	}
	g.broadcast(ctx, g.membership().limitRecipients(reports[0]), pathLimits, message)
}

// reportWarmups reports the upstreams that have become cold, or have ceased to be, to the entries that
// their services are assigned to.
func (g *Gateway) reportWarmups(ctx context.Context) {
	services := make(map[string][]forwarder.WarmupReport)
	for _, r := range g.forwarder.TakeWarmupReports() {
		services[r.Service] = append(services[r.Service], r)
	}
	for service, list := range services {
		for part := range slices.Chunk(list, maxLimitReports) {
			message, err := announcer.Pack(limitMessage{From: g.process.Name(), Reports: []forwarder.LimitReport{}, Warmups: part})
			if err != nil {
				g.log.Error("warm-ups can't be encoded", "service", service, "error", err.Error())
				continue
			}
			g.broadcast(ctx, g.membership().assignedAll(service), pathLimits, message)
		}
	}
}

// receiveLimits applies a message with rate limits. A malformed one has no effect; the
// error then satisfies errors.Is(err, errors.NotValid).
func (g *Gateway) receiveLimits(body []byte) (any, error) {
	var m limitMessage
	if err := json.Unmarshal(body, &m); err != nil {
		return nil, errors.WithType(err, errors.NotValid)
	}
	if len(m.Reports) > maxLimitReports || len(m.Warmups) > maxLimitReports {
		return nil, errors.NotValidf("%d rate limits, %d warm-ups", len(m.Reports), len(m.Warmups))
	}
	if err := g.forwarder.ApplyWarmupReports(m.From, m.Warmups); err != nil {
		return nil, errors.Trace(err)
	}
	return struct{}{}, errors.Trace(g.forwarder.ApplyLimitReports(m.From, m.Reports))
}
