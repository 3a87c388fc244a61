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
