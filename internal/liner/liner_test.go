package liner

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// slow is a reader that takes a second for each line.
type slow struct{ bytes.Buffer }

func (s *slow) Write(line []byte) (int, error) {
	time.Sleep(time.Second)
	return s.Buffer.Write(line)
}

// TestSlowReader logs faster than the reader reads: no write waits, the
// newest lines are kept, and what was dropped is counted and told.
func TestSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		out := &slow{}
		w := New(out)
		done := make(chan error)
		go func() { done <- w.Run(ctx) }()
		begun := time.Now()
		for i := range 3 * maxLines {
			if _, err := fmt.Fprintf(w, "line %d\n", i); err != nil {
				t.Fatal(err)
			}
		}
		if d := time.Since(begun); d > 0 {
			t.Errorf("got: %v for all lines want: no wait", d)
		}
		time.Sleep(10 * time.Second)
		cancel()
		if err := <-done; err != nil {
			t.Errorf("got: %v want: no error", err)
		}
		text := out.String()
		if !strings.Contains(text, fmt.Sprintf("line %d\n", 3*maxLines-1)) {
			t.Error("got: no last line want: the newest lines kept")
		}
		if n := w.Dropped(); n < maxLines || !strings.Contains(text, "log lines dropped") {
			t.Errorf("got: %d dropped want: counted and told", n)
		}
	})
}
