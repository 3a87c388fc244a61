package reporter

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"poplarwind/forwarder"
)

// TestHedgeAttribute checks that the line of a hedged request says what was expected of both attempts
// and which one won: without it, a request that took longer than usual could not be explained.
func TestHedgeAttribute(t *testing.T) {
	var out bytes.Buffer
	r := NewRequestLogger(slog.New(slog.NewJSONHandler(&out, nil)))
	ms := time.Millisecond
	r.Log(&forwarder.Record{ID: "r", Status: 200, Hedge: &forwarder.HedgeRecord{First: "u1", Second: "u2", Delay: 104 * ms, FirstExpected: 50 * ms, SecondExpected: 60 * ms, Outcome: "second won"}})
	const want = `"hedge":{"first":"u1","second":"u2","delay_ms":104,"first_expected_ms":50,"second_expected_ms":60,"outcome":"second won"}`
	if got := out.String(); !strings.Contains(got, want) {
		t.Errorf("got: %s want: a line with %s", got, want)
	}
}

// TestLineRateLimit checks the rate limits of log lines: successes stay within
// their rate and do not suppress failures, and requests without a log line are
// counted.
func TestLineRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		r := NewRequestLogger(slog.New(slog.NewJSONHandler(&out, nil)))
		for range 10 {
			for i := range 500 {
				r.Log(&forwarder.Record{ID: fmt.Sprint(i), Status: 200})
			}
			r.Log(&forwarder.Record{ID: "rejected", Status: 503, Cause: "no upstream has a slot in time"})
			time.Sleep(time.Second)
		}
		text := out.String()
		if got := strings.Count(text, "request not served"); got != 10 {
			t.Errorf("not served: got: %d lines want: 10", got)
		}
		if got := strings.Count(text, "request served"); got < 5 || got > 11 {
			t.Errorf("served: got: %d lines want: about one a second", got)
		}
		if !strings.Contains(text, `"skipped":`) {
			t.Error("got: no skipped attribute want: count of requests without a log line")
		}
	})
}
