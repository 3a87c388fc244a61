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

// receiveLimits applies a message with rate limits. A malformed one has no effect; the
// error then satisfies errors.Is(err, errors.NotValid).
func (g *Gateway) receiveLimits(body []byte) (any, error) {
	var m limitMessage
	if err := json.Unmarshal(body, &m); err != nil {
		return nil, errors.WithType(err, errors.NotValid)
	}
	if len(m.Reports) > maxLimitReports {
		return nil, errors.NotValidf("%d rate limits", len(m.Reports))
	}
	return struct{}{}, errors.Trace(g.forwarder.ApplyLimitReports(m.From, m.Reports))
}
