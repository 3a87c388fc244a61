package limiter

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"poplarwind/internal/scripter"
)

// TestAdmissionQueue runs scripts that push requests to an admission queue and
// pop them. Times are in milliseconds.
func TestAdmissionQueue(t *testing.T) {
	scripter.Run(t, "testdata/queue*.txt", func(t *testing.T) func([]string) string {
		var q Queue[string]
		ms := func(text string) time.Duration {
			n, err := strconv.Atoi(text)
			if err != nil {
				t.Fatal(err)
			}
			return time.Duration(n) * time.Millisecond
		}
		epoch := time.Unix(1000, 0)
		priority := func(args []string) Priority {
			rank, err := strconv.Atoi(args[0])
			if err != nil {
				t.Fatal(err)
			}
			return Priority{Rank: rank, Due: epoch.Add(ms(args[1])), Latency: ms(args[2])}
		}
		return func(args []string) string {
			switch args[0] {
			case "push":
				q.Push(args[1], priority(args[2:]))
				return ""
			case "pop":
				v, ok := q.First(epoch.Add(ms(args[1])))
				if !ok {
					return "none"
				}
				q.Remove(v)
				return v
			case "ahead":
				return fmt.Sprint(q.Ahead(epoch.Add(ms(args[1])), priority(args[2:])))
			}
			return "unknown command"
		}
	})
}

// TestRetryBudget runs scripts that count requests and spend retries of a budget.
// Times are in milliseconds.
func TestRetryBudget(t *testing.T) {
	scripter.Run(t, "testdata/retry_budget*.txt", func(t *testing.T) func([]string) string {
		var b RetryBudget
		parseFloat := func(text string) float64 {
			n, err := strconv.ParseFloat(text, 64)
			if err != nil {
				t.Fatal(err)
			}
			return n
		}
		at := func(text string) time.Time {
			return time.Unix(1000, 0).Add(time.Duration(parseFloat(text)) * time.Millisecond)
		}
		return func(args []string) string {
			switch args[0] {
			case "set":
				b.Set(parseFloat(args[1]), parseFloat(args[2]), time.Duration(parseFloat(args[3]))*time.Millisecond)
				return ""
			case "count":
				for range int(parseFloat(args[2])) {
					b.Count()
				}
				return ""
			case "spend":
				n := 0
				for range int(parseFloat(args[2])) {
					ready := b.Ready(at(args[1]))
					if spent := b.Spend(at(args[1])); spent != ready {
						t.Errorf("%v: got: spent %v want: %v, as Ready says", args, spent, ready)
					} else if spent {
						n++
					}
				}
				return fmt.Sprint(n)
			}
			return "unknown command"
		}
	})
}

// TestSlidingMinimum runs scripts that sample values of a window of 1000 ms.
func TestSlidingMinimum(t *testing.T) {
	scripter.Run(t, "testdata/sliding_minimum*.txt", func(t *testing.T) func([]string) string {
		var m SlidingMinimum
		m.SetWindow(time.Second)
		return func(args []string) string {
			ms, err := strconv.Atoi(args[1])
			if err != nil {
				t.Fatal(err)
			}
			now := time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond)
			if args[0] == "value" {
				return fmt.Sprint(m.Value(now))
			}
			value, err := strconv.ParseFloat(args[2], 64)
			if err != nil {
				t.Fatal(err)
			}
			m.Sample(now, value)
			return ""
		}
	})
}
