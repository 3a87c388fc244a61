package apportioner

import (
	"testing"
	"time"
)

// levelOf returns the level of a customer's shared bucket as an entry estimates it.
func levelOf(t *Table, now time.Time, name string) float64 {
	for _, s := range t.Status(now) {
		if s.Customer == name {
			return s.Level
		}
	}
	return 0
}

// TestLastReport guards against admissions that are lost with the entry that made them: one that leaves
// states in its last message what it has admitted since the one before, and the others would admit as
// much again. They must leave it no portion afterwards.
func TestLastReport(t *testing.T) {
	now := time.Unix(1000, 0)
	limits := map[string]Limit{"c": {Rate: 1, Burst: 50}}
	a, b := New(now, "a", 1, 0), New(now, "b", 1, 0)
	now = now.Add(startTime)
	for _, table := range []*Table{a, b} {
		table.Configure(now, limits)
	}
	a.Admit(now, "c")
	exchange := func(m Message) {
		t.Helper()
		if err := a.Receive(now, m); err != nil {
			t.Fatal(err)
		}
	}
	if err := b.Receive(now, a.Report(now, false)); err != nil {
		t.Fatal(err)
	}
	exchange(b.Report(now, false))
	for range 2 {
		b.Admit(now, "c")
		exchange(b.Report(now, false))
	}
	before, admitted := levelOf(a, now, "c"), 0
	for range 20 {
		if b.Admit(now, "c").Admitted {
			admitted++
		}
	}
	b.SetLeaving()
	exchange(b.Report(now, false))
	if after := levelOf(a, now, "c"); admitted == 0 || before-after < float64(admitted)-0.01 {
		t.Errorf("got: level %.1f, before %.1f want: %d less", after, before, admitted)
	}
	if s := a.Status(now); s[0].Fraction != 1 {
		t.Errorf("got: fraction %v beside an entry that left want: 1", s[0].Fraction)
	}
	// A repeated message of an entry that has left must change nothing.
	left := levelOf(a, now, "c")
	exchange(b.Report(now, false))
	if again := levelOf(a, now, "c"); again != left {
		t.Errorf("repeated: got: level %.1f want: %.1f", again, left)
	}
}
