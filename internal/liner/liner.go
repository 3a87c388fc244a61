// Package liner writes log lines without ever holding up those who log.
package liner

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"poplarwind/internal/ring"
)

// maxLines bounds the lines that wait for a slow reader.
const maxLines = 2048

// Writer is an io.Writer that keeps each written line in a bounded ring, from
// which Run writes them out. When the reader is slower than the log, the
// oldest lines are dropped and counted.
type Writer struct {
	out     io.Writer
	lines   *ring.Ring[[]byte]
	dropped atomic.Int64
}

// New returns a writer to out.
func New(out io.Writer) *Writer {
	return &Writer{out: out, lines: ring.New[[]byte](maxLines)}
}

// Write implements io.Writer. It does not wait and does not fail.
func (w *Writer) Write(line []byte) (int, error) {
	if w.lines.Push(append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes lines out until ctx ends, then those that are left. It returns
// the first error of the output.
func (w *Writer) Run(ctx context.Context) error {
	told := int64(0)
	for {
		line, ok := w.lines.Pop(ctx)
		if !ok {
			return w.flush()
		}
		if _, err := w.out.Write(line); err != nil {
			return err
		}
		if n := w.dropped.Load(); n > told {
			if _, err := fmt.Fprintf(w.out, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n-told); err != nil {
				return err
			}
			told = n
		}
	}
}

func (w *Writer) flush() error {
	for {
		line, ok := w.lines.TryPop()
		if !ok {
			return nil
		}
		if _, err := w.out.Write(line); err != nil {
			return err
		}
	}
}
