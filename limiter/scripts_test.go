package limiter

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"poplarwind/internal/scripter"
)

// TestAdmissionQueue runs scripts that push requests to an admission queue and
// pop them. Times are in milliseconds. Fill pushes several requests with successive
// due times, and take pops several and counts them by what they were filled with.
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
			p := Priority{Rank: rank, Due: epoch.Add(ms(args[1])), Latency: ms(args[2])}
			if len(args) > 3 {
				p.Flow = uint64(ms(args[3]))
			}
			return p
		}
		return func(args []string) string {
			switch args[0] {
			case "push":
				q.Push(args[1], priority(args[2:]))
				return ""
			case "late_last":
				q.LateLast = true
				return ""
			case "fill":
				p := priority(args[3:])
				for i := range int(ms(args[2]) / time.Millisecond) {
					q.Push(fmt.Sprint(args[1], i), p)
					p.Due = p.Due.Add(time.Millisecond)
				}
				return ""
			case "take":
				counts := make(map[string]int)
				for range int(ms(args[2]) / time.Millisecond) {
					v, _ := q.Pop(epoch.Add(ms(args[1])))
					counts[strings.TrimRight(v, "0123456789")]++
				}
				return strings.TrimSuffix(strings.TrimPrefix(fmt.Sprint(counts), "map["), "]")
			case "remove":
				return fmt.Sprint(q.Remove(args[1]))
			case "pop":
				v, ok := q.Pop(epoch.Add(ms(args[1])))
				if !ok {
					return "none"
				}
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
