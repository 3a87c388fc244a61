package bufferer

import (
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
)

// ErrExhausted reports that the budget had no room for a body, or that a body gave way
// to another.
const ErrExhausted = errors.ConstError("no memory left for message")

//go:generate go tool stringer -type=Kind -linecomment -output=kind_string.go

// Kind is what a body belongs to.
type Kind int

// The kinds of bodies.
const (
	Requests  Kind = iota // requests
	Responses             // responses
	Peers                 // peers
	Store                 // store
	// Kinds is the number of kinds.
	Kinds // kinds
)

// class is a range of sizes.
type class int

const (
	small class = iota
	medium
	large
	classes
)

// lane is a line of bodies that wait for room: the short ones, and the others by class.
type lane int

const (
	short lane = iota
	lanes      = short + 1 + lane(classes)
)

// crowded reports whether a lane may have thousands of bodies: each then has its turn when it is the
// first. The memory bounds the number of the others, and any of them may get room or look for bodies
// that give way, since the largest or the last of them does so itself.
func (l lane) crowded() bool { return l <= short+1+lane(small) }

const (
	// smallSize and mediumSize are the largest sizes of their classes, in bytes.
	smallSize  = 64 << 10
	mediumSize = 1 << 20
	// roomTimeout bounds the wait of a body for room.
	roomTimeout = time.Second
	// checkInterval is how often a waiting body checks for others that give way.
	checkInterval = 20 * time.Millisecond
	// stallTime is the time without progress after which a body that is being sent
	// gives way.
	stallTime = 500 * time.Millisecond
	// slowTime is the time after which a small body that is still being received gives way
	// to other small ones.
	slowTime = 400 * time.Millisecond
	// shortSize is the size in bytes up to which waiting bodies get room before longer
	// ones of their kind.
	shortSize = 16 << 10
	// firstBlock is the size in bytes of the first blocks of a body, and laterBlock
	// that of those beyond firstBlocks.
	firstBlock  = 4 << 10
	laterBlock  = 64 << 10
	firstBlocks = 16
)

// classShares holds the fraction of the budget that the bodies of each class may use
// together, and kindShares that of each kind.
var (
	classShares = [classes]float64{small: 1, medium: 0.2, large: 0.6}
	kindShares  = [Kinds]float64{Requests: 0.75, Responses: 1, Peers: 0.2, Store: 0.25}
)

// Budget bounds the memory of bodies. Its zero value has no bound. It is safe for
// concurrent use.
type Budget struct {
	mu sync.Mutex
	// limit is the bound in bytes, 0 meaning none.
	limit int
	// used is the sum of what bodies have reserved, in bytes, by class and by kind.
	used     int
	classes  [classes]int
	kinds    [Kinds]int
	peak     int
	evicted  [Kinds]int64
	rejected [Kinds]int64
	// bodies holds the bodies that can be made to give way: those that are being
	// received or sent.
	bodies map[*Body]struct{}
	// evicting counts bodies that were told to give way and have not been released.
	evicting int
	// lanes holds the bodies that wait for room, by kind and lane. Those of crowded lanes get it
	// in their order: smaller ones would otherwise take what the first lacks a part of.
	lanes [Kinds][lanes][]*Body
	// order numbers the bodies.
	order uint64
	// firsts and laters hold blocks that no body uses, of free bytes in all. With those in
	// use they are within the limit.
	firsts, laters [][]byte
	free           int
}

// New returns a Budget of limit bytes.
func New(limit int) *Budget { return &Budget{limit: limit} }

// Limit returns the bound in bytes, 0 if there is none.
func (g *Budget) Limit() int { return g.limit }

// Usage is the use of a budget.
type Usage struct {
	// Limit, Used and Peak are in bytes.
	Limit int `json:"limit"`
	Used  int `json:"used"`
	Peak  int `json:"peak"`
	// Kinds is the use by kind, in bytes.
	Kinds map[string]int `json:"kinds"`
	// Evicted counts bodies that gave way to others, and Rejected those for which
	// there was no room in time, by kind.
	Evicted  map[string]int64 `json:"evicted"`
	Rejected map[string]int64 `json:"rejected"`
}

// Usage returns the current use of the budget.
func (g *Budget) Usage() Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := Usage{Limit: g.limit, Used: g.used, Peak: g.peak, Kinds: make(map[string]int), Evicted: make(map[string]int64), Rejected: make(map[string]int64)}
	for k := range Kinds {
		out.Kinds[k.String()], out.Evicted[k.String()], out.Rejected[k.String()] = g.kinds[k], g.evicted[k], g.rejected[k]
	}
	return out
}

// ampleFraction is the fraction of the budget below whose use it is ample.
const ampleFraction = 0.25

// Ample reports whether the budget has room for messages that could also be received later.
func (g *Budget) Ample() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limit == 0 || g.used < g.share(ampleFraction)
}

// Trim releases the blocks that no body uses.
func (g *Budget) Trim() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.firsts, g.laters, g.free = nil, nil, 0
}

// classOf returns the class of a body of n bytes. Messages of other entries and of the store
// are few, and nothing works without them: they give way to none.
func classOf(k Kind, n int) class {
	switch {
	case n <= smallSize || k == Peers || k == Store:
		return small
	case n <= mediumSize:
		return medium
	}
	return large
}

// share returns a fraction of the budget in bytes.
func (g *Budget) share(fraction float64) int { return int(fraction * float64(g.limit)) }

// shortage is what prevents a body from growing.
type shortage struct {
	// class, kind and total are set if the body's class, its kind and the budget have
	// no room.
	class, kind, total bool
}

// shortage returns what prevents a body from growing by n bytes.
func (g *Budget) shortage(b *Body, n int) shortage {
	if g.limit == 0 {
		return shortage{}
	}
	after, need := b.classAfter(n), n
	if after != b.classAfter(0) {
		need += b.reserved
	}
	return shortage{
		class: g.classes[after]+need > g.share(classShares[after]),
		kind:  g.kinds[b.kind]+n > g.share(kindShares[b.kind]),
		total: g.used+n > g.limit,
	}
}

// admits reports whether a body of n bytes has room if there is no other.
func (g *Budget) admits(k Kind, n int) bool {
	return g.limit == 0 || n <= g.share(min(classShares[classOf(k, n)], kindShares[k]))
}

// resize changes what a body has reserved by n bytes.
func (g *Budget) resize(b *Body, n int) {
	g.classes[b.classAfter(0)] -= b.reserved
	b.reserved += n
	g.classes[b.classAfter(0)] += b.reserved
	g.kinds[b.kind] += n
	g.used += n
	g.peak = max(g.peak, g.used)
	if n < 0 {
		g.wake()
	}
}

// victim returns the body that gives way so that b can grow by n bytes, nil if there is
// none. One whose transfer can't be interrupted would give way only when its sender goes on.
func (g *Budget) victim(now time.Time, b *Body, n int, s shortage) *Body {
	var out *Body
	for o := range g.bodies {
		relieves := s != shortage{} && (!s.class || o.classAfter(0) == b.classAfter(n)) && (!s.kind || o.kind == b.kind)
		if o == b || o.ended != nil || o.abort == nil || o.reserved == 0 || !relieves || !o.yields(now, b, n) {
			continue
		}
		if out == nil || o.yieldsBefore(now, out) {
			out = o
		}
	}
	return out
}

// evict makes a body give way. Its owner notices by an error, and releases it.
func (g *Budget) evict(b *Body) {
	b.ended, b.evicted = ErrExhausted, true
	g.evicting++
	g.evicted[b.kind]++
	b.abort()
	b.wake()
}

// wake makes the bodies whose turn it is check for room. The lock must be held.
func (g *Budget) wake() {
	for k := range g.lanes {
		for l, waiting := range g.lanes[k] {
			if lane(l).crowded() {
				waiting = waiting[:min(1, len(waiting))]
			}
			for _, b := range waiting {
				b.wake()
			}
		}
	}
}

// wait waits at most for d until b may have its turn. The lock must be held; it is released
// meanwhile.
func (g *Budget) wait(b *Body, d time.Duration) {
	g.mu.Unlock()
	timer := time.NewTimer(d)
	select {
	case <-b.turn:
	case <-timer.C:
	}
	timer.Stop()
	g.mu.Lock()
}

// reserve grows what a body has reserved by n bytes. It waits for room, and returns
// ErrExhausted if there is none in time or the body has to give way.
func (g *Budget) reserve(b *Body, n int) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	err := g.awaitRoom(b, n)
	g.dropFree()
	return err
}

// reserveBlock reserves a block of size bytes and returns it.
func (g *Budget) reserveBlock(b *Body, size int) ([]byte, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.awaitRoom(b, size); err != nil {
		return nil, err
	}
	block := g.takeFree(size)
	g.dropFree()
	if block == nil {
		block = make([]byte, size)
	}
	return block, nil
}

// awaitRoom implements reserve. The lock must be held; it is released while the body waits.
func (g *Budget) awaitRoom(b *Body, n int) error {
	l := b.lane(n)
	if b.ended == nil && g.shortage(b, n) == (shortage{}) && g.hasTurn(b, l) && g.precedes(b, l) {
		g.resize(b, n)
		return nil
	}
	if b.turn == nil {
		b.turn = make(chan struct{}, 1)
	}
	b.wanted = n
	g.lanes[b.kind][l] = append(g.lanes[b.kind][l], b)
	defer g.leave(b, l)
	now := time.Now()
	end := now.Add(roomTimeout)
	if !b.deadline.IsZero() && b.deadline.Before(end) {
		end = b.deadline
	}
	for nextCheck := now; ; {
		s, turn := g.shortage(b, n), g.hasTurn(b, l)
		now = time.Now()
		switch {
		case b.ended != nil:
			return b.ended
		case turn && s == shortage{} && g.precedes(b, l):
			g.resize(b, n)
			return nil
		case !now.Before(end):
			g.rejected[b.kind]++
			return ErrExhausted
		}
		pause := end.Sub(now)
		if turn {
			pause = min(checkInterval, pause)
		}
		if turn && g.evicting == 0 && !now.Before(nextCheck) {
			nextCheck = now.Add(checkInterval)
			if v := g.victim(now, b, n, s); v != nil {
				g.evict(v)
				nextCheck = now
			}
		}
		g.wait(b, pause)
	}
}

// hasTurn reports whether no other body of the lane gets room before b.
func (g *Budget) hasTurn(b *Body, l lane) bool {
	waiting := g.lanes[b.kind][l]
	return !l.crowded() || len(waiting) == 0 || waiting[0] == b
}

// precedes reports whether a body that has its turn gets room before those of other lanes of its
// kind.
func (g *Budget) precedes(b *Body, l lane) bool {
	return l == short || len(g.lanes[b.kind][short]) == 0
}

// leave ends the wait of a body, so that the next one has its turn.
func (g *Budget) leave(b *Body, l lane) {
	b.wanted = 0
	g.lanes[b.kind][l] = slices.DeleteFunc(g.lanes[b.kind][l], func(o *Body) bool { return o == b })
	g.wake()
}

// freeList returns the list of unused blocks of a size.
func (g *Budget) freeList(size int) *[][]byte {
	if size == laterBlock {
		return &g.laters
	}
	return &g.firsts
}

// takeFree returns an unused block of a size, nil if there is none.
func (g *Budget) takeFree(size int) []byte {
	list := g.freeList(size)
	n := len(*list)
	if n == 0 {
		return nil
	}
	block := (*list)[n-1]
	(*list)[n-1] = nil
	*list = (*list)[:n-1]
	g.free -= size
	return block
}

// dropFree drops unused blocks that exceed the limit together with those in use.
func (g *Budget) dropFree() {
	for g.limit > 0 && g.free > 0 && g.used+g.free > g.limit {
		if g.takeFree(laterBlock) == nil {
			g.takeFree(firstBlock)
		}
	}
}

// release ends a body and takes its blocks back.
func (g *Budget) release(b *Body) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if b.evicted {
		b.evicted = false
		g.evicting--
	}
	b.ended = errReleased
	delete(g.bodies, b)
	for _, p := range b.blocks {
		list := g.freeList(len(p))
		*list = append(*list, p)
		g.free += len(p)
	}
	b.blocks, b.size = nil, 0
	g.resize(b, -b.reserved)
	g.dropFree()
}
