package reporter

import (
	"context"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// counter describes a metric whose value is read from a status at each scrape.
type counter[T any] struct {
	name, unit, description string
	value                   func(T) int64
}

var serviceCounters = []counter[ServiceStatus]{
	{"poplarwind.calls", "{call}", "Calls taken in.", func(s ServiceStatus) int64 { return s.Calls }},
	{"poplarwind.refused", "{call}", "Calls refused before they were sent.", func(s ServiceStatus) int64 { return s.Rejected }},
	{"poplarwind.retries", "{attempt}", "Attempts after a failed one.", func(s ServiceStatus) int64 { return s.Retries }},
	{"poplarwind.hedges", "{attempt}", "Attempts beside a slow one.", func(s ServiceStatus) int64 { return s.Hedges }},
	{"poplarwind.late", "{call}", "Calls not answered before their deadline.", func(s ServiceStatus) int64 { return s.Late }},
	{"poplarwind.probes", "{probe}", "Probes sent.", func(s ServiceStatus) int64 { return s.Probes.Probes }},
	{"poplarwind.probe.bytes", "By", "Bytes of probes.", func(s ServiceStatus) int64 { return s.Probes.Bytes }},
	{"poplarwind.probe.denied", "{probe}", "Probes that the budget denied.", func(s ServiceStatus) int64 { return s.Probes.Denied }},
}

var entryCounters = []counter[Status]{
	{"poplarwind.store.calls", "{call}", "Calls on the platform's store.", func(s Status) int64 { return s.Store.Calls }},
	{"poplarwind.store.writes", "{call}", "Writes among them.", func(s Status) int64 { return s.Store.Writes }},
	{"poplarwind.peer.sent", "By", "Bytes sent to other entries.", func(s Status) int64 { return s.Peers.Sent }},
	{"poplarwind.peer.received", "By", "Bytes received from other entries.", func(s Status) int64 { return s.Peers.Received }},
	{"poplarwind.claims.granted", "{claim}", "Claims granted.", func(s Status) int64 { return s.Claims.Granted }},
	{"poplarwind.claims.dropped", "{claim}", "Outcomes that could not be written.", func(s Status) int64 { return s.Claims.Dropped }},
}

// instruments creates an instrument for each counter, in the same order.
func instruments[T any](m metric.Meter, counters []counter[T]) ([]metric.Int64ObservableCounter, error) {
	out := make([]metric.Int64ObservableCounter, 0, len(counters))
	for _, c := range counters {
		instrument, err := m.Int64ObservableCounter(c.name, metric.WithUnit(c.unit), metric.WithDescription(c.description))
		if err != nil {
			return nil, errors.Annotate(err, c.name)
		}
		out = append(out, instrument)
	}
	return out, nil
}

// RegisterCounters registers the counters that are read from the reporter. Its
// status is computed once per scrape.
func (m *Metrics) RegisterCounters(r *Reporter) error {
	services, err := instruments(m.meter, serviceCounters)
	if err != nil {
		return err
	}
	entry, err := instruments(m.meter, entryCounters)
	if err != nil {
		return err
	}
	observed := make([]metric.Observable, 0, len(services)+len(entry))
	for _, instrument := range append(services, entry...) {
		observed = append(observed, instrument)
	}
	_, err = m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		status := r.Status()
		for i, c := range entryCounters {
			o.ObserveInt64(entry[i], c.value(status))
		}
		for _, s := range status.Services {
			attributes := metric.WithAttributes(attribute.String("service", s.Path))
			for i, c := range serviceCounters {
				o.ObserveInt64(services[i], c.value(s), attributes)
			}
		}
		return nil
	}, observed...)
	return errors.Trace(err)
}
