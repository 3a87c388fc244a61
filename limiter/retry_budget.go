package limiter

import "time"

// rationParts is how many steps a Ration's window is counted in.
const rationParts = 10

// Ration bounds the requests that are sent again, so that retries don't add
// to the load of upstreams that fail because of it. In any window, at most
// share of the window's requests and an allowance may be repeated. It is
// local to an entry: the allowance is this entry's part of that of all, so
// that all of them together stay within the whole without speaking to each
// other. Its zero value allows nothing. It is not safe for concurrent use.
type Ration struct {
	share, allowance float64
	step             time.Duration
	// epoch is the first time that was seen: steps are counted from it by the
	// steady clock, which a change of the time of day does not move.
	epoch time.Time
	// parts[i] counts the steps that leave remainder i;
	// stamps[i] is which step that was.
	parts  [rationParts]struct{ requests, repeats int }
	stamps [rationParts]int64
}

// Set changes the bounds. A change of window forgets what was counted.
func (r *Ration) Set(share, allowance float64, window time.Duration) {
	r.share, r.allowance = share, allowance
	if step := window / rationParts; step != r.step {
		*r = Ration{share: share, allowance: allowance, step: step}
	}
}

// at returns the place of the step that now is in.
func (r *Ration) at(now time.Time) int {
	if r.step <= 0 {
		return 0
	}
	if r.epoch.IsZero() {
		r.epoch = now
	}
	// The first step is one whole window in, so that no stamp is that of a step
	// that was never counted.
	n := rationParts + int64(max(0, now.Sub(r.epoch))/r.step)
	i := int(n % rationParts)
	if r.stamps[i] != n {
		r.stamps[i] = n
		r.parts[i].requests, r.parts[i].repeats = 0, 0
	}
	return i
}

// Count takes in one request.
func (r *Ration) Count(now time.Time) { r.parts[r.at(now)].requests++ }

// Spend takes one repeat out of the ration, if there is one left.
func (r *Ration) Spend(now time.Time) bool {
	if r.step <= 0 {
		return false
	}
	i := r.at(now)
	requests, repeats := 0, 0
	for k, p := range r.parts {
		if r.stamps[k] > 0 && r.stamps[i]-r.stamps[k] < rationParts {
			requests += p.requests
			repeats += p.repeats
		}
	}
	if float64(repeats+1) > r.share*float64(requests)+r.allowance {
		return false
	}
	r.parts[i].repeats++
	return true
}
