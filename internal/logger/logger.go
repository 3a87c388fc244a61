// Package logger buffers log lines, so that logging never blocks.
package logger

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"poplarwind/internal/ring"
)

// maxLines is the number of lines buffered for a slow output.
const maxLines = 2048

// Writer is an io.Writer that buffers each line in a bounded ring. Run writes the
// lines to the output. If lines arrive faster than the output accepts them, the
// oldest are dropped and counted.
type Writer struct {
	out     io.Writer
	lines   *ring.Ring[[]byte]
	dropped atomic.Int64
}

// New returns a Writer that writes to out.
func New(out io.Writer) *Writer {
	return &Writer{out: out, lines: ring.New[[]byte](maxLines)}
}

// Write implements io.Writer. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if w.lines.Push(append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes lines to the output until ctx is done, and then the buffered ones.
// The number of dropped lines is written as a line of its own. Run returns the
// first error of the output.
func (w *Writer) Run(ctx context.Context) error {
	reported := int64(0)
	for {
		line, ok := w.lines.Pop(ctx)
		if !ok {
			return w.flush()
		}
		if _, err := w.out.Write(line); err != nil {
			return err
		}
		if n := w.dropped.Load(); n > reported {
			if _, err := fmt.Fprintf(w.out, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n-reported); err != nil {
				return err
			}
			reported = n
		}
	}
}

// flush writes the buffered lines to the output.
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
