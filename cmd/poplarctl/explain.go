package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/forwarder"
	"poplarwind/router"
)

// explainQuery holds the flags of the command explain.
type explainQuery struct {
	entry, host, path, keyFile, keyDigest string
	deadline                              time.Duration
}

func explainFlags(t *tool, f *flag.FlagSet) {
	q := &t.query
	f.StringVar(&q.entry, "entry", "", "operators' `address` of the entry")
	f.StringVar(&q.host, "host", "", "`host` of the request")
	f.StringVar(&q.path, "path", "/", "`path` of the request")
	f.StringVar(&q.keyFile, "key", "", "`file` with the key of the request, - for standard input; only its digest is sent")
	f.StringVar(&q.keyDigest, "key-digest", "", "digest of the key in `hex`, instead of -key")
	f.DurationVar(&q.deadline, "deadline", 0, "timeout that the caller states, 0 for none")
}

// explain shows where an entry would send a request now, and why.
func (t *tool) explain(_ context.Context, args []string) error {
	q := t.query
	if len(args) > 0 || q.entry == "" || q.host == "" || q.keyFile != "" && q.keyDigest != "" {
		return errors.Annotate(errUsage, "want -entry and -host, at most one of -key and -key-digest, and no arguments")
	}
	values := url.Values{"host": {q.host}, "path": {q.path}}
	digest, err := q.digest()
	if err != nil {
		return err
	}
	if digest != "" {
		values.Set("key_digest", digest)
	}
	if q.deadline > 0 {
		values.Set("deadline", q.deadline.String())
	}
	body, err := getExplanation(q.entry, values)
	if err != nil {
		return err
	}
	if t.json {
		_, err := fmt.Fprintf(t.out, "%s\n", body)
		return errors.Trace(err)
	}
	var e forwarder.Explanation
	if err := json.Unmarshal(body, &e); err != nil {
		return errors.Trace(err)
	}
	return writeExplanation(t.out, &e)
}

// maxKey bounds the key in bytes.
const maxKey = 64 << 10

// digest returns the digest of the key in hex, empty if there is no key.
func (q *explainQuery) digest() (string, error) {
	if q.keyFile == "" {
		var d router.Digest
		if q.keyDigest != "" && d.UnmarshalText([]byte(q.keyDigest)) != nil {
			return "", errors.Annotate(errUsage, "-key-digest: want 32 hex digits")
		}
		return q.keyDigest, nil
	}
	in := os.Stdin
	if q.keyFile != "-" {
		f, err := os.Open(q.keyFile)
		if err != nil {
			return "", errors.Annotate(errUsage, err.Error())
		}
		defer f.Close()
		in = f
	}
	key, err := io.ReadAll(io.LimitReader(in, maxKey))
	if err != nil {
		return "", errors.Annotate(err, "reading the key")
	}
	if key = bytes.TrimSpace(key); len(key) == 0 {
		return "", errors.Annotate(errUsage, "-key: the key is empty")
	}
	text, err := router.DigestOf(key).MarshalText()
	return string(text), errors.Trace(err)
}

// getExplanation returns the JSON explanation of an entry.
func getExplanation(entry string, values url.Values) ([]byte, error) {
	status, body, err := client.GetTimeout(nil, "http://"+entry+"/explain?"+values.Encode(), requestTimeout)
	switch {
	case err != nil:
		return nil, errors.Trace(err)
	case status == fasthttp.StatusNotFound:
		return nil, errors.Errorf("%s: its build can't explain requests", entry)
	case status == fasthttp.StatusBadRequest:
		return nil, errors.Annotatef(errUsage, "%s", body)
	case status != fasthttp.StatusOK:
		return nil, errors.Errorf("%s: status %d", entry, status)
	}
	return body, nil
}

// writeExplanation writes the explanation as text: a line for each decision in the order in which they
// are taken, and a table of the upstreams.
func writeExplanation(out io.Writer, e *forwarder.Explanation) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line := func(name, format string, args ...any) { fmt.Fprintf(w, "%s\t%s\n", name, fmt.Sprintf(format, args...)) }
	line("entry", "%s, failure domain %s", e.Entry, e.Domain)
	line("outcome", "%s", outcomeOf(e))
	if e.Version > 0 {
		line("configuration", "version %d", e.Version)
	}
	if e.Route != "" {
		line("route", "%s, prefix %s, %s, deadline %v, objective %v", e.Route, e.Prefix, either(e.Idempotent, "idempotent", "not idempotent"), e.Timeout, e.Objective)
		line("customer", "%s, rank %d", customerOf(e), e.Rank)
		line("service", "%s%s", e.Service, splitOf(e.Split))
	}
	if e.Cut {
		line("cut off", "upstreams are out of reach; entries that would be asked to take the request: %s", either(len(e.Relays) > 0, strings.Join(e.Relays, ", "), "none"))
	}
	if q := e.Quota; q != nil {
		line("quota", "%s; level %.1f, portion %.1f, fraction %.2f, demand %.1f of %.1f per second%s", either(q.Admitted, "admitted", "used up"),
			q.Level, q.Portion, q.Fraction, q.Demand, q.Total, either(q.Isolated, "; entry cut off from most others", ""))
	}
	if q := e.Queue; q != nil {
		line("queue", "%d waiting, %d ahead, estimated wait %v; %.1f slots, average latency %v", q.Waiting, q.Ahead, q.Wait.Round(time.Millisecond), q.Slots, q.Latency.Round(time.Millisecond))
	}
	if e.Chosen != "" {
		line("chosen", "%s%s", e.Chosen, either(e.Unprobed, ", without a load probe", ", if load probes find the figures below"))
	}
	if h := e.Hedge; h != nil {
		line("hedge", "%s", either(h.Allowed, fmt.Sprintf("after %v without a response", h.Delay.Round(time.Millisecond)), "no: "+h.Cause))
	}
	if err := w.Flush(); err != nil || len(e.Upstreams) == 0 {
		return errors.Trace(err)
	}
	fmt.Fprintln(out, "A request first probes the upstreams marked *, so that another may be chosen.")
	fmt.Fprintln(w, "ORDER\tUPSTREAM\tDOMAIN\tUSABLE\tOWN\tRUNNING\tWAITING\tSLOTS\tSLOWNESS\tREPORT AGE\tCOST")
	for _, u := range e.Upstreams {
		order, usable, age := "-", "yes", "-"
		if u.Order > 0 {
			order = fmt.Sprint(u.Order, either(u.Probed, "*", ""))
		}
		if u.Obstacle != "" {
			usable = "no: " + u.Obstacle
		}
		if u.Load.Age >= 0 {
			age = u.Load.Age.Round(time.Millisecond).String()
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%.2f\t%s\t%.2f\n", order, u.ID, u.Domain, usable, u.Load.InFlight, u.Load.Running, u.Load.Waiting, u.Slots, u.Load.Slowness, age, u.Cost)
	}
	return errors.Trace(w.Flush())
}

func either(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}

// outcomeOf describes the outcome.
func outcomeOf(e *forwarder.Explanation) string {
	if e.Outcome != forwarder.OutcomeRejected {
		return e.Outcome
	}
	out := fmt.Sprintf("%s with %d: %s", e.Outcome, e.Status, e.Cause)
	if e.RetryAfter > 0 {
		out += fmt.Sprintf("; Retry-After at least %v", e.RetryAfter.Round(time.Millisecond))
	}
	if e.Refreshes {
		out += "; the entry would read the newest configuration first"
	}
	return out
}

// customerOf describes the customer.
func customerOf(e *forwarder.Explanation) string {
	switch {
	case e.Customer != "":
		return e.Customer
	case !e.HasCustomers:
		return "none in the configuration"
	case e.Anonymous:
		return "none, and the route needs no key"
	}
	return "none"
}

// splitOf describes the traffic split, empty if there is one service only.
func splitOf(split []router.SplitTarget) string {
	if len(split) < 2 {
		return ""
	}
	parts := make([]string, 0, len(split))
	for _, target := range split {
		parts = append(parts, fmt.Sprintf("%s %g", target.Service, target.Weight))
	}
	return ", the next of the split " + strings.Join(parts, ", ")
}
