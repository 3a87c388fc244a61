package reporter

import (
	"testing"

	"poplarwind/forwarder"
)

// TestRequestMetricsBounded records requests of customers with ever other ranks. It guards against
// metrics, and attribute sets in memory, that grow with what a configuration states.
func TestRequestMetricsBounded(t *testing.T) {
	g, err := NewGateway(GatewaySources{})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 1000 {
		g.Observe(&forwarder.Record{Route: "r", Service: "s", Rank: i - 500, Status: 200})
	}
	if len(g.options) != maxRankLabel+2 {
		t.Errorf("got: %d attribute sets want: %d", len(g.options), maxRankLabel+2)
	}
}
