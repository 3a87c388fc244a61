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

	"poplarwind/storer"
)

const (
	// causeWindow is the maximum age of a line that may explain a line of the
	// request, relative to it: an upstream stays ejected for at most eight seconds.
	causeWindow = 10 * time.Second
	// maxLogLine is the greatest length of a log line, in bytes.
	maxLogLine = 1 << 20
)

// logLine holds the attributes of a log line that explain uses, and its text.
type logLine struct {
	Time      time.Time `json:"time"`
	Message   string    `json:"msg"`
	Entry     string    `json:"entry"`
	Request   string    `json:"request"`
	Service   string    `json:"service"`
	Upstreams []string  `json:"upstreams"`
	Upstream  string    `json:"upstream"`
	Name      string    `json:"name"`
	// Fingerprint is the same for all copies of a request.
	Fingerprint string `json:"fingerprint"`
	// PauseMs is the length of a pause that an upstream asks for, in milliseconds.
	PauseMs int64 `json:"pause_ms"`
	// Customer is the customer of the request, and Quota the decision that rejected it, nil if no
	// quota did. RetryAfterMs is the time after which it may be sent again, in milliseconds.
	Customer     string         `json:"customer"`
	Quota        *quotaDecision `json:"quota"`
	RetryAfterMs int64          `json:"retry_after_ms"`

	text []byte
}

// quotaDecision holds the attributes of a decision that a request is beyond the quota of its customer.
type quotaDecision struct {
	Level    float64 `json:"level"`
	Portion  float64 `json:"portion"`
	Fraction float64 `json:"fraction"`
	Demand   float64 `json:"demand"`
	Total    float64 `json:"total"`
	Isolated bool    `json:"isolated"`
}

// quotaReason explains a request that was rejected by the quota of its customer.
func (l logLine) quotaReason() string {
	d := l.Quota
	reason := fmt.Sprintf("all entries together have used it up: %.1f requests of it are left", d.Level)
	switch {
	case d.Isolated:
		reason = "the entry is cut off from most others and may use only a part of its portion of it"
	case d.Level >= 1:
		reason = fmt.Sprintf("the entry has used up its portion of it, although %.1f requests are left at all entries", d.Level)
	}
	return fmt.Sprintf("quota of customer %s: %s; %.1f of %.1f requests per second arrive at %s, whose fraction is %.2f; may be sent again after %d ms",
		l.Customer, reason, d.Demand, d.Total, l.Entry, d.Fraction, l.RetryAfterMs)
}

// parseLogLine parses a line, which may have other text before its JSON object.
// It reports false if the line has no JSON object with a message.
func parseLogLine(text []byte) (logLine, bool) {
	var l logLine
	brace := bytes.IndexByte(text, '{')
	if brace < 0 || json.Unmarshal(text[brace:], &l) != nil || l.Message == "" {
		return l, false
	}
	l.text = bytes.Clone(text)
	return l, true
}

// why prints the lines of a log on standard input that explain the outcome of a
// request.
func (t *tool) why(_ context.Context, args []string) error {
	id, err := singleArg(args, "request ID")
	if err != nil {
		return err
	}
	var lines []logLine
	scanner := bufio.NewScanner(os.Stdin)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if l, ok := parseLogLine(scanner.Bytes()); ok {
			lines = append(lines, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return errors.Annotate(err, "reading the log")
	}
	explanation := explain(lines, id)
	if len(explanation) == 0 {
		return errors.Annotatef(storer.ErrNotFound, "no line of request %s", id)
	}
	for _, l := range explanation {
		fmt.Fprintf(t.out, "%s\n", l.text)
	}
	for _, l := range explanation {
		if l.Request == id && l.Quota != nil {
			fmt.Fprintln(t.out, l.quotaReason())
		}
	}
	return nil
}

// explain returns, in order of time, the lines of a request and the earlier
// lines that may explain them: those about its upstreams or its service, and
// those about the state of the entry that handled it.
func explain(lines []logLine, id string) []logLine {
	var requestLines []logLine
	for _, l := range lines {
		if l.Request == id {
			requestLines = append(requestLines, l)
		}
	}
	var out []logLine
	for _, l := range lines {
		if slices.ContainsFunc(requestLines, func(r logLine) bool { return l.Request == id || l.mayExplain(r) }) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	return out
}

// entryStateMessages are the messages about an entry's own state: its access to
// the store, its configuration, and its start and stop. Older builds log "store
// lost" and "store answers" where newer ones log "store unreachable" and "store
// reachable"; all four are matched, so that older log streams can be explained.
var entryStateMessages = []string{"store unreachable", "store reachable", "store lost", "store answers", "configuration in force", "configuration refused", "entry started", "entry leaving", "quota portions reduced", "quota portions restored"}

// statementMessages are the messages about what an upstream has stated of itself in the
// response to some request, with how long it may explain other requests, 0 meaning as long as
// the log goes back.
var statementMessages = map[string]func(logLine) time.Duration{
	"upstream asks for a pause":      func(l logLine) time.Duration { return causeWindow + time.Duration(l.PauseMs)*time.Millisecond },
	"upstream says that it leaves":   func(logLine) time.Duration { return 0 },
	"rate limit of upstream changed": func(logLine) time.Duration { return 0 },
}

// mayExplain reports whether the line may name the cause of r, a line of a
// request: it comes from the same entry, at most causeWindow earlier, or it is about
// a copy of the request, at any entry and however long before, or about a statement of an
// upstream that may still hold.
func (l logLine) mayExplain(r logLine) bool {
	if r.Fingerprint != "" && l.Fingerprint == r.Fingerprint && l.Request != r.Request && !l.Time.After(r.Time) && l.Message != r.Message {
		return true
	}
	if l.Time.After(r.Time) || l.Entry != r.Entry {
		return false
	}
	if lasts, ok := statementMessages[l.Message]; ok {
		window := lasts(l)
		return l.Service == r.Service && (window == 0 || r.Time.Sub(l.Time) <= window) && (len(r.Upstreams) == 0 || slices.Contains(r.Upstreams, l.Upstream))
	}
	if r.Time.Sub(l.Time) > causeWindow || l.Request != "" {
		return false
	}
	if slices.Contains(entryStateMessages, l.Message) {
		return true
	}
	if slices.Contains(r.Upstreams, l.Upstream) || slices.Contains(r.Upstreams, l.Name) {
		return true
	}
	// A request line that names no upstream is explained by the lines about its
	// service.
	return len(r.Upstreams) == 0 && r.Service != "" && l.Service == r.Service
}
