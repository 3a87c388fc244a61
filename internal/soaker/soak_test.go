package soaker

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var (
	program = flag.String("program", "", "`path` of the daemon")
	seeds   = flag.Int("seeds", 1, "`number` of consecutive seeds")
	first   = flag.Uint64("seed", 1, "first `seed`")
	length  = flag.Duration("length", 10*time.Second, "`time` of faults for each seed")
	entries = flag.Int("entries", 5, "`number` of entries")
)

// TestSoak runs a soak for each seed. It is skipped without a program; make soak builds and passes it.
func TestSoak(t *testing.T) {
	if *program == "" {
		t.Skip("needs a program; make soak builds and passes it")
	}
	for i := range *seeds {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			settings := Settings{Program: *program, Folder: t.TempDir(), Seed: seed, Entries: *entries, Upstreams: 6, Rate: 100, Length: *length, Log: t.Logf}
			r, err := Run(settings)
			t.Logf("%v: %+v", settings, r)
			if err != nil {
				t.Errorf("got: %v want: all promises held", err)
			}
		})
	}
}
