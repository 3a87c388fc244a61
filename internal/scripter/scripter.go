// Package scripter runs test scripts from data files.
//
// Each line is a command with its arguments, followed by "->" and the expected
// output. Blank lines and lines that begin with # are ignored.
package scripter

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Run runs each file that matches the pattern as a subtest. Begin is called once
// per file and returns the function that executes its commands.
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

// run compares the output of each command in text with the expected one.
func run(t *testing.T, file, text string, execute func(args []string) string) {
	n := 0
	for line := range strings.Lines(text) {
		n++
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		command, want, _ := strings.Cut(line, "->")
		want = strings.TrimSpace(want)
		if got := strings.TrimSpace(execute(strings.Fields(command))); got != want {
			t.Errorf("%s:%d: %s: got: %q want: %q", file, n, strings.TrimSpace(command), got, want)
		}
	}
}
