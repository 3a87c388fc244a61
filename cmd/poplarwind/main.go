// Poplarwind is the daemon of one entry: it returns to callers the entries to
// use for a service, and relays their calls to servers.
//
// Usage:
//
//	poplarwind -settings FILE
//
// It exits with 0 after a planned stop by SIGTERM or SIGINT, with 1 if it could
// not start or one of its tasks failed, and with 2 if its settings or arguments
// are invalid.
package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"poplarwind/internal/logger"
	"poplarwind/parser"
	"poplarwind/platform"
	"poplarwind/runner"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

func main() { os.Exit(run()) }

func run() int {
	// SIGHUP is caught before the settings are read, because by default it would
	// end the process.
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	path := flag.String("settings", platform.SettingsPath(), "`file` with the settings of this process, JSON with comments")
	check := flag.Bool("check", false, "check the settings and exit")
	flag.Parse()
	if *path == "" || flag.NArg() > 0 {
		flag.Usage()
		return exitUsage
	}
	text, err := os.ReadFile(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "poplarwind:", err)
		return exitUsage
	}
	process, err := parser.ParseProcess(*path, text)
	if err != nil {
		fmt.Fprintln(os.Stderr, "poplarwind:", err)
		return exitUsage
	}
	if *check {
		return 0
	}
	logWriter := logger.New(os.Stdout)
	writerDone := make(chan error, 1)
	writerCtx, stopWriter := context.WithCancel(context.Background())
	go func() { writerDone <- logWriter.Run(writerCtx) }()
	defer func() {
		stopWriter()
		<-writerDone
	}()
	log := slog.New(slog.NewJSONHandler(logWriter, nil)).With("entry", process.Name())
	r, err := newDaemon(process, log, logWriter.Dropped)
	if err != nil {
		log.Error("entry could not start", "error", err.Error())
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	go recheckSettings(ctx, log, *path, sighup)
	if err := r.Run(ctx); err != nil {
		log.Error("entry failed", "error", err.Error())
		return exitFailed
	}
	return 0
}

// daemon is the entry that newDaemon builds from the settings.
type daemon interface {
	Run(ctx context.Context) error
}

// newDaemon returns a gateway to the users' platform if the settings have one,
// otherwise an entry with the project's own interface.
func newDaemon(process *parser.Process, log *slog.Logger, dropped func() int64) (daemon, error) {
	if process.Gateway().Enabled() {
		return runner.NewGateway(process, log, dropped)
	}
	return runner.New(process, log)
}

// recheckSettings reads the settings file on each SIGHUP and logs whether it is
// valid. It applies nothing: addresses, limits and budgets stay those of the
// start, and new ones take effect only when the process is replaced.
func recheckSettings(ctx context.Context, log *slog.Logger, path string, sighup <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighup:
		}
		text, err := os.ReadFile(path)
		if err == nil {
			_, err = parser.ParseProcess(path, text)
		}
		if err != nil {
			log.Warn("settings file unreadable or invalid", "path", path, "error", err.Error())
			continue
		}
		log.Info("settings file valid, applied only at the next start", "path", path)
	}
}
