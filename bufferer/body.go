package bufferer

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const (
	// errReleased reports the use of a body after its release.
	errReleased = errors.ConstError("message body was released")
	// ErrTooLarge reports a body that exceeds the limit for one body.
	ErrTooLarge = errors.ConstError("message body is too large")
)

// Body is the body of a message. It has one owner, which receives it, uses it and
// releases it; only Cancel may be called concurrently.
type Body struct {
	budget *Budget
	kind   Kind
	// blocks holds the content. All but the last are full.
	blocks [][]byte
	// size is the size of the content in bytes.
	size int
	// progressAt is when a part of the body was last sent, in nanoseconds of Unix time.
	progressAt atomic.Int64

	// The fields below are guarded by the budget's lock.

	// order is lower for bodies that began earlier, and startedAt is when the body began.
	order     uint64
	startedAt time.Time
	// turn receives a value when the body, which waits for room, may have its turn. It is nil
	// before the body has waited.
	turn chan struct{}
	// reserved is what the body has reserved in bytes, and wanted what it waits for in
	// addition.
	reserved, wanted int
	// deadline bounds the wait for room, the zero time meaning that it does not.
	deadline time.Time
	// sending is set while the body is sent.
	sending bool
	// abort ends the transfer of the body. It must not block.
	abort func()
	// ended is why the body can't be used any more, nil if it can, and evicted is set
	// until the release of a body that has to give way.
	ended   error
	evicted bool
}

// NewBody returns an empty body that is being received. The function abort makes its transfer
// fail at once; it must not block. If it is nil, the body does not give way to others.
func (g *Budget) NewBody(k Kind, abort func()) *Body {
	b := &Body{budget: g, kind: k}
	b.Restart(abort)
	return b
}

// Restart records that the body is received again after Complete. It keeps what it has
// reserved.
func (b *Body) Restart(abort func()) {
	g := b.budget
	g.mu.Lock()
	defer g.mu.Unlock()
	g.order++
	b.order, b.startedAt, b.abort = g.order, time.Now(), abort
	if g.bodies == nil {
		g.bodies = make(map[*Body]struct{})
	}
	g.bodies[b] = struct{}{}
}

// SetDeadline bounds the wait of the body for room.
func (b *Body) SetDeadline(t time.Time) {
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	b.deadline = t
}

// Len returns the size of the content in bytes. That of a nil body is 0.
func (b *Body) Len() int {
	if b == nil {
		return 0
	}
	return b.size
}

// Reserve reserves n bytes in addition to the content, for what comes with it.
func (b *Body) Reserve(n int) error { return b.budget.reserve(b, n) }

// Unreserve returns n bytes that Reserve has reserved.
func (b *Body) Unreserve(n int) {
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	b.budget.resize(b, -n)
}

// ReadFrom appends all that r has, as io.ReaderFrom. It returns ErrExhausted if the budget
// has no room for it.
func (b *Body) ReadFrom(r io.Reader) (int64, error) {
	start := b.size
	for {
		if l, ok := r.(*io.LimitedReader); ok && l.N <= 0 {
			return int64(b.size - start), nil
		}
		p, err := b.room()
		if err != nil {
			return int64(b.size - start), err
		}
		n, err := r.Read(p)
		b.size += n
		if err == nil {
			continue
		}
		if b.gaveWay() {
			return int64(b.size - start), ErrExhausted
		}
		if errors.Is(err, io.EOF) {
			err = nil
		}
		return int64(b.size - start), err
	}
}

// ReadAll appends all that r has, at most limit bytes, 0 meaning that only the budget
// limits it. It returns ErrTooLarge if r has more.
func (b *Body) ReadAll(r io.Reader, limit int) error {
	if limit > 0 {
		r = &io.LimitedReader{R: r, N: int64(limit) + 1}
	}
	n, err := b.ReadFrom(r)
	if err == nil && limit > 0 && n > int64(limit) {
		return ErrTooLarge
	}
	return err
}

// ReadN appends the next n bytes of r. It returns io.ErrUnexpectedEOF if r has fewer.
func (b *Body) ReadN(r io.Reader, n int) error {
	if !b.budget.admits(b.kind, n) {
		return ErrExhausted
	}
	read, err := b.ReadFrom(&io.LimitedReader{R: r, N: int64(n)})
	if err == nil && read < int64(n) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Read receives a message of at most limit bytes that r has, and reserves overhead times its
// size in addition, for what is decoded from it. The function abort is that of NewBody.
func (g *Budget) Read(k Kind, r io.Reader, limit, overhead int, abort func()) (*Body, error) {
	b := g.NewBody(k, abort)
	err := b.ReadAll(r, limit)
	if err == nil {
		err = b.Reserve(overhead * b.Len())
	}
	if err == nil {
		err = b.Complete()
	}
	if err != nil {
		b.Release()
		return nil, err
	}
	return b, nil
}

// blockSize returns the size of the block with an index.
func blockSize(i int) int {
	if i < firstBlocks {
		return firstBlock
	}
	return laterBlock
}

// position returns the index of the block that holds the byte at an offset, and the offset
// within the block.
func position(offset int) (block, within int) {
	if offset < firstBlocks*firstBlock {
		return offset / firstBlock, offset % firstBlock
	}
	offset -= firstBlocks * firstBlock
	return firstBlocks + offset/laterBlock, offset % laterBlock
}

// room returns the free part of the last block, which is a new one if the others are full.
func (b *Body) room() ([]byte, error) {
	i, within := position(b.size)
	if i == len(b.blocks) {
		block, err := b.budget.reserveBlock(b, blockSize(i))
		if err != nil {
			return nil, err
		}
		b.blocks = append(b.blocks, block)
	}
	return b.blocks[i][within:], nil
}

// gaveWay reports whether the body has to give way to another.
func (b *Body) gaveWay() bool {
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	return b.evicted
}

// Complete records that the body was received. It does not give way until it is sent. It
// returns an error if the body has to give way already.
func (b *Body) Complete() error {
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	delete(b.budget.bodies, b)
	b.abort = nil
	return b.ended
}

// Send records that the body is sent from now on. It gives way if the recipient does not
// read it: abort then makes the transfer fail.
func (b *Body) Send(abort func()) {
	b.progressAt.Store(time.Now().UnixNano())
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	if b.ended == nil {
		b.sending, b.abort = true, abort
		b.budget.bodies[b] = struct{}{}
	}
}

// Cancel makes a wait for room fail with err.
func (b *Body) Cancel(err error) {
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	if b.ended == nil {
		b.ended = err
		b.wake()
	}
}

// Release returns the memory of the body to the budget. A nil body, and one that was
// released, have none.
func (b *Body) Release() {
	if b != nil {
		b.budget.release(b)
	}
}

// wake makes the body check for room if it waits for it. The lock must be held.
func (b *Body) wake() {
	select {
	case b.turn <- struct{}{}:
	default:
	}
}

// lane returns the lane in which the body waits for n more bytes. The lock must be held.
func (b *Body) lane(n int) lane {
	if b.reserved+n <= shortSize {
		return short
	}
	return short + 1 + lane(b.classAfter(n))
}

// classAfter returns the class of the body when it has reserved n more bytes. The lock must
// be held.
func (b *Body) classAfter(n int) class { return classOf(b.kind, b.reserved+n) }

// stalled reports whether the recipient of the body does not read it.
func (b *Body) stalled(now time.Time) bool {
	return b.sending && now.UnixNano()-b.progressAt.Load() > int64(stallTime)
}

// yields reports whether the body gives way so that o can grow by n bytes. A stalled one does;
// one that is being received is compared with what o grows to. The lock must be held.
func (b *Body) yields(now time.Time, o *Body, n int) bool {
	if b.sending {
		return b.stalled(now)
	}
	return b.heavier(now, o, n)
}

// slow reports whether the body is small and should have been received already. Messages of
// other entries and of the store are never slow.
func (b *Body) slow(now time.Time) bool {
	return b.kind != Peers && b.kind != Store && now.Sub(b.startedAt) > slowTime
}

// yieldsBefore reports whether the body gives way before another one that also does: a
// stalled one first. The lock must be held.
func (b *Body) yieldsBefore(now time.Time, o *Body) bool {
	if s, t := b.stalled(now), o.stalled(now); s != t {
		return s
	}
	return b.heavier(now, o, o.wanted)
}

// heavier reports whether the body, with what it waits for, is of a larger class than o with
// n more bytes. Of two medium ones, and of two messages of other entries, the larger is heavier,
// since bodies without an end become the largest; of two large ones the one that began later, so
// that one of several is completed. Small ones soon end, and do not give way to each other; of
// those that did not, the one that began first is heavier.
func (b *Body) heavier(now time.Time, o *Body, n int) bool {
	c, d := b.classAfter(b.wanted), o.classAfter(n)
	switch {
	case c != d:
		return c > d
	case c == medium || b.kind == Peers && o.kind == Peers:
		return b.reserved+b.wanted > o.reserved+n
	case c == small:
		return b.slow(now) && b.order < o.order
	}
	return b.order > o.order
}

// WriteTo implements io.WriterTo: it writes the content. The body stays as it is.
func (b *Body) WriteTo(w io.Writer) (int64, error) {
	if b == nil {
		return 0, nil
	}
	total, left := int64(0), b.size
	for i := 0; left > 0; i++ {
		n, err := w.Write(b.blocks[i][:min(left, len(b.blocks[i]))])
		total += int64(n)
		if err != nil {
			return total, err
		}
		left -= n
		b.progressAt.Store(time.Now().UnixNano())
	}
	return total, nil
}

// Bytes returns a copy of the content, for which the caller reserves the memory.
func (b *Body) Bytes() []byte {
	out := make([]byte, 0, b.Len())
	for i := 0; len(out) < b.Len(); i++ {
		out = append(out, b.blocks[i][:min(b.size-len(out), len(b.blocks[i]))]...)
	}
	return out
}
