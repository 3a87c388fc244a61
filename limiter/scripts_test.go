package limiter

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"poplarwind/internal/scripter"
)

// TestLine runs the scripts of waiting requests. Times are in milliseconds.
func TestLine(t *testing.T) {
	scripter.Run(t, "testdata/queue*.txt", func(t *testing.T) func([]string) string {
		var l Line[string]
		ms := func(text string) time.Duration {
			n, err := strconv.Atoi(text)
			if err != nil {
				t.Fatal(err)
			}
			return time.Duration(n) * time.Millisecond
		}
		epoch := time.Unix(1000, 0)
		place := func(args []string) Place {
			rank, err := strconv.Atoi(args[0])
			if err != nil {
				t.Fatal(err)
			}
			return Place{Rank: rank, Due: epoch.Add(ms(args[1])), Needs: ms(args[2])}
		}
		return func(args []string) string {
			switch args[0] {
			case "push":
				l.Push(args[1], place(args[2:]))
				return ""
			case "take":
				v, ok := l.First(epoch.Add(ms(args[1])))
				if !ok {
					return "none"
				}
				l.Remove(v)
				return v
			case "ahead":
				return fmt.Sprint(l.Ahead(epoch.Add(ms(args[1])), place(args[2:])))
			}
			return "unknown command"
		}
	})
}

// TestRation runs the scripts of requests sent again. Times are in
// milliseconds.
func TestRation(t *testing.T) {
	scripter.Run(t, "testdata/retry_budget*.txt", func(t *testing.T) func([]string) string {
		var r Ration
		number := func(text string) float64 {
			n, err := strconv.ParseFloat(text, 64)
			if err != nil {
				t.Fatal(err)
			}
			return n
		}
		at := func(text string) time.Time {
			return time.Unix(1000, 0).Add(time.Duration(number(text)) * time.Millisecond)
		}
		return func(args []string) string {
			switch args[0] {
			case "set":
				r.Set(number(args[1]), number(args[2]), time.Duration(number(args[3]))*time.Millisecond)
				return ""
			case "count":
				for range int(number(args[2])) {
					r.Count(at(args[1]))
				}
				return ""
			case "spend":
				n := 0
				for range int(number(args[2])) {
					if r.Spend(at(args[1])) {
						n++
					}
				}
				return fmt.Sprint(n)
			}
			return "unknown command"
		}
	})
}
