package limiter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"poplarwind/internal/scripter"
)

// replayRequest is one request of a replay.
type replayRequest struct {
	source              string
	priority            Priority
	first, at, deadline time.Time
	returns             bool
}

// replayOutcome counts the requests of a source by outcome.
type replayOutcome struct {
	total, inTime, late, rejected int
	// returned holds the times at which rejected requests were sent again.
	returned []time.Time
	// slowest is the longest wait of a request that was served.
	slowest time.Duration
	// early counts the requests that were sent again and rejected again.
	early int
}

// replay is a queue in front of slots that become free at regular intervals. It decides like an entry:
// a request whose expected wait is longer than its deadline allows is rejected.
type replay struct {
	t        *testing.T
	epoch    time.Time
	requests []*replayRequest
	queue    Queue[*replayRequest]
	waiting  []*replayRequest
	interval time.Duration
	random   *rand.Rand
	outcomes map[string]*replayOutcome
}

// values parses arguments of the form name=number.
func (r *replay) values(args []string) map[string]int {
	out := make(map[string]int)
	for _, a := range args {
		name, text, _ := strings.Cut(a, "=")
		n, err := strconv.Atoi(text)
		if err != nil {
			r.t.Fatalf("%s: got: %v want: a number", a, err)
		}
		out[name] = n
	}
	return out
}

// source adds count requests from a time on, gap_us apart.
func (r *replay) source(name string, v map[string]int) {
	ms := func(name string) time.Duration { return time.Duration(v[name]) * time.Millisecond }
	if r.outcomes[name] == nil {
		r.outcomes[name] = &replayOutcome{}
	}
	for i := range v["count"] {
		at := r.epoch.Add(ms("from") + time.Duration(i*v["gap_us"])*time.Microsecond)
		r.requests = append(r.requests, &replayRequest{
			source: name, first: at, at: at, deadline: at.Add(ms("deadline")), returns: v["returns"] > 0,
			priority: Priority{Rank: v["rank"], Due: at.Add(ms("objective")), Latency: ms("latency"), Flow: uint64(v["flow"])},
		})
		r.outcomes[name].total++
	}
}

// cannotMeetDeadline reports whether a request with ahead others before it is expected to miss its
// deadline, and the expected wait.
func (r *replay) cannotMeetDeadline(now time.Time, x *replayRequest, ahead int) (time.Duration, bool) {
	wait := time.Duration(ahead) * r.interval
	return wait, now.Add(wait + x.priority.Latency).After(x.deadline)
}

// reject rejects a request, which may return once.
func (r *replay) reject(now time.Time, x *replayRequest, wait time.Duration) {
	o := r.outcomes[x.source]
	if !x.returns {
		o.rejected++
		if x.at != x.first {
			o.early++
		}
		return
	}
	retryAfter := RetryAfter(wait, r.random.Float64())
	if retryAfter < wait {
		r.t.Errorf("got: %v want: at least the wait %v", retryAfter, wait)
	}
	again := *x
	timeout, objective := x.deadline.Sub(x.at), x.priority.Due.Sub(x.at)
	again.returns, again.at = false, now.Add(retryAfter)
	again.deadline, again.priority.Due = again.at.Add(timeout), again.at.Add(objective)
	o.returned = append(o.returned, again.at)
	i, _ := slices.BinarySearchFunc(r.requests, again.at, func(x *replayRequest, at time.Time) int { return x.at.Compare(at) })
	r.requests = slices.Insert(r.requests, i, &again)
}

// run replays all requests.
func (r *replay) run() {
	slices.SortStableFunc(r.requests, func(a, b *replayRequest) int { return a.at.Compare(b.at) })
	const step, checkInterval = time.Millisecond, 100 * time.Millisecond
	for elapsed := time.Duration(0); len(r.requests) > 0 || r.queue.Len() > 0; elapsed += step {
		now := r.epoch.Add(elapsed)
		for len(r.requests) > 0 && !r.requests[0].at.After(now) {
			x := r.requests[0]
			r.requests = r.requests[1:]
			if wait, miss := r.cannotMeetDeadline(now, x, r.queue.Ahead(now, x.priority)+1); miss {
				r.reject(now, x, wait)
				continue
			}
			r.queue.Push(x, x.priority)
			r.waiting = append(r.waiting, x)
		}
		if elapsed%checkInterval == 0 {
			r.waiting = slices.DeleteFunc(r.waiting, func(x *replayRequest) bool {
				_, miss := r.cannotMeetDeadline(now, x, r.queue.Ahead(now, x.priority))
				if miss {
					r.queue.Remove(x)
					p := x.priority
					p.Due = p.Due.Add(now.Sub(x.at))
					r.reject(now, x, time.Duration(r.queue.Ahead(now, p)+1)*r.interval)
				}
				return miss
			})
		}
		if elapsed%r.interval != 0 {
			continue
		}
		if x, ok := r.queue.Pop(now); ok {
			r.waiting = slices.DeleteFunc(r.waiting, func(y *replayRequest) bool { return x == y })
			o := r.outcomes[x.source]
			o.slowest = max(o.slowest, now.Sub(x.at))
			if x.priority.late(now) {
				o.late++
			} else {
				o.inTime++
			}
		}
	}
}

// mostReturned returns the largest fraction of the requests sent again that were sent within 100 ms.
func (o *replayOutcome) mostReturned() float64 {
	slices.SortFunc(o.returned, time.Time.Compare)
	most, first := 0, 0
	for i, at := range o.returned {
		for at.Sub(o.returned[first]) >= 100*time.Millisecond {
			first++
		}
		most = max(most, i-first+1)
	}
	return float64(most) / float64(max(1, len(o.returned)))
}

// TestAdmissionReplay replays load patterns from data files and compares what each source got with
// bounds. Each file says what it guards against.
func TestAdmissionReplay(t *testing.T) {
	scripter.Run(t, "testdata/replay*.txt", func(t *testing.T) func([]string) string {
		r := &replay{t: t, epoch: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 2)), outcomes: make(map[string]*replayOutcome)}
		return func(args []string) string {
			switch args[0] {
			case "source":
				r.source(args[1], r.values(args[2:]))
				return ""
			case "run":
				v := r.values(args[1:])
				r.interval, r.queue.LateLast = time.Duration(v["interval"])*time.Millisecond, v["late_last"] > 0
				r.run()
				return ""
			}
			o := r.outcomes[args[1]]
			got := map[string]float64{
				"in_time": float64(o.inTime) / float64(o.total), "late": float64(o.late) / float64(o.total), "rejected": float64(o.rejected) / float64(o.total),
				"rejected_again": float64(o.early) / float64(max(1, len(o.returned))), "returned_at_once": o.mostReturned(), "slowest": o.slowest.Seconds(),
			}
			value, ok := got[args[0]]
			bound, err := strconv.ParseFloat(args[3], 64)
			if !ok || err != nil {
				return "unknown command"
			}
			if args[2] == "min" && value >= bound || args[2] == "max" && value <= bound {
				return "ok"
			}
			return fmt.Sprintf("%.3f", value)
		}
	})
}
