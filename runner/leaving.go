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
)

// pathLeaving is the path of messages with upstreams that say that they leave.
const pathLeaving = "/peer/leaving"

const (
	// leavingReportInterval is how often an entry checks for upstreams that have told it
	// that they leave.
	leavingReportInterval = 100 * time.Millisecond
	// maxLeavingReports bounds the reports in one message.
	maxLeavingReports = 4096
)

// leavingMessage is a message with upstreams that say that they leave.
type leavingMessage struct {
	From    string                    `json:"from"`
	Reports []forwarder.LeavingReport `json:"leaving"`
}

// reportLeaving tells the entries that are assigned to a service of its upstreams that say
// in responses to this entry that they leave.
func (g *Gateway) reportLeaving(ctx context.Context) error {
	for ctx.Err() == nil {
		groups := make(map[string][]forwarder.LeavingReport)
		for _, r := range g.forwarder.TakeLeavingReports() {
			groups[r.Service] = append(groups[r.Service], r)
		}
		for service, list := range groups {
			for part := range slices.Chunk(list, maxLeavingReports) {
				message, err := announcer.Pack(leavingMessage{From: g.process.Name(), Reports: part})
				if err != nil {
					g.log.Error("leaving upstreams can't be encoded", "service", service, "error", err.Error())
					continue
				}
				g.broadcast(ctx, g.membership().assignedAll(service), pathLeaving, message)
			}
		}
		sleeper.Sleep(ctx, leavingReportInterval)
	}
	return nil
}

// receiveLeaving applies a message with upstreams that leave. A malformed one has no effect;
// the error then satisfies errors.Is(err, errors.NotValid).
func (g *Gateway) receiveLeaving(body []byte) (any, error) {
	var m leavingMessage
	if err := json.Unmarshal(body, &m); err != nil {
		return nil, errors.WithType(err, errors.NotValid)
	}
	if len(m.Reports) > maxLeavingReports {
		return nil, errors.NotValidf("%d leaving upstreams", len(m.Reports))
	}
	return struct{}{}, errors.Trace(g.forwarder.ApplyLeavingReports(m.From, m.Reports))
}
