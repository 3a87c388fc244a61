package reporter

import (
	"context"
	"log/slog"
	"sync/atomic"

	"golang.org/x/time/rate"

	"poplarwind/forwarder"
)

const (
	// badLines and goodLines bound the lines about requests, a second: all
	// requests that failed or were refused while there are few, and samples
	// of those that were served.
	badLines  = 40
	goodLines = 1
)

// Recorder logs how requests ended, within a budget of lines.
type Recorder struct {
	log       *slog.Logger
	bad, good *rate.Limiter
	// skipped counts requests without a line of their own.
	skipped atomic.Int64
}

// NewRecorder returns a recorder that logs to log.
func NewRecorder(log *slog.Logger) *Recorder {
	return &Recorder{log: log, bad: rate.NewLimiter(badLines, badLines), good: rate.NewLimiter(goodLines, goodLines)}
}

// Record logs how one request ended.
func (r *Recorder) Record(v *forwarder.Record) {
	budget, level, text := r.good, slog.LevelInfo, "request served"
	switch {
	case v.Cause != "":
		budget, level, text = r.bad, slog.LevelWarn, "request not served"
	case v.Status >= 500:
		budget, level, text = r.bad, slog.LevelWarn, "request failed at its upstream"
	}
	if !budget.Allow() {
		r.skipped.Add(1)
		return
	}
	attrs := []any{
		"request", v.ID, "route", v.Route, "service", v.Service, "status", v.Status, "version", v.Version,
		"upstreams", v.Upstreams, "took_ms", v.Took.Milliseconds(), "waited_ms", v.Waited.Milliseconds(), "left_ms", v.Left.Milliseconds(),
	}
	if v.Cause != "" {
		attrs = append(attrs, "cause", v.Cause, "retry_after_ms", v.RetryAfter.Milliseconds())
	}
	for _, l := range v.Loads {
		attrs = append(attrs, slog.Group("load", "own", l.Own, "running", l.Running, "waiting", l.Waiting, "slowness", l.Slowness, "age_ms", l.Age.Milliseconds()))
	}
	if n := r.skipped.Swap(0); n > 0 {
		attrs = append(attrs, "skipped", n)
	}
	r.log.Log(context.Background(), level, text, attrs...)
}
