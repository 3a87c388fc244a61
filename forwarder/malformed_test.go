package forwarder

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestMalformedResponseUnlogged has an upstream send malformed responses, each of which must be in the
// log with its request and its upstream. None of them makes the entry check whether the upstream crashed.
func TestMalformedResponseUnlogged(t *testing.T) {
	for _, f := range []fault{garbage, zeroStatus, blankInName, emptyLine} {
		t.Run(string(f), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var log bytes.Buffer
				tb := &testbed{runs: map[string]int{}, plan: []fault{f}}
				e := tb.newEntry(t, 1)
				e.options.Log = slog.New(slog.NewJSONHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug}))
				if got := send(e, "/order/1", "r").StatusCode(); got != 502 || tb.runs["r"] != 1 {
					t.Errorf("got: status %d after %d runs want: 502 after 1", got, tb.runs["r"])
				}
				time.Sleep(5 * time.Second)
				tb.close()
				synctest.Wait()
				text := log.String()
				if !strings.Contains(text, `"msg":"response broken off","request":"r","upstream":"u0"`) || !strings.Contains(text, "response is malformed") {
					t.Errorf("got: %s want: the malformed response", text)
				}
				if strings.Contains(text, "upstream gave no response") {
					t.Errorf("got: %s want: no check for a crash", text)
				}
				time.Sleep(2 * time.Minute)
			})
		})
	}
}
