package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/juju/errors"

	"poplarwind/keeper"
)

const (
	// whyBack is how far before a request's end lines may tell of its cause:
	// upstreams are ejected for at most eight seconds.
	whyBack = 10 * time.Second
	// maxLogLine bounds a line of a log, in bytes.
	maxLogLine = 1 << 20
)

// logLine is what the walk reads of a log line.
type logLine struct {
	Time      time.Time `json:"time"`
	Message   string    `json:"msg"`
	Entry     string    `json:"entry"`
	Request   string    `json:"request"`
	Service   string    `json:"service"`
	Upstreams []string  `json:"upstreams"`
	Upstream  string    `json:"upstream"`
	Name      string    `json:"name"`

	text []byte
}

// parseLogLine reads a line, which may have other text before its JSON. It
// reports false if there is none.
func parseLogLine(text []byte) (logLine, bool) {
	var l logLine
	start := bytes.IndexByte(text, '{')
	if start < 0 || json.Unmarshal(text[start:], &l) != nil || l.Message == "" {
		return l, false
	}
	l.text = bytes.Clone(text)
	return l, true
}

// why prints the lines of a log that lead to the end of a request.
func (t *tool) why(_ context.Context, args []string) error {
	id, err := one(args, "request ID")
	if err != nil {
		return err
	}
	var lines []logLine
	scan := bufio.NewScanner(os.Stdin)
	scan.Buffer(nil, maxLogLine)
	for scan.Scan() {
		if l, ok := parseLogLine(scan.Bytes()); ok {
			lines = append(lines, l)
		}
	}
	if err := scan.Err(); err != nil {
		return errors.Annotate(err, "reading the log")
	}
	chain := explain(lines, id)
	if len(chain) == 0 {
		return errors.Annotatef(keeper.ErrAbsent, "no line of request %s", id)
	}
	for _, l := range chain {
		fmt.Fprintf(t.out, "%s\n", l.text)
	}
	return nil
}

// explain returns the lines of a request and, before each, those that touch
// what decided on it: its upstreams, and the beliefs of the entry that had it.
func explain(lines []logLine, id string) []logLine {
	var about []logLine
	for _, l := range lines {
		if l.Request == id {
			about = append(about, l)
		}
	}
	var out []logLine
	for _, l := range lines {
		if slices.ContainsFunc(about, func(r logLine) bool { return l.Request == id || l.touches(r) }) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	return out
}

// beliefs are the messages that tell of an entry's own beliefs.
var beliefs = []string{"store lost", "store answers", "configuration in force", "configuration refused", "entry started", "entry leaving"}

// touches reports whether the line may tell of the cause of a request's end.
func (l logLine) touches(r logLine) bool {
	if l.Time.After(r.Time) || r.Time.Sub(l.Time) > whyBack || l.Entry != r.Entry || l.Request != "" {
		return false
	}
	if slices.Contains(beliefs, l.Message) {
		return true
	}
	if slices.Contains(r.Upstreams, l.Upstream) || slices.Contains(r.Upstreams, l.Name) {
		return true
	}
	// Without an upstream of its own, what happened to the service's tells.
	return len(r.Upstreams) == 0 && r.Service != "" && l.Service == r.Service
}
