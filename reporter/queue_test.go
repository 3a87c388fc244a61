package reporter

import (
	"context"
	"fmt"
	"testing"
	"time"

	sdk "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"

	"poplarwind/forwarder"
)

// TestQueueMetricsBounded records requests of ever other ranks and causes. It guards against metrics
// that grow with what customers and faults state.
func TestQueueMetricsBounded(t *testing.T) {
	reader := sdk.NewManualReader()
	m, err := newQueueMetrics(sdk.NewMeterProvider(sdk.WithReader(reader)).Meter("test"))
	if err != nil {
		t.Fatal(err)
	}
	for i := range 1000 {
		m.observe(&forwarder.Record{Route: "r", Rank: i - 500, Status: 503, Cause: fmt.Sprint("fault ", i), QueueTime: time.Millisecond})
	}
	slot := forwarder.RejectionCauses()[6]
	m.observe(&forwarder.Record{Route: "r", Rank: 1, Status: 503, Cause: slot})
	m.observe(&forwarder.Record{Route: "r", Rank: 1, Status: 502, Cause: slot})
	var data metricdata.ResourceMetrics
	if err := reader.Collect(context.Background(), &data); err != nil {
		t.Fatal(err)
	}
	waits := data.ScopeMetrics[0].Metrics[0].Data.(metricdata.Histogram[float64]).DataPoints
	rejections := data.ScopeMetrics[0].Metrics[1].Data.(metricdata.Sum[int64]).DataPoints
	if len(waits) != maxRankLabel+2 || len(rejections) != maxRankLabel+3 {
		t.Errorf("got: %d, %d series want: %d, %d", len(waits), len(rejections), maxRankLabel+2, maxRankLabel+3)
	}
	for _, p := range rejections {
		if cause, _ := p.Attributes.Value("cause"); cause.AsString() == slot && p.Value != 1 {
			t.Errorf("got: %d rejections with 503 and 502 want: 1", p.Value)
		}
	}
}
