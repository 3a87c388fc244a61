package reporter

import (
	"context"
	"log/slog"
	"math"
	"sync/atomic"

	"golang.org/x/time/rate"

	"poplarwind/forwarder"
)

const (
	// failureLinesPerSecond bounds the log lines about requests that failed or
	// were rejected. All of them are logged while their rate is below it.
	// successLinesPerSecond bounds those about served requests, which are
	// sampled.
	failureLinesPerSecond = 40
	successLinesPerSecond = 1
)

// RequestLogger logs the outcomes of requests at a limited rate.
type RequestLogger struct {
	log                 *slog.Logger
	failures, successes *rate.Limiter
	// skipped counts the requests without a log line since the last line.
	skipped atomic.Int64
}

// NewRequestLogger returns a RequestLogger that writes to log.
func NewRequestLogger(log *slog.Logger) *RequestLogger {
	return &RequestLogger{log: log, failures: rate.NewLimiter(failureLinesPerSecond, failureLinesPerSecond), successes: rate.NewLimiter(successLinesPerSecond, successLinesPerSecond)}
}

// Log logs the outcome of one request, unless the rate limit for its kind of
// outcome is reached. Failures have a limit of their own, so that a flood of
// successes does not suppress their log lines.
func (l *RequestLogger) Log(v *forwarder.Record) {
	limiter, level, msg := l.successes, slog.LevelInfo, "request served"
	switch {
	case v.Cause != "":
		limiter, level, msg = l.failures, slog.LevelWarn, "request not served"
	case v.Status >= 500:
		limiter, level, msg = l.failures, slog.LevelWarn, "request failed at its upstream"
	}
	if !limiter.Allow() {
		l.skipped.Add(1)
		return
	}
	attrs := []any{
		"request", v.ID, "route", v.Route, "service", v.Service, "status", v.Status, "version", v.Version,
		"upstreams", v.Upstreams, "took_ms", v.Duration.Milliseconds(), "waited_ms", v.QueueTime.Milliseconds(), "left_ms", v.TimeLeft.Milliseconds(),
	}
	if v.Cause != "" {
		attrs = append(attrs, "cause", v.Cause, "retry_after_ms", v.RetryAfter.Milliseconds())
	}
	if v.Customer != "" {
		attrs = append(attrs, "customer", v.Customer)
	}
	if d := v.Quota; d != nil {
		attrs = append(attrs, slog.Group("quota", "level", round(d.Level), "portion", round(d.Portion), "fraction", round(d.Fraction), "demand", round(d.Demand), "total", round(d.Total), "isolated", d.Isolated))
	}
	if e := v.Estimate; e != nil {
		attrs = append(attrs, slog.Group("queue", "ahead", e.Ahead, "slots", round(e.Slots), "latency_ms", e.Latency.Milliseconds(), "wait_ms", e.Wait.Milliseconds()))
	}
	if h := v.Hedge; h != nil {
		attrs = append(attrs, slog.Group("hedge", "first", h.First, "second", h.Second, "delay_ms", h.Delay.Milliseconds(), "first_expected_ms", h.FirstExpected.Milliseconds(), "second_expected_ms", h.SecondExpected.Milliseconds(), "outcome", h.Outcome))
	}
	if len(v.RelayedTo) > 0 {
		attrs = append(attrs, "relayed_to", v.RelayedTo)
	}
	if v.Fingerprint != "" {
		attrs = append(attrs, "fingerprint", v.Fingerprint)
	}
	for _, load := range v.Loads {
		attrs = append(attrs, slog.Group("load", "own", load.InFlight, "running", load.Running, "waiting", load.Waiting, "slowness", load.Slowness, "age_ms", load.Age.Milliseconds()))
	}
	if n := l.skipped.Swap(0); n > 0 {
		attrs = append(attrs, "skipped", n)
	}
	l.log.Log(context.Background(), level, msg, attrs...)
}

// round rounds to two decimals.
func round(v float64) float64 { return math.Round(100*v) / 100 }
