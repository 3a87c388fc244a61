// Standin plays one case of the review: it starts the entries of the deploy file as
// processes, with stand-ins of the platform, the servers and the clients.
//
// Usage:
//
//	standin CASE FOLDER
//
// It writes record.txt to the folder. It exits with 0 if the rule held, with 1 if it was
// broken, and with 2 if the case could not run. With TROUBLE=0 in the environment the
// disturbance is left out.
package main

import (
	"fmt"
	"os"
)

// cases holds the cases by name. A case reports whether the rule was broken.
var cases = map[string]func(r *record, trouble bool) (bool, error){
	"endless":     endless,
	"descriptors": descriptors,
	"leaving":     leaving,
	"relayed":     relayed,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return 2
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	broken, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.say("the case could not run: %v", err)
		return 2
	case broken:
		r.say("the rule was broken")
		return 1
	}
	r.say("the rule held")
	return 0
}
