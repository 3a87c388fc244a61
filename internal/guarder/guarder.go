// Package guarder contains panics, so that one malformed message does not end a process with all the
// requests that it has in hand. A panic is a fault of the program in any case: it is logged with its
// stack, and counted.
package guarder

import (
	"context"
	"log/slog"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"poplarwind/internal/sleeper"
)

// restartDelay is the pause before a task that has panicked is run again.
const restartDelay = time.Second

// maxStack bounds the logged part of a stack in bytes.
const maxStack = 8 << 10

// panics counts contained panics.
var panics atomic.Int64

// Panics returns the number of contained panics.
func Panics() int64 { return panics.Load() }

// Contain contains a panic of the function that defers it, and then calls cleanup, which may be nil.
// The text says what the function does.
func Contain(log *slog.Logger, text string, cleanup func()) {
	cause := recover()
	if cause == nil {
		return
	}
	report(log, text, cause)
	if cleanup != nil {
		cleanup()
	}
}

func report(log *slog.Logger, text string, cause any) {
	panics.Add(1)
	stack := debug.Stack()
	log.Error("panic contained", "in", text, "cause", cause, "stack", string(stack[:min(len(stack), maxStack)]))
}

// Handler returns a handler that responds with status 500 and closes the connection if handle panics.
func Handler(log *slog.Logger, handle fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		defer Contain(log, string(ctx.Path()), func() {
			ctx.Response.Reset()
			ctx.SetStatusCode(fasthttp.StatusInternalServerError)
			ctx.SetConnectionClose()
		})
		handle(ctx)
	}
}

// Task runs a task until it returns or ctx ends. A task that panics is run again after a pause.
func Task(ctx context.Context, log *slog.Logger, text string, run func(context.Context) error) error {
	for {
		ended, err := attempt(ctx, log, text, run)
		if ended || ctx.Err() != nil {
			return err
		}
		sleeper.Sleep(ctx, restartDelay)
	}
}

// attempt runs a task once, and reports whether it returned.
func attempt(ctx context.Context, log *slog.Logger, text string, run func(context.Context) error) (ended bool, err error) {
	defer Contain(log, text, nil)
	err = run(ctx)
	return true, err
}
