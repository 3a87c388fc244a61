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

	"poplarwind/parser"
	"poplarwind/runner"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

func main() { os.Exit(run()) }

func run() int {
	path := flag.String("settings", "", "`file` with the settings of this process, JSON with comments")
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
	log := slog.New(slog.NewJSONHandler(os.Stdout, nil)).With("entry", p.Name())
	r, err := runner.New(p, log)
	if err != nil {
		log.Error("entry can't start", "error", err.Error())
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := r.Run(ctx); err != nil {
		log.Error("entry failed", "error", err.Error())
		return exitFailed
	}
	return 0
}
