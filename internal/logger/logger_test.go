package logger

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// slowWriter takes a second for each line.
type slowWriter struct{ bytes.Buffer }

func (w *slowWriter) Write(line []byte) (int, error) {
	time.Sleep(time.Second)
	return w.Buffer.Write(line)
}

// TestSlowOutput logs faster than the output accepts lines: no write blocks, the
// newest lines are kept, and dropped lines are counted and reported.
func TestSlowOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		out := &slowWriter{}
		w := New(out)
		done := make(chan error)
		go func() { done <- w.Run(ctx) }()
		start := time.Now()
		for i := range 3 * maxLines {
			if _, err := fmt.Fprintf(w, "line %d\n", i); err != nil {
				t.Fatal(err)
			}
		}
		if d := time.Since(start); d > 0 {
			t.Errorf("got: %v for all lines want: no blocking", d)
		}
		time.Sleep(10 * time.Second)
		cancel()
		if err := <-done; err != nil {
			t.Errorf("got: %v want: no error", err)
		}
		text := out.String()
		if !strings.Contains(text, fmt.Sprintf("line %d\n", 3*maxLines-1)) {
			t.Error("got: last line missing want: newest lines kept")
		}
		if n := w.Dropped(); n < maxLines || !strings.Contains(text, "log lines dropped") {
			t.Errorf("got: %d dropped want: dropped lines counted and reported", n)
		}
	})
}
