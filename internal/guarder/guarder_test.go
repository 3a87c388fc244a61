package guarder

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// TestPanicOfTaskEndsProcess runs a task that panics twice. It must be run again, and its error returned.
func TestPanicOfTaskEndsProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines strings.Builder
		log := slog.New(slog.NewJSONHandler(&lines, nil))
		failed, before, runs, start := errors.ConstError("failed"), Panics(), 0, time.Now()
		err := Task(t.Context(), log, "test task", func(context.Context) error {
			if runs++; runs < 3 {
				panic("odd object")
			}
			return failed
		})
		if !errors.Is(err, failed) || runs != 3 || Panics()-before != 2 || time.Since(start) != 2*restartDelay {
			t.Errorf("got: %v after %d runs, %d panics, %v want: %v after 3, 2, %v", err, runs, Panics()-before, time.Since(start), failed, 2*restartDelay)
		}
		if got := lines.String(); strings.Count(got, "odd object") != 2 || !strings.Contains(got, "test task") || !strings.Contains(got, "guarder_test.go") {
			t.Errorf("got: %s want: cause, task and stack of both", got)
		}
	})
}

// TestPanicOfTaskAtShutdown ends a task that panics again and again: Task must return.
func TestPanicOfTaskAtShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
		defer cancel()
		start := time.Now()
		if err := Task(ctx, slog.New(slog.DiscardHandler), "test task", func(context.Context) error { panic("again") }); err != nil || time.Since(start) != 2500*time.Millisecond {
			t.Errorf("got: %v after %v want: nil after 2.5 s", err, time.Since(start))
		}
	})
}

// TestPanicOfHandlerEndsProcess has a handler panic behind a part of its response.
func TestPanicOfHandlerEndsProcess(t *testing.T) {
	ctx := &fasthttp.RequestCtx{}
	Handler(slog.New(slog.DiscardHandler), func(ctx *fasthttp.RequestCtx) {
		ctx.SetBodyString("a part")
		panic("odd message")
	})(ctx)
	if got := ctx.Response.StatusCode(); got != 500 || !ctx.Response.ConnectionClose() || len(ctx.Response.Body()) > 0 {
		t.Errorf("got: %d, %q want: 500, no body, the connection closed", got, ctx.Response.Body())
	}
}
