package forwarder

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"poplarwind/internal/scripter"
)

// TestHedgePolicy runs scripts that decide when a request is hedged, and whether. Times are in
// milliseconds. They guard against hedges that come too early, or that take time of upstreams which
// other requests need.
func TestHedgePolicy(t *testing.T) {
	scripter.Run(t, "testdata/hedge_*.txt", func(t *testing.T) func([]string) string {
		var h hedgeState
		ratio := 0.0
		times := h.responseTimes("r")
		number := func(text string) float64 {
			n, err := strconv.ParseFloat(text, 64)
			if err != nil {
				t.Fatal(err)
			}
			return n
		}
		ms := func(text string) time.Duration { return time.Duration(number(text)) * time.Millisecond }
		return func(args []string) string {
			switch args[0] {
			case "ratio":
				ratio = number(args[1])
			case "earn": // earn requests
				for range int(number(args[1])) {
					h.budget.Earn(ratio)
				}
			case "spend":
				h.budget.Spend()
			case "respond": // respond count time
				for range int(number(args[1])) {
					times.Record(ms(args[2]))
				}
			case "delay": // delay expected
				return fmt.Sprint(hedgeDelay(times, ms(args[1])).Milliseconds())
			case "events": // events delay overdue
				var out []string
				for _, e := range hedgeEvents(ms(args[1]), ms(args[2])) {
					text := fmt.Sprint(e.after.Milliseconds())
					if e.giveUp {
						text += "!"
					}
					out = append(out, text)
				}
				return strings.Join(out, " ")
			case "decide":
				return h.decide(parseHedgeInput(args[1:], number, ms), times).String()
			default:
				return "unknown command"
			}
			return ""
		}
	})
}

// parseHedgeInput returns an input for which a hedge is allowed, apart from the limit, with the given
// differences.
func parseHedgeInput(args []string, number func(string) float64, ms func(string) time.Duration) hedgeInput {
	in := hedgeInput{attemptsLeft: 1, elapsed: 110 * time.Millisecond, left: time.Second, expected: 100 * time.Millisecond, taken: 0.2, retryLeft: true}
	for _, arg := range args {
		name, value, _ := strings.Cut(arg, "=")
		switch name {
		case "stopping":
			in.stopping = true
		case "cutoff":
			in.cutOff = true
		case "quarantined":
			in.quarantined = true
		case "noretry":
			in.retryLeft = false
		case "attemptsleft":
			in.attemptsLeft = int(number(value))
		case "left":
			in.left = ms(value)
		case "waiting":
			in.waiting = int(number(value))
		case "taken":
			in.taken = number(value)
		case "elapsed":
			in.elapsed = ms(value)
		case "expected":
			in.expected = ms(value)
		}
	}
	return in
}
