package reporter

import (
	"context"
	"strconv"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"poplarwind/forwarder"
)

// maxRankLabel is the greatest rank with a value of its own in the attribute of metrics. Customers may
// have any number as rank.
const maxRankLabel = 9

// otherLabel is the value of an attribute for all that have none of their own.
const otherLabel = "other"

// queueMetrics counts the waits in the admission queue and the rejections.
type queueMetrics struct {
	waits      metric.Float64Histogram
	rejections metric.Int64Counter
	// ranks holds the attributes of waits by rank, and rejected those of rejections by rank and
	// cause, so that they are not built again for each request.
	ranks    map[string]metric.MeasurementOption
	rejected map[[2]string]metric.MeasurementOption
}

func newQueueMetrics(meter metric.Meter) (*queueMetrics, error) {
	m := &queueMetrics{ranks: make(map[string]metric.MeasurementOption), rejected: make(map[[2]string]metric.MeasurementOption)}
	var err error
	m.waits, err = meter.Float64Histogram("poplarwind.queue.wait", metric.WithUnit("s"),
		metric.WithDescription("Time from a request's arrival until it last left the admission queue, of those that were in it, by rank."), metric.WithExplicitBucketBoundaries(latencyBuckets...))
	if err != nil {
		return nil, errors.Trace(err)
	}
	m.rejections, err = meter.Int64Counter("poplarwind.rejections", metric.WithDescription("Requests that the entry rejected, by rank and cause."))
	if err != nil {
		return nil, errors.Trace(err)
	}
	ranks := []string{otherLabel}
	for i := range maxRankLabel + 1 {
		ranks = append(ranks, strconv.Itoa(i))
	}
	for _, rank := range ranks {
		m.ranks[rank] = metric.WithAttributeSet(attribute.NewSet(attribute.String("rank", rank)))
		for _, cause := range append(forwarder.RejectionCauses(), otherLabel) {
			m.rejected[[2]string{rank, cause}] = metric.WithAttributeSet(attribute.NewSet(attribute.String("rank", rank), attribute.String("cause", cause)))
		}
	}
	return m, nil
}

// rankLabel returns the value of the attribute for the rank of a request. One without a route has no
// rank.
func rankLabel(r *forwarder.Record) string {
	if r.Route == "" {
		return otherLabel
	}
	return boundedRank(r.Rank)
}

// boundedRank returns the value of the attribute for a rank.
func boundedRank(rank int) string {
	if rank < 0 || rank > maxRankLabel {
		return otherLabel
	}
	return strconv.Itoa(rank)
}

// observe records one request.
func (m *queueMetrics) observe(r *forwarder.Record) {
	rank := rankLabel(r)
	if r.QueueTime > 0 {
		m.waits.Record(context.Background(), r.QueueTime.Seconds(), m.ranks[rank])
	}
	// A request with one of these statuses may have run.
	if r.Cause == "" || r.Status == fasthttp.StatusBadGateway || r.Status == fasthttp.StatusGatewayTimeout {
		return
	}
	option, ok := m.rejected[[2]string{rank, r.Cause}]
	if !ok {
		option = m.rejected[[2]string{rank, otherLabel}]
	}
	m.rejections.Add(context.Background(), 1, option)
}
