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
	// limitReportTimeout bounds the wait for the response to a report.
	limitReportTimeout = 500 * time.Millisecond
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

// reportLimits reports the rate limits that upstreams state in their responses to this
// entry, to the other entries assigned to the service.
func (g *Gateway) reportLimits(ctx context.Context) error {
	for ctx.Err() == nil {
		reports := g.forwarder.TakeLimitReports()
		byService := make(map[string][]forwarder.LimitReport)
		for _, r := range reports {
			byService[r.Service] = append(byService[r.Service], r)
		}
		for service, list := range byService {
			for part := range slices.Chunk(list, maxLimitReports) {
				g.sendLimits(ctx, service, part)
			}
		}
		sleeper.Sleep(ctx, limitReportInterval)
	}
	return nil
}

func (g *Gateway) sendLimits(ctx context.Context, service string, reports []forwarder.LimitReport) {
	message, err := announcer.Pack(limitMessage{From: g.process.Name(), Reports: reports})
	if err != nil {
		g.log.Error("rate limits can't be encoded", "service", service, "error", err.Error())
		return
	}
	for _, m := range g.membership().assignedAll(service) {
		if m.Name == g.process.Name() {
			continue
		}
		go func() {
			limited, cancel := context.WithTimeout(ctx, limitReportTimeout)
			defer cancel()
			var none struct{}
			if err := g.announcer.Send(limited, m, pathLimits, message, &none); err != nil {
				g.log.Debug("rate limits not delivered to peer", "to", m.Name, "error", err.Error())
			}
		}()
	}
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

// servePeer handles a message of another entry and returns the reply.
func (g *Gateway) servePeer(ctx context.Context, path string, body []byte) (any, error) {
	if path == pathLimits {
		return g.receiveLimits(body)
	}
	return g.tracker.Serve(ctx, path, body)
}
