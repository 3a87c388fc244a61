package limiter

import (
	"slices"
	"time"
)

// Priority holds the properties that determine a request's position in the
// admission queue.
type Priority struct {
	// Rank is the urgency of the route; 0 is the most urgent.
	Rank int
	// Due is the time until which the response has its full value.
	Due time.Time
	// Latency is the expected time from send to response.
	Latency time.Duration
	// Flow identifies the customer or caller. Flows of a rank get equal numbers of slots
	// while they have requests waiting.
	Flow uint64
}

// late reports whether the response is expected after Due.
func (p Priority) late(now time.Time) bool { return now.Add(p.Latency).After(p.Due) }

// cost is the expected use of a slot. Before the first response it is not known.
func (p Priority) cost() float64 { return float64(max(p.Latency, time.Millisecond)) }

const (
	// rankShare is the guaranteed fraction of the slot time for each rank that waits behind a
	// more urgent one, and maxRankShare bounds the sum for all of them, since customers may
	// have any number of ranks.
	rankShare    = 1. / 8
	maxRankShare = 1. / 2
	// lateShare is the guaranteed fraction for late requests. A late response has about a
	// tenth of the value, so this costs at most one in 16 of the responses in time.
	lateShare = 1. / 16
)

// Queue is an admission queue of requests that wait for a slot. It orders them by rank, then
// those that can still be answered in time before those that are late, then in turns of the
// flows, and then by due time. When load exceeds the slots for a while, late requests are
// deferred so that the others do not become late as well. Lower ranks and late requests have
// small guaranteed fractions of the slot time, by expected latency. Its zero value is empty. It
// is not safe for concurrent use.
//
// The order of flows addresses the load pattern that one of them sends many times as much as the
// others: a flow that has no request waiting may be served at once, one that was served may be
// served again after one request of each other waiting flow on average. Among the flows that may
// be served, the earliest due time is first. With at most one request of each flow the order is
// therefore that of due times.
type Queue[T comparable] struct {
	// LateLast puts late requests behind those of all ranks that can be in time, instead of
	// behind those of their own rank only.
	LateLast bool

	// base is the time from which the times of items are counted.
	base  time.Time
	items map[T]*queueItem[T]
	// ranks holds the classes of each rank, by rank.
	ranks []*queueRank[T]
	// inTime holds the items that are not late, the one that will be late first at the front.
	inTime indexedHeap[*queueItem[T]]
	// cost is the sum of the costs of all items.
	cost float64
	// lateCredit is the part of its guaranteed slot time that late requests did not use yet.
	lateCredit float64
	// sequence numbers items, and random is the state of the generator for the balance of trees.
	sequence uint64
	random   uint32
	// freeItems holds items for reuse.
	freeItems []*queueItem[T]
	freeFlows []*queueFlow[T]
}

// queueRank is the waiting requests of one rank.
type queueRank[T comparable] struct {
	rank         int
	inTime, late *queueClass[T]
	// credit is the part of its guaranteed slot time that the rank did not use yet.
	credit float64
}

// queueItem is a waiting request.
type queueItem[T comparable] struct {
	value    T
	priority Priority
	// due and lateAt are the times of Due and of becoming late since the queue's base.
	due, lateAt time.Duration
	sequence    uint64
	flow        *queueFlow[T]
	// lateIndex is the index in Queue.inTime.
	lateIndex int
	nodes     [trees]treeNode[T]
}

// maxFree bounds the unused items, flows and ranks that an empty queue keeps, because memory that
// a burst needed once is expensive.
const maxFree = 64

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return len(q.items) }

// Push adds a request, which must not be in the queue.
func (q *Queue[T]) Push(v T, p Priority) {
	if q.items == nil {
		q.items, q.base, q.random = make(map[T]*queueItem[T]), p.Due, 1
		q.inTime = indexedHeap[*queueItem[T]]{
			less:  func(a, b *queueItem[T]) bool { return a.lateAt < b.lateAt },
			moved: func(x *queueItem[T], i int) { x.lateIndex = i },
		}
	}
	x := takeFree(&q.freeItems)
	q.sequence++
	due := p.Due.Sub(q.base)
	*x = queueItem[T]{value: v, priority: p, due: due, lateAt: due - p.Latency, sequence: q.sequence}
	for i := range x.nodes {
		// Xorshift.
		q.random ^= q.random << 13
		q.random ^= q.random >> 17
		q.random ^= q.random << 5
		x.nodes[i].weight = q.random
	}
	q.items[v] = x
	q.cost += p.cost()
	q.inTime.push(x)
	q.add(q.rank(p.Rank).inTime, x)
}

// takeFree returns an unused element, a new one if there is none.
func takeFree[E any](free *[]*E) *E {
	n := len(*free)
	if n == 0 {
		return new(E)
	}
	e := (*free)[n-1]
	*free = (*free)[:n-1]
	return e
}

// add adds an item to a class.
func (q *Queue[T]) add(c *queueClass[T], x *queueItem[T]) {
	f := c.flows[x.priority.Flow]
	if f == nil {
		f = takeFree(&q.freeFlows)
		*f = queueFlow[T]{id: x.priority.Flow, class: c}
		c.addFlow(f)
	}
	c.add(f, x)
}

// detach removes an item from its class.
func (q *Queue[T]) detach(x *queueItem[T]) {
	f := x.flow
	f.class.remove(x)
	if f.first == nil {
		*f = queueFlow[T]{}
		q.freeFlows = append(q.freeFlows, f)
	}
}

// Remove removes a request and reports whether it was in the queue.
func (q *Queue[T]) Remove(v T) bool {
	x := q.items[v]
	if x == nil {
		return false
	}
	if !x.flow.class.late {
		q.inTime.remove(x.lateIndex)
	}
	q.detach(x)
	q.cost -= x.priority.cost()
	delete(q.items, v)
	*x = queueItem[T]{}
	q.freeItems = append(q.freeItems, x)
	if len(q.items) == 0 {
		q.trim()
	}
	return true
}

// trim discards memory that an empty queue does not need.
func (q *Queue[T]) trim() {
	q.cost = 0
	if len(q.freeItems) <= maxFree && len(q.ranks) <= maxFree {
		return
	}
	*q = Queue[T]{LateLast: q.LateLast}
}

// rank returns the classes of a rank.
func (q *Queue[T]) rank(rank int) *queueRank[T] {
	i, ok := slices.BinarySearchFunc(q.ranks, rank, func(r *queueRank[T], rank int) int { return r.rank - rank })
	if !ok {
		q.ranks = slices.Insert(q.ranks, i, &queueRank[T]{rank: rank, inTime: newQueueClass[T](false), late: newQueueClass[T](true)})
	}
	return q.ranks[i]
}

// update moves the requests that have become late.
func (q *Queue[T]) update(now time.Time) {
	at := now.Sub(q.base)
	for len(q.inTime.list) > 0 && q.inTime.list[0].lateAt < at {
		x := q.inTime.list[0]
		q.inTime.remove(0)
		q.detach(x)
		q.add(q.rank(x.priority.Rank).late, x)
	}
}

// First returns the next request without removing it, or false if the queue is
// empty.
func (q *Queue[T]) First(now time.Time) (T, bool) {
	q.update(now)
	_, c := q.choose()
	if c == nil {
		var none T
		return none, false
	}
	return c.next().first.value, true
}

// Pop removes the next request and returns it, or false if the queue is empty. The slot time that
// it is expected to use counts for the turns of flows and the guaranteed fractions.
func (q *Queue[T]) Pop(now time.Time) (T, bool) {
	q.update(now)
	r, c := q.choose()
	if c == nil {
		var none T
		return none, false
	}
	f := c.next()
	x := f.first
	v := x.value
	q.charge(r, c, x.priority.cost())
	c.charge(f)
	q.Remove(v)
	return v, true
}

// waiting returns the class of a rank that its guaranteed fraction serves, nil if nothing waits.
// With LateLast, late requests have a fraction of their own only.
func (q *Queue[T]) waiting(r *queueRank[T]) *queueClass[T] {
	switch {
	case r.inTime.len() > 0:
		return r.inTime
	case !q.LateLast && r.late.len() > 0:
		return r.late
	}
	return nil
}

// ordinary returns the class that is first by the order alone, nil if the queue is empty.
func (q *Queue[T]) ordinary() (*queueRank[T], *queueClass[T]) {
	for _, r := range q.ranks {
		if c := q.waiting(r); c != nil {
			return r, c
		}
	}
	for _, r := range q.ranks {
		if r.late.len() > 0 {
			return r, r.late
		}
	}
	return nil, nil
}

// oldestLate returns the late class whose next request has the earliest due time, nil if no late
// request waits. The rank has no influence, so that no rank starves among late requests.
func (q *Queue[T]) oldestLate() (rank *queueRank[T], class *queueClass[T]) {
	for _, r := range q.ranks {
		if r.late.len() > 0 && (class == nil || r.late.next().first.due < class.next().first.due) {
			rank, class = r, r.late
		}
	}
	return rank, class
}

// suffices reports whether a credit covers the next request of a class. Credits are sums of fractions,
// which rounding must not leave short of a whole.
func suffices[T comparable](credit float64, c *queueClass[T]) bool {
	return credit >= (1-creditError)*c.next().first.priority.cost()
}

const creditError = 1e-9

// choose returns the class of the next request, nil if the queue is empty.
func (q *Queue[T]) choose() (*queueRank[T], *queueClass[T]) {
	first, class := q.ordinary()
	if class == nil {
		return nil, nil
	}
	for _, r := range q.ranks {
		if c := q.waiting(r); r != first && c != nil && suffices(r.credit, c) {
			return r, c
		}
	}
	if r, c := q.oldestLate(); c != nil && suffices(q.lateCredit, c) {
		return r, c
	}
	return first, class
}

// shareOf returns the guaranteed fraction of each of a number of ranks that wait behind a more urgent one.
func shareOf(lower int) float64 { return min(rankShare, maxRankShare/float64(max(1, lower))) }

// charge counts slot time that a request of a class uses for the guaranteed fractions of the
// others.
func (q *Queue[T]) charge(chosen *queueRank[T], class *queueClass[T], cost float64) {
	first, _ := q.ordinary()
	lower := 0
	for _, r := range q.ranks {
		if r != first && q.waiting(r) != nil {
			lower++
		}
	}
	share := shareOf(lower)
	for _, r := range q.ranks {
		switch {
		case r == chosen:
			if !q.LateLast || !class.late {
				r.credit = max(0, r.credit-cost)
			}
		case r != first && q.waiting(r) != nil:
			r.credit += cost * share / (1 - share)
		}
	}
	switch _, late := q.oldestLate(); {
	case late == class:
		q.lateCredit = max(0, q.lateCredit-cost)
	case late != nil:
		q.lateCredit += cost * lateShare / (1 - lateShare)
	}
}

// Ahead estimates how many waiting requests are served before one with priority p, which may be
// in the queue itself. It is 0 only if p is first by the order.
func (q *Queue[T]) Ahead(now time.Time, p Priority) int {
	if len(q.items) == 0 {
		return 0
	}
	q.update(now)
	due, late := p.Due.Sub(q.base), p.late(now)
	before, own, after := 0, 0, 0
	// outranked is set if a more urgent rank waits. lower is the number of ranks that wait behind one,
	// if that of p is one of them, ownRank the number of requests that use the fraction of its rank
	// before it, and olderLate the number of late requests with an earlier due time.
	outranked, lower, ownRank, olderLate := false, 0, 0, 0
	for _, r := range q.ranks {
		if r.rank == p.Rank || q.waiting(r) != nil {
			lower++
		}
		if r.rank == p.Rank && late {
			ownRank += r.inTime.len()
		}
		for _, c := range [...]*queueClass[T]{r.inTime, r.late} {
			n := c.len()
			if n == 0 {
				continue
			}
			if c.late {
				olderLate += c.items.countBefore(due)
			}
			switch {
			case r.rank == p.Rank && c.late == late:
				own = c.ahead(p.Flow, due)
			case q.precedes(r.rank, c.late, p.Rank, late):
				before += n
				outranked = outranked || r.rank < p.Rank
			default:
				after += n
			}
		}
	}
	ahead := before + own
	// The guaranteed fractions bound the wait behind other classes, and prolong that of all others.
	scale := p.cost() * float64(len(q.items)) / q.cost
	bound := func(own int, share float64) {
		if before > 0 {
			ahead = min(ahead, max(1, int(scale*(float64(own+1)/share-1))))
		}
	}
	if outranked && (!late || !q.LateLast) {
		bound(own+ownRank, shareOf(lower-1))
	}
	if late {
		bound(olderLate, lateShare)
	}
	return ahead + min(after, int(float64(ahead)*rankShare/(1-rankShare)))
}

// precedes reports whether a class precedes another one in the order.
func (q *Queue[T]) precedes(rank int, late bool, otherRank int, otherLate bool) bool {
	if q.LateLast && late != otherLate || rank == otherRank {
		return !late && otherLate
	}
	return rank < otherRank
}
