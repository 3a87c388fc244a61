package reporter

import (
	"context"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// total is a metric that is read from the status on each scrape.
type total[T any] struct {
	name, unit, about string
	read              func(T) int64
}

var serviceTotals = []total[ServiceStatus]{
	{"poplarwind.calls", "{call}", "Calls taken in.", func(s ServiceStatus) int64 { return s.Calls }},
	{"poplarwind.refused", "{call}", "Calls refused before they were sent.", func(s ServiceStatus) int64 { return s.Refused }},
	{"poplarwind.retries", "{attempt}", "Attempts after a failed one.", func(s ServiceStatus) int64 { return s.Retries }},
	{"poplarwind.hedges", "{attempt}", "Attempts beside a slow one.", func(s ServiceStatus) int64 { return s.Hedges }},
	{"poplarwind.late", "{call}", "Calls not answered before their deadline.", func(s ServiceStatus) int64 { return s.Late }},
	{"poplarwind.probes", "{probe}", "Probes sent.", func(s ServiceStatus) int64 { return s.Probes.Probes }},
	{"poplarwind.probe.bytes", "By", "Bytes of probes.", func(s ServiceStatus) int64 { return s.Probes.Bytes }},
	{"poplarwind.probe.denied", "{probe}", "Probes that the budget denied.", func(s ServiceStatus) int64 { return s.Probes.Denied }},
}

var entryTotals = []total[Status]{
	{"poplarwind.store.calls", "{call}", "Calls on the platform's store.", func(s Status) int64 { return s.Store.Calls }},
	{"poplarwind.store.writes", "{call}", "Writes among them.", func(s Status) int64 { return s.Store.Writes }},
	{"poplarwind.peer.sent", "By", "Bytes sent to other entries.", func(s Status) int64 { return s.Peers.Sent }},
	{"poplarwind.peer.received", "By", "Bytes received from other entries.", func(s Status) int64 { return s.Peers.Received }},
	{"poplarwind.claims.granted", "{claim}", "Claims granted.", func(s Status) int64 { return s.Claims.Granted }},
	{"poplarwind.claims.dropped", "{claim}", "Outcomes that could not be written.", func(s Status) int64 { return s.Claims.Dropped }},
}

// counters makes a counter for each total, in order.
func counters[T any](m metric.Meter, totals []total[T]) ([]metric.Int64ObservableCounter, error) {
	out := make([]metric.Int64ObservableCounter, 0, len(totals))
	for _, t := range totals {
		c, err := m.Int64ObservableCounter(t.name, metric.WithUnit(t.unit), metric.WithDescription(t.about))
		if err != nil {
			return nil, errors.Annotate(err, t.name)
		}
		out = append(out, c)
	}
	return out, nil
}

// Follow makes the metrics read totals from the reporter, whose status is
// worked out once for each scrape.
func (m *Metrics) Follow(r *Reporter) error {
	services, err := counters(m.meter, serviceTotals)
	if err != nil {
		return err
	}
	entry, err := counters(m.meter, entryTotals)
	if err != nil {
		return err
	}
	observed := make([]metric.Observable, 0, len(services)+len(entry))
	for _, c := range append(services, entry...) {
		observed = append(observed, c)
	}
	_, err = m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		status := r.Status()
		for i, t := range entryTotals {
			o.ObserveInt64(entry[i], t.read(status))
		}
		for _, s := range status.Services {
			label := metric.WithAttributes(attribute.String("service", s.Path))
			for i, t := range serviceTotals {
				o.ObserveInt64(services[i], t.read(s), label)
			}
		}
		return nil
	}, observed...)
	return errors.Trace(err)
}
