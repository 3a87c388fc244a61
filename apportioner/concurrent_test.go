package apportioner

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// TestConcurrentUse guards against data races and deadlocks between requests, reports and configurations.
// It is of use with the race detector.
func TestConcurrentUse(t *testing.T) {
	limits := func(rate float64) map[string]Limit {
		return map[string]Limit{"a": {Rate: rate, Burst: rate}, "b": {Rate: 5, Burst: 5}}
	}
	now := time.Unix(1000, 0)
	table, other := New(now, "e1", 1, testSlack), New(now, "e2", 1, testSlack)
	table.Configure(now, limits(10))
	other.Configure(now, limits(10))
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			for n := range 500 {
				at := now.Add(time.Duration(n) * 10 * time.Millisecond)
				name := []string{"a", "b", "none"}[n%3]
				if table.Admit(at, name).Admitted && !table.Send(at, name, time.Duration(n%2)*time.Second).Admitted {
					table.Return(at, name)
				}
				switch (n + i) % 5 {
				case 0:
					other.Admit(at, name)
					if err := table.Receive(at, other.Report(at, n%2 == 0)); err != nil {
						t.Error(err)
					}
				case 1:
					table.Configure(at, limits(float64(1+n%20)))
				case 2:
					table.SetMembership(at, Membership{Few: n%7 == 0})
					table.Exchanged()
				case 3:
					if err := table.Receive(at, Message{From: fmt.Sprint("e", n%9), Epoch: int64(n), Leaving: n%4 == 0}); err != nil {
						t.Error(err)
					}
				default:
					_, _, _, _ = table.Status(at), table.Totals(), table.MostRejected(at, 20), table.Urgent(at)
				}
			}
		})
	}
	wg.Wait()
	for _, s := range table.Status(now.Add(time.Minute)) {
		if !(s.Level <= s.Burst+testSlack) || !(s.Fraction >= 0 && s.Fraction <= 1) {
			t.Errorf("got: %+v want: a level and a fraction within bounds", s)
		}
	}
}
