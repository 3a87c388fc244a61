// Poplarctl is the operators' tool: it checks settings, applies them to the
// platform's store, and shows the state of the entries.
//
// Exit codes: 0 success; 1 settings rejected; 2 wrong usage; 3 conflict with
// another operator's change, which took precedence; 4 the store or every entry
// is unreachable, and the outcome of a change may be unknown; 5 accepted, but
// not seen in force on every entry before the timeout; 6 not found.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/juju/errors"

	"poplarwind/parser"
	"poplarwind/storer"
)

// The exit codes.
const (
	exitOK = iota
	exitRejected
	exitUsage
	exitConflict
	exitUnreachable
	exitNotInForce
	exitNotFound
)

// tool is one run of the program.
type tool struct {
	out, err   io.Writer
	platform   string
	entryAddrs string
	json       bool
	timeout    time.Duration
	team       string
	author     string
	wait       bool
	expect     int64
	version    uint64
	query      explainQuery
	// store is the client of the platform's object store.
	store *storer.Client
}

// command is one subcommand.
type command struct {
	name, args, summary string
	run                 func(*tool, context.Context, []string) error
	flags               func(*tool, *flag.FlagSet)
}

var commands = []command{
	{"check", "FILE...", "check settings files without touching anything", (*tool).check, teamFlag},
	{"apply", "FILE", "put the settings of a file in force", (*tool).apply, applyFlags},
	{"get", "PATH", "print the settings of a path", (*tool).get, func(t *tool, f *flag.FlagSet) {
		f.Uint64Var(&t.version, "version", 0, "version to print, 0 for the newest")
	}},
	{"history", "PATH", "list the versions of a path", (*tool).history, nil},
	{"status", "", "show entries, services and settings in force", (*tool).status, nil},
	{"entries", "", "show the entries on the users' platform, their builds and what they know; needs -entries", (*tool).entries, func(t *tool, f *flag.FlagSet) {
		f.BoolVar(&t.wait, "wait", false, "wait until all entries are ready and see each other")
	}},
	{"claim", "PATH KEY", "tell whether the call with an idempotency key ran", (*tool).claim, nil},
	{"why", "ID", "print the lines of a log on standard input that led to a request's end", (*tool).why, nil},
	{"explain", "", "tell where an entry would send a request now, and why, without sending it; needs -entry", (*tool).explain, explainFlags},
	{"dump", "ENTRY", "print the whole state of one entry, by name or operators' address", (*tool).dump, nil},
}

func teamFlag(t *tool, f *flag.FlagSet) {
	f.StringVar(&t.team, "team", "", "refuse paths outside this `team`'s subtree")
}

func applyFlags(t *tool, f *flag.FlagSet) {
	teamFlag(t, f)
	f.BoolVar(&t.wait, "wait", false, "wait until every live entry has the change in force")
	f.Int64Var(&t.expect, "expect", -1, "apply only if the path is at this `version` (0: absent); needs a file of one path")
	f.StringVar(&t.author, "by", currentUser(), "operator's `name` for the history")
}

func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "operator"
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, errw io.Writer) int {
	if len(args) == 0 || args[0] == "-h" || args[0] == "help" {
		usage(errw)
		return exitUsage
	}
	for _, c := range commands {
		if c.name == args[0] {
			return c.execute(args[1:], out, errw)
		}
	}
	fmt.Fprintf(errw, "poplarctl: unknown command %q\n", args[0])
	usage(errw)
	return exitUsage
}

func usage(w io.Writer) {
	fmt.Fprintln(w, "usage: poplarctl COMMAND [flags] [arguments]")
	for _, c := range commands {
		fmt.Fprintf(w, "  %-8s %-8s %s\n", c.name, c.args, c.summary)
	}
	fmt.Fprintln(w, "poplarctl COMMAND -h tells the flags of a command.")
}

const defaultTimeout = 15 * time.Second

func (c command) execute(args []string, out, errw io.Writer) int {
	t := &tool{out: out, err: errw}
	f := flag.NewFlagSet(c.name, flag.ContinueOnError)
	f.SetOutput(errw)
	f.Usage = func() {
		fmt.Fprintf(errw, "usage: poplarctl %s [flags] %s\n%s\n", c.name, c.args, c.summary)
		f.PrintDefaults()
	}
	f.StringVar(&t.platform, "platform", os.Getenv("POPLARWIND_PLATFORM"), "platform's `address`; or set POPLARWIND_PLATFORM")
	f.StringVar(&t.entryAddrs, "entries", os.Getenv("POPLARWIND_ENTRIES"), "operators' `addresses` of entries, by comma; or set POPLARWIND_ENTRIES; empty to take the platform's list")
	f.BoolVar(&t.json, "json", false, "print JSON")
	f.DurationVar(&t.timeout, "timeout", defaultTimeout, "time for the whole command")
	if c.flags != nil {
		c.flags(t, f)
	}
	if err := f.Parse(args); err != nil {
		return exitUsage
	}
	if !c.offline() && t.platform == "" && t.entryAddrs == "" {
		fmt.Fprintln(errw, "poplarctl: -platform is missing")
		return exitUsage
	}
	t.store = storer.NewClient(t.platform, 2*time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), t.timeout)
	defer cancel()
	err := c.run(t, ctx, f.Args())
	if err != nil {
		fmt.Fprintln(errw, "poplarctl:", err)
	}
	return exitCode(err)
}

// offline reports whether the command needs neither the platform nor entries.
func (c command) offline() bool { return c.name == "check" || c.name == "why" || c.name == "explain" }

// Errors of the tool itself, apart from those of the store and of the parser.
const (
	errUsage      = errors.ConstError("wrong arguments")
	errNotInForce = errors.ConstError("accepted, but not seen in force everywhere in time")
)

// exitCode returns the exit code of an error.
func exitCode(err error) int {
	var rejected *parser.Error
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errUsage):
		return exitUsage
	case errors.Is(err, errNotInForce):
		return exitNotInForce
	case errors.As(err, &rejected):
		return exitRejected
	case errors.Is(err, storer.ErrConflict), errors.Is(err, storer.ErrSuperseded):
		return exitConflict
	case errors.Is(err, storer.ErrNotFound):
		return exitNotFound
	default:
		return exitUnreachable
	}
}

// singleArg returns the only argument, or an error that asks for one of the
// given kind.
func singleArg(args []string, kind string) (string, error) {
	if len(args) != 1 || strings.HasPrefix(args[0], "-") {
		return "", errors.Annotatef(errUsage, "want one %s", kind)
	}
	return args[0], nil
}
