package placer

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Fleet is the upstreams of one service as one entry sees them. Its zero
// value has none.
type Fleet struct {
	// Domain is the failure domain of the entry; upstreams there are nearer.
	Domain string
	// Probes is how often this entry may ask one upstream for its load, a
	// second, by scope, 0 meaning without bound.
	Probes [Scopes]float64
	// Rand breaks ties, nil meaning the shared source.
	Rand *rand.Rand

	// list holds each upstream once, by the order of arrival.
	list []*Upstream
	// usual is the average time from a send to its answer.
	usual time.Duration
	// knee is how many times as long a request takes that is sent to an
	// upstream whose slots are nearly all taken, 0 before any was.
	knee float64
}

// List returns the upstreams. The list must not be changed.
func (f *Fleet) List() []*Upstream { return f.list }

// Find returns the upstream with the ID, or nil.
func (f *Fleet) Find(id string) *Upstream {
	for _, u := range f.list {
		if u.spec.ID == id {
			return u
		}
	}
	return nil
}

// Put makes an upstream known or takes in a change of it. One that started
// anew under its ID, or at another address, begins without a past.
func (f *Fleet) Put(now time.Time, s Spec) {
	u := f.Find(s.ID)
	if u == nil || u.spec.Born != s.Born || u.spec.Addr != s.Addr {
		f.Remove(s.ID)
		u = &Upstream{}
		f.list = append(f.list, u)
	}
	u.spec = s
	u.warm = now.Add(s.Warmup)
}

// Remove forgets an upstream. Its requests in flight still end with Finish.
func (f *Fleet) Remove(id string) {
	i := slices.IndexFunc(f.list, func(u *Upstream) bool { return u.spec.ID == id })
	if i < 0 {
		return
	}
	f.list[i].gone = true
	f.list = slices.Delete(f.list, i, i+1)
}

// Slots returns the slots of all usable upstreams.
func (f *Fleet) Slots(now time.Time) int {
	n := 0
	for _, u := range f.list {
		if u.Usable(now) {
			n += u.Slots()
		}
	}
	return n
}

// kneeShare is the part of the slots in use above which a request that is sent
// may take longer.
const kneeShare = 0.8

// above reports whether one more request would take one of the last slots.
func (u *Upstream) above(now time.Time) bool { return u.busy(now)+1 > kneeShare*float64(u.Slots()) }

// Cost estimates how long one more request takes at the upstream, in units of
// its work: how slow the upstream is at the moment, which holds for the whole
// request, more if it gets one of the last slots, and the wait for one.
func (f *Fleet) Cost(now time.Time, u *Upstream) float64 {
	pace := u.slowness(now)
	if u.above(now) && f.knee > 1 {
		pace *= f.knee
	}
	slots := float64(u.Slots())
	return pace * (1 + max(0, u.busy(now)+1-slots)/slots)
}

// awayCost is what it costs to leave the failure domain, in units of a
// request's usual work: crossing it is slower and is paid by the byte.
const awayCost = 0.35

const (
	// tieBreak spreads questions over upstreams that look alike.
	tieBreak = 0.1
	// silentCost is what a question without an answer costs an upstream.
	silentCost = 0.5
)

// price is the cost of a request at the upstream with what it costs to go
// there and the part of requests that fail there.
func (f *Fleet) price(now time.Time, u *Upstream) float64 {
	c := f.Cost(now, u) + faultCost*u.faulty(now)
	if u.spec.Domain != f.Domain {
		c += awayCost
	}
	return c
}

// candidate is an upstream with the cost of sending to it.
type candidate struct {
	upstream *Upstream
	cost     float64
}

// rank fills dst with the usable upstreams that skip leaves, cheapest first.
func (f *Fleet) rank(now time.Time, skip func(*Upstream) bool) []candidate {
	out := make([]candidate, 0, len(f.list))
	for _, u := range f.list {
		if !u.Usable(now) || skip != nil && skip(u) {
			continue
		}
		c := f.price(now, u) + tieBreak*f.float() + silentCost*float64(u.silent)
		out = append(out, candidate{upstream: u, cost: c})
	}
	slices.SortFunc(out, func(a, b candidate) int {
		switch {
		case a.cost < b.cost:
			return -1
		case a.cost > b.cost:
			return 1
		}
		return 0
	})
	return out
}

func (f *Fleet) float() float64 {
	if f.Rand == nil {
		return rand.Float64()
	}
	return f.Rand.Float64()
}

// Scope says which upstreams a question goes to.
type Scope int

// The scopes of questions.
const (
	// Near means the failure domain of the entry.
	Near Scope = iota
	// Far means the others.
	Far
	// Scopes is how many there are.
	Scopes
)

// Ask appends to dst the upstreams of the scope whose load is to be asked for
// before a request is sent: the n that look best. Those that skip reports are
// passed over, and those whose budget of questions is spent. When load exceeds
// the slots, most questions would go to upstreams that are known to be full, and
// those whose state is not known could not be asked any more: full ones are
// passed over until the estimate leaves room for one more request. When few
// questions are left, fewer are asked at once: one that is answered serves a
// request, and requests that found none left would wait while slots are free.
func (f *Fleet) Ask(dst []*Upstream, now time.Time, n int, scope Scope, skip func(*Upstream) bool) []*Upstream {
	rate := f.Probes[scope]
	ranked := f.rank(now, skip)
	left := 0.0
	ranked = slices.DeleteFunc(ranked, func(c candidate) bool {
		near := c.upstream.spec.Domain == f.Domain
		if near != (scope == Near) || !c.upstream.free(now) {
			return true
		}
		left += c.upstream.left(now, rate)
		return false
	})
	n = min(n, max(1, int(left/sparedFor)))
	for _, c := range ranked {
		if len(dst) == n {
			break
		}
		if c.upstream.pay(now, rate) {
			dst = append(dst, c.upstream)
		}
	}
	return dst
}

// sparedFor is how many requests the questions that are left should do for.
const sparedFor = 2

// Guess returns the upstream to send to without a question, for a request that
// waits while none is left: the one that looks best of those that had slots to
// spare when they last told, whatever the age of that, and are not known to be
// slow. It returns nil if there is none, or if by what was last told most slots
// are taken: the rest may have been taken since.
func (f *Fleet) Guess(now time.Time, skip func(*Upstream) bool) *Upstream {
	slots, taken := 0, 0
	for _, u := range f.list {
		if u.Usable(now) {
			slots, taken = slots+u.Slots(), taken+u.told()
		}
	}
	if float64(taken) > guessShare*float64(slots) {
		return nil
	}
	for _, c := range f.rank(now, skip) {
		if u := c.upstream; u.told()+1 < u.Slots() && u.slowness(now) <= idealSlowness {
			return u
		}
	}
	return nil
}

// guessShare is the part of all slots up to which taken ones leave a guess
// likely to find a free one.
const guessShare = 0.5

// freshFor is the age up to which a report is as good as a question: it is a
// small part of the time for which an upstream stays slow or a slot taken.
const freshFor = 0 * time.Millisecond

// Fresh returns an upstream that told of its load just now and can hardly be
// bettered, nil if there is none. When all slots are taken, the answer that
// frees one says so, and the next request takes it without a question. While
// requests wait, any free slot of an upstream at its usual pace will do.
func (f *Fleet) Fresh(now time.Time, waiting bool, skip func(*Upstream) bool) *Upstream {
	var list []*Upstream
	for _, u := range f.list {
		if !u.report.At.IsZero() && now.Sub(u.report.At) <= freshFor && (skip == nil || !skip(u)) {
			list = append(list, u)
		}
	}
	best := f.Best(now, list)
	switch {
	case best == nil:
		return nil
	case waiting && best.slowness(now) <= idealSlowness:
		return best
	case best.spec.Domain == f.Domain && f.Ideal(now, best):
		return best
	}
	return nil
}

// Ideal reports whether an upstream that was just heard of can hardly be
// bettered by others of its scope: it works at its usual pace, and has slots
// to spare.
func (f *Fleet) Ideal(now time.Time, u *Upstream) bool {
	return u.Usable(now) && u.slowness(now) <= idealSlowness && !u.above(now) && u.faulty(now) < idealFaults
}

// Enough reports whether no upstream of another failure domain can be better
// than u, which was just heard of, by more than it costs to go there.
func (f *Fleet) Enough(now time.Time, u *Upstream) bool {
	return u != nil && f.price(now, u) <= 1+awayCost
}

const (
	// idealSlowness is the pace that counts as usual.
	idealSlowness = 1.1
	// idealFaults is the part of failed requests that counts as chance.
	idealFaults = 0.1
)

// busyMargin is how far the estimate of what an upstream runs may be above
// its room: what is left of a report that fades is no whole request.
const busyMargin = 0.5

// free reports whether the upstream has room for one more request.
func (u *Upstream) free(now time.Time) bool { return u.busy(now)+1 <= float64(u.Slots())+busyMargin }

// Best returns the upstream among those asked that a request is best sent to,
// nil if none has a free slot. The first request of several at once takes the
// slot: the count of the entry's own is part of the estimate.
func (f *Fleet) Best(now time.Time, asked []*Upstream) *Upstream {
	var best *Upstream
	lowest := 0.0
	for _, u := range asked {
		if !u.Usable(now) || !u.free(now) {
			continue
		}
		c := f.price(now, u)
		if best == nil || c < lowest {
			best, lowest = u, c
		}
	}
	return best
}

// waitCost is the cost from which it is better to wait for another upstream: a
// slow phase passes sooner than a request that is sent into it.
const waitCost = 2.2

// Worth reports whether a request is to be sent to the upstream rather than to
// wait for a better one: if it is answered by the time at which the answer is
// worth most, or hardly later than anywhere.
func (f *Fleet) Worth(now time.Time, u *Upstream, work *Work, due time.Time) bool {
	cost := f.Cost(now, u)
	return cost < waitCost || !now.Add(time.Duration(cost*float64(work.Usual()))).After(due)
}

// Hear takes in what an upstream tells of its load.
func (f *Fleet) Hear(u *Upstream, r Report) { u.hear(r) }

// Usual returns the average time from a send to its answer, 0 before any.
func (f *Fleet) Usual() time.Duration { return f.usual }

// Disown keeps an upstream out for good: another one answers at its address.
func (f *Fleet) Disown(u *Upstream) { u.gone = true }
