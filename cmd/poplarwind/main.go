// Poplarwind is the daemon of one entry: it answers callers which entries to
// use and relays their calls to servers.
//
// Usage:
//
//	poplarwind -settings FILE
//
// It exits with 0 after a planned stop by SIGTERM or SIGINT, with 1 when it
// could not start or a duty failed, and with 2 when its settings or arguments
// are at fault.
package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"poplarwind/internal/liner"
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
	// From here on SIGHUP does not end the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
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
	p, err := parser.ParseProcess(*path, text)
	if err != nil {
		fmt.Fprintln(os.Stderr, "poplarwind:", err)
		return exitUsage
	}
	if *check {
		return 0
	}
	lines := liner.New(os.Stdout)
	flushed := make(chan error, 1)
	logging, stopLogging := context.WithCancel(context.Background())
	go func() { flushed <- lines.Run(logging) }()
	defer func() {
		stopLogging()
		<-flushed
	}()
	log := slog.New(slog.NewJSONHandler(lines, nil)).With("entry", p.Name())
	r, err := build(p, log, lines.Dropped)
	if err != nil {
		log.Error("entry can't start", "error", err.Error())
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	go reload(ctx, log, *path, hup)
	if err := r.Run(ctx); err != nil {
		log.Error("entry failed", "error", err.Error())
		return exitFailed
	}
	return 0
}

// daemon is what the settings make of this process.
type daemon interface {
	Run(ctx context.Context) error
}

func build(p *parser.Process, log *slog.Logger, dropped func() int64) (daemon, error) {
	if p.Gateway().On() {
		return runner.NewGateway(p, log, dropped)
	}
	return runner.New(p, log)
}

// reload reads the settings again on each SIGHUP and says whether they are
// sound and still those in force. Addresses, limits and budgets are those of
// the start: a process takes new ones by being replaced.
func reload(ctx context.Context, log *slog.Logger, path string, hup <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		text, err := os.ReadFile(path)
		if err == nil {
			_, err = parser.ParseProcess(path, text)
		}
		if err != nil {
			log.Warn("settings not reloaded", "path", path, "error", err.Error())
			continue
		}
		log.Info("settings read again", "path", path)
	}
}
