package limiter

import (
	"math"
	"time"
)

// queueClass is the waiting requests of one rank that can be in time, or those that are late. It
// holds them by flow.
type queueClass[T comparable] struct {
	late  bool
	flows map[uint64]*queueFlow[T]
	// items holds the requests of all flows.
	items queueTree[T]
	// ready holds the flows that may be served, by the due time of their first request, and
	// resting those that were served more than their share, by start.
	ready, resting indexedHeap[*queueFlow[T]]
	// virtual is the number of requests that a flow which waits all the time is due to have been
	// served.
	virtual float64
	// depths counts the flows by their number of requests.
	depths depthCounts
}

// queueFlow is the waiting requests of one flow in a class.
type queueFlow[T comparable] struct {
	id    uint64
	class *queueClass[T]
	items queueTree[T]
	// first is the request with the earliest due time.
	first *queueItem[T]
	// start is the virtual time from which the flow may be served.
	start float64
	// resting is set if the flow is in queueClass.resting, and index its index there or in ready.
	resting bool
	index   int
}

func newQueueClass[T comparable](late bool) *queueClass[T] {
	moved := func(f *queueFlow[T], i int) { f.index = i }
	c := &queueClass[T]{late: late, flows: make(map[uint64]*queueFlow[T]), items: queueTree[T]{tree: classTree}}
	c.ready = indexedHeap[*queueFlow[T]]{less: func(a, b *queueFlow[T]) bool { return a.first.before(b.first) }, moved: moved}
	c.resting = indexedHeap[*queueFlow[T]]{less: func(a, b *queueFlow[T]) bool { return a.start < b.start }, moved: moved}
	return c
}

func (c *queueClass[T]) len() int { return c.items.len() }

// addFlow adds a flow without requests. It is ready as soon as it has one: what it was served
// before it had none waiting does not count.
func (c *queueClass[T]) addFlow(f *queueFlow[T]) {
	f.start = c.virtual
	c.flows[f.id] = f
}

// add adds a request of a flow.
func (c *queueClass[T]) add(f *queueFlow[T], x *queueItem[T]) {
	x.flow = f
	f.items.insert(x)
	c.items.insert(x)
	c.depths.add(f.items.len(), 1)
	switch {
	case f.first == nil:
		f.first = x
		c.ready.push(f)
	case x.before(f.first):
		f.first = x
		c.fix(f)
	}
}

// fix restores the order of the heap of a flow whose first request has changed.
func (c *queueClass[T]) fix(f *queueFlow[T]) {
	if !f.resting {
		c.ready.fix(f.index)
	}
}

// remove removes a request. A flow without a further one is forgotten.
func (c *queueClass[T]) remove(x *queueItem[T]) {
	f := x.flow
	c.depths.add(f.items.len(), -1)
	c.items.remove(x)
	f.items.remove(x)
	switch {
	case f.items.len() == 0:
		c.heapOf(f).remove(f.index)
		delete(c.flows, f.id)
		f.first = nil
	case f.first == x:
		f.first = f.items.first()
		c.fix(f)
	}
	if c.len() == 0 {
		c.virtual = 0
		c.depths.trim()
	}
}

func (c *queueClass[T]) heapOf(f *queueFlow[T]) *indexedHeap[*queueFlow[T]] {
	if f.resting {
		return &c.resting
	}
	return &c.ready
}

// next returns the flow that is served next. There must be one.
func (c *queueClass[T]) next() *queueFlow[T] {
	if len(c.ready.list) == 0 {
		c.virtual = max(c.virtual, c.resting.list[0].start)
	}
	for len(c.resting.list) > 0 && c.resting.list[0].start <= c.virtual+virtualError {
		f := c.resting.list[0]
		c.resting.remove(0)
		f.resting = false
		c.ready.push(f)
	}
	return c.ready.list[0]
}

// virtualError is added in comparisons of virtual times, which are sums of fractions.
const virtualError = 1e-9

// charge counts a request of a ready flow that is served.
func (c *queueClass[T]) charge(f *queueFlow[T]) {
	c.virtual += 1 / float64(len(c.flows))
	f.start++
	if f.start <= c.virtual+virtualError {
		return
	}
	c.ready.remove(f.index)
	f.resting = true
	c.resting.push(f)
}

// ahead estimates how many requests are served before one of a flow with a due time. Each other
// flow is served about once before each request of this flow that precedes it, as long as it has
// requests, and of the next ones those with an earlier due time.
func (c *queueClass[T]) ahead(flow uint64, due time.Duration) int {
	own, ownBefore, rounds := 0, 0, 0
	if f := c.flows[flow]; f != nil {
		own, ownBefore = f.items.len(), f.items.countBefore(due)
		rounds = ownBefore
		if f.resting {
			rounds += int(math.Round(max(0, f.start-c.virtual)))
		}
	}
	others := c.len() - own
	if others == 0 {
		return ownBefore
	}
	served := c.depths.sum(rounds) - min(own, rounds)
	contenders := c.depths.count(rounds + 1)
	if own > rounds {
		contenders--
	}
	earlier := c.items.countBefore(due) - ownBefore
	return ownBefore + served + (earlier*contenders+others-1)/others
}
