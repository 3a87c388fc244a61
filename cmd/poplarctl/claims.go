package main

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/juju/errors"

	"poplarwind/claimer"
	"poplarwind/parser"
)

// stateDescriptions describes, for operators, what each claim state implies about
// the execution of its call.
var stateDescriptions = map[claimer.State]string{
	claimer.Claimed: "its entry may be sending it now, or died before it could tell: it may have run",
	claimer.Void:    "it did not run",
	claimer.Done:    "it ran and its answer is kept",
	claimer.Lost:    "it may have run and its answer was lost",
}

func (t *tool) claim(ctx context.Context, args []string) error {
	if len(args) != 2 {
		return errors.Annotate(errUsage, "want a service's path and a key")
	}
	if err := parser.CheckPath(args[0]); err != nil {
		return err
	}
	s, err := claimer.Lookup(ctx, t.store, args[0], args[1])
	if err != nil {
		return errors.Annotate(err, args[0])
	}
	if t.json {
		return errors.Trace(json.NewEncoder(t.out).Encode(s))
	}
	fmt.Fprintf(t.out, "%s: %s\n", s.State, stateDescriptions[s.State])
	fmt.Fprintf(t.out, "entry %s, attempt %s, version %d", s.Entry, s.Attempt, s.Version)
	if s.Status > 0 {
		fmt.Fprintf(t.out, ", answered %d", s.Status)
	}
	fmt.Fprintln(t.out)
	return nil
}
