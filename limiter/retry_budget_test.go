package limiter

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRetriesOfMovingLoad has entries whose requests all fail, between which the load moves
// and which are restarted at random: in any window, their retries together exceed the ratio
// of the requests and the allowances by no more than what each entry may save up.
func TestRetriesOfMovingLoad(t *testing.T) {
	const ratio, allowance, window = 0.2, 5, 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		entries := make([]RetryBudget, rapid.IntRange(1, 8).Draw(t, "entries"))
		restarts := 0
		set := func(i int) { entries[i].Set(ratio, allowance, window) }
		for i := range entries {
			set(i)
		}
		now, busy := time.Unix(1000, 0), 0
		var requests, retries []time.Time
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"load", "load", "move", "restart", "pause"}).Draw(t, "event") {
			case "load":
				for range rapid.IntRange(1, 60).Draw(t, "requests") {
					now = now.Add(20 * time.Millisecond)
					entries[busy].Count()
					requests = append(requests, now)
					if entries[busy].Spend(now) {
						retries = append(retries, now)
					}
				}
			case "move":
				busy = rapid.IntRange(0, len(entries)-1).Draw(t, "busy")
			case "restart":
				i := rapid.IntRange(0, len(entries)-1).Draw(t, "entry")
				entries[i] = RetryBudget{}
				set(i)
				restarts++
			case "pause":
				now = now.Add(time.Duration(rapid.IntRange(1, 12000).Draw(t, "ms")) * time.Millisecond)
			}
		}
		for i, end := range retries {
			n, of := 0, 0
			for _, at := range retries[:i+1] {
				if end.Sub(at) < window {
					n++
				}
			}
			for _, at := range requests {
				if !at.After(end) && end.Sub(at) < window {
					of++
				}
			}
			if bound := ratio*float64(of) + float64(len(entries)+restarts)*(allowance+maxEarned); float64(n) > bound {
				t.Fatalf("got: %d retries of %d requests in a window want: at most %v", n, of, bound)
			}
		}
	})
}
