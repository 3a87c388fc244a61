// Package scripter runs tests that are scripts in data files.
//
// A line is a command and its arguments, and after "->" what it must print.
// Blank lines and those that begin with # are passed over.
package scripter

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Run runs each file that the pattern matches as a test of its own. Begin
// returns what carries out a file's commands.
func Run(t *testing.T, pattern string, begin func(t *testing.T) func(args []string) string) {
	t.Helper()
	files, err := filepath.Glob(pattern)
	if err != nil || len(files) == 0 {
		t.Fatalf("got: no files, %v want: files that match %s", err, pattern)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			run(t, file, string(text), begin(t))
		})
	}
}

func run(t *testing.T, file, text string, do func(args []string) string) {
	n := 0
	for line := range strings.Lines(text) {
		n++
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		command, want, _ := strings.Cut(line, "->")
		want = strings.TrimSpace(want)
		if got := strings.TrimSpace(do(strings.Fields(command))); got != want {
			t.Errorf("%s:%d: %s: got: %q want: %q", file, n, strings.TrimSpace(command), got, want)
		}
	}
}
