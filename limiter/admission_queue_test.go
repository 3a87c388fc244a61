package limiter

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestQueueOrderOfSingleRequests compares the order of a queue in which each flow has at most one
// request with that of a sorted list, under random pushes, removals and pops, and the estimates with
// the numbers of requests ahead. It guards against fair queueing that changes the order or the
// estimate where there is nothing to divide.
func TestQueueOrderOfSingleRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lateLast := rapid.Bool().Draw(t, "late last")
		q := Queue[int]{LateLast: lateLast}
		waiting := make(map[int]Priority)
		now := time.Unix(1000, 0)
		compare := func(a, b int) int {
			p, r := waiting[a], waiting[b]
			late := func(p Priority) int {
				if p.late(now) {
					return 1
				}
				return 0
			}
			first := 0
			if lateLast {
				first = cmp.Compare(late(p), late(r))
			}
			return cmp.Or(first, cmp.Compare(p.Rank, r.Rank), cmp.Compare(late(p), late(r)), p.Due.Compare(r.Due), cmp.Compare(a, b))
		}
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
			var sorted []int
			for v := range waiting {
				sorted = append(sorted, v)
			}
			slices.SortFunc(sorted, compare)
			action := rapid.SampledFrom([]string{"push", "push", "push", "remove", "first"}).Draw(t, "action")
			switch {
			case action == "push":
				p := Priority{
					Rank: rapid.IntRange(0, 2).Draw(t, "rank"), Due: now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "due")) * time.Millisecond),
					Latency: 100 * time.Millisecond, Flow: uint64(i),
				}
				q.Push(i, p)
				waiting[i] = p
			case len(sorted) == 0:
			case action == "remove":
				v := sorted[rapid.IntRange(0, len(sorted)-1).Draw(t, "index")]
				if !q.Remove(v) || q.Remove(v) {
					t.Fatalf("remove %d: got: not removed exactly once want: removed exactly once", v)
				}
				delete(waiting, v)
			default:
				// First and Remove don't count for the guaranteed fractions.
				if v, ok := q.First(now); !ok || v != sorted[0] {
					t.Fatalf("first: got: %d, %v want: %d", v, ok, sorted[0])
				}
				q.Remove(sorted[0])
				delete(waiting, sorted[0])
			}
			if q.Len() != len(waiting) {
				t.Fatalf("length: got: %d want: %d", q.Len(), len(waiting))
			}
			for v, p := range waiting {
				ahead, outranked := 0, false
				for w, r := range waiting {
					if compare(w, v) < 0 && (r.Rank != p.Rank || r.late(now) != p.late(now) || r.Due.Before(p.Due)) {
						ahead++
						outranked = outranked || r.Rank != p.Rank || r.late(now) != p.late(now)
					}
				}
				// The guaranteed fractions take slots from the requests ahead, and give some to those
				// behind other classes.
				got := q.Ahead(now, p)
				if got > ahead+ahead/7 || (got == 0) != (ahead == 0) || got < ahead && !outranked {
					t.Fatalf("ahead: got: %d want: %d", got, ahead)
				}
			}
		}
	})
}

// TestQueueConsistent pushes, pops and removes requests of few flows at random. It guards against
// requests that are lost or come out twice, and against an estimate that says that nothing is ahead
// of a request behind others, or more than wait.
func TestQueueConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := Queue[int]{LateLast: rapid.Bool().Draw(t, "late last")}
		waiting := make(map[int]Priority)
		now := time.Unix(1000, 0)
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"push", "push", "push", "pop", "remove"}).Draw(t, "action") {
			case "push":
				p := Priority{
					Rank: rapid.IntRange(0, 2).Draw(t, "rank"), Due: now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "due")) * time.Millisecond),
					Latency: time.Duration(rapid.IntRange(0, 200).Draw(t, "latency")) * time.Millisecond, Flow: uint64(rapid.IntRange(0, 4).Draw(t, "flow")),
				}
				q.Push(i, p)
				waiting[i] = p
				if got := q.Ahead(now, p); got < 0 || got > q.Len() {
					t.Fatalf("ahead: got: %d of %d want: 0 to all", got, q.Len())
				}
			case "pop":
				v, ok := q.Pop(now)
				if _, has := waiting[v]; ok != (len(waiting) > 0) || ok && !has {
					t.Fatalf("pop: got: %d, %v want: one of %d", v, ok, len(waiting))
				}
				delete(waiting, v)
			case "remove":
				v := rapid.IntRange(0, i).Draw(t, "value")
				if _, has := waiting[v]; q.Remove(v) != has {
					t.Fatalf("remove %d: got: %v want: %v", v, !has, has)
				}
				delete(waiting, v)
			}
			if q.Len() != len(waiting) {
				t.Fatalf("length: got: %d want: %d", q.Len(), len(waiting))
			}
		}
		for range len(waiting) {
			v, _ := q.Pop(now)
			delete(waiting, v)
		}
		if _, ok := q.Pop(now); ok || len(waiting) > 0 {
			t.Fatalf("got: %d left want: none", len(waiting))
		}
	})
}

// fillQueue returns a queue with 10,000 requests of 1,000 flows, and a function that pushes a further one,
// estimates the number ahead of it, and pops one.
func fillQueue() (*Queue[int], func()) {
	q, now, i := &Queue[int]{LateLast: true}, time.Unix(1000, 0), 0
	push := func() Priority {
		p := Priority{
			Rank: i % 3, Due: now.Add(time.Duration(500+i*7919%3000) * time.Millisecond), Latency: time.Duration(200+i%5*100) * time.Millisecond,
			Flow: uint64(i * 31 % 1000),
		}
		q.Push(i, p)
		i++
		return p
	}
	for range 10000 {
		push()
	}
	return q, func() {
		now = now.Add(50 * time.Microsecond)
		q.Ahead(now, push())
		q.Pop(now)
	}
}

// TestQueueAllocations guards against memory allocated for each request of a long queue.
func TestQueueAllocations(t *testing.T) {
	_, step := fillQueue()
	for range 30000 {
		step()
	}
	if got := testing.AllocsPerRun(20000, step); got != 0 {
		t.Errorf("got: %v allocations per request want: none", got)
	}
}

// BenchmarkAdmissionQueue pushes a request to a queue with 10,000 of 1,000 flows, estimates the
// number ahead of it, and pops one.
func BenchmarkAdmissionQueue(b *testing.B) {
	q, step := fillQueue()
	b.ReportAllocs()
	for b.Loop() {
		step()
	}
	if q.Len() != 10000 {
		b.Fatalf("got: %d want: 10000", q.Len())
	}
}

// TestDepthCounts compares sums with those of a slice, under random changes. It guards against estimates
// that miss flows with many requests.
func TestDepthCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d depthCounts
		var want [100]int
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			depth, n := rapid.IntRange(1, len(want)).Draw(t, "depth"), rapid.IntRange(-3, 3).Draw(t, "n")
			d.add(depth, n)
			want[depth-1] += n
			sum := 0
			for i, n := range want {
				sum += n
				if got := d.sum(i + 1); got != sum || d.count(i+1) != n {
					t.Fatalf("depth %d: got: sum %d, count %d want: %d, %d", i+1, got, d.count(i+1), sum, n)
				}
			}
		}
	})
}
