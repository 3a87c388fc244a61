package bufferer

import (
	"bytes"
	stderrors "errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	_ "poplarwind/internal/seeder"
)

const testLimit = 8 << 20

// endless is a reader without an end that can be interrupted.
type endless struct {
	mu          sync.Mutex
	interrupted bool
}

func (r *endless) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.interrupted {
		return 0, io.ErrClosedPipe
	}
	return len(p), nil
}

func (r *endless) interrupt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.interrupted = true
}

// TestSmallBodyBehindEndlessOnes receives bodies that do not end, and small ones meanwhile.
// All small ones must be received, and the budget must hold.
func TestSmallBodyBehindEndlessOnes(t *testing.T) {
	for k := range Kinds {
		t.Run(k.String(), func(t *testing.T) {
			g := New(testLimit)
			stop := make(chan struct{})
			var wg sync.WaitGroup
			for range 20 {
				wg.Go(func() {
					for {
						select {
						case <-stop:
							return
						default:
						}
						r := &endless{}
						b := g.NewBody(k, r.interrupt)
						err := b.ReadAll(r, 4<<20)
						b.Release()
						if err == nil {
							t.Error("got: an endless body was received want: an error")
						}
					}
				})
			}
			for range 200 {
				b := g.NewBody(Responses, nil)
				if err := b.ReadAll(bytes.NewReader(make([]byte, 20<<10)), 0); err != nil {
					t.Errorf("small body: got: %v want: none", err)
				}
				b.Release()
			}
			close(stop)
			wg.Wait()
			if u := g.Usage(); u.Peak > testLimit || u.Used != 0 {
				t.Errorf("got: peak %d, %d in use at the end want: at most %d, 0", u.Peak, u.Used, testLimit)
			}
		})
	}
}

// TestSmallBodyGivesWayToSmall fills the memory with bodies that wait for their use. A small body
// that grows must not make a younger one give way: that would be refused for nothing.
func TestSmallBodyGivesWayToSmall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(testLimit)
		reserve := func(abort func()) *Body {
			b := g.NewBody(Responses, abort)
			if err := b.Reserve(smallSize / 2); err != nil {
				t.Fatal(err)
			}
			return b
		}
		older := reserve(nil)
		younger := reserve(func() { t.Error("got: the younger body gives way want: both wait") })
		held := []*Body{older, younger}
		for g.used+smallSize/2 <= testLimit {
			b := reserve(nil)
			if err := b.Complete(); err != nil {
				t.Fatal(err)
			}
			held = append(held, b)
		}
		if err := older.Reserve(smallSize / 2); !errors.Is(err, ErrExhausted) {
			t.Errorf("got: %v want: %v", err, ErrExhausted)
		}
		for _, b := range held {
			b.Release()
		}
	})
}

// TestBodyThatCannotBeInterrupted fills the memory with bodies whose senders stop, of which only
// one can be interrupted. That one must give way: the others would not notice.
func TestBodyThatCannotBeInterrupted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(testLimit)
		first := g.NewBody(Responses, nil)
		stop := make(chan struct{})
		interruptible := g.NewBody(Responses, func() { close(stop) })
		larger := g.NewBody(Responses, nil)
		if err := stderrors.Join(interruptible.Reserve(2*smallSize), larger.Reserve(4*smallSize)); err != nil {
			t.Fatal(err)
		}
		go func() {
			<-stop
			interruptible.Release()
		}()
		stuck := []*Body{first, larger}
		for g.used+smallSize <= testLimit {
			b := g.NewBody(Responses, nil)
			if err := b.Reserve(smallSize); err != nil {
				t.Fatal(err)
			}
			stuck = append(stuck, b)
		}
		start := time.Now()
		if err := first.Reserve(smallSize); err != nil || time.Since(start) > checkInterval {
			t.Errorf("got: %v after %v want: room at once", err, time.Since(start))
			close(stop)
		}
		for _, b := range stuck {
			b.Release()
		}
	})
}

// trickle reads a body slowly, in virtual time.
type trickle struct {
	left    int
	every   time.Duration
	stopped chan struct{}
}

func (r *trickle) Read(p []byte) (int, error) {
	select {
	case <-time.After(r.every):
	case <-r.stopped:
		return 0, io.ErrClosedPipe
	}
	if r.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), r.left)
	r.left -= n
	return n, nil
}

// TestLargeBodiesBlockEachOther receives two bodies that do not fit into the budget together.
// The one that began first must be received: neither may wait for the other.
func TestLargeBodiesBlockEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(testLimit)
		receive := func() error {
			r := &trickle{left: testLimit / 2, every: time.Millisecond, stopped: make(chan struct{})}
			b := g.NewBody(Requests, func() { close(r.stopped) })
			defer b.Release()
			return b.ReadAll(r, 0)
		}
		var first, second error
		var wg sync.WaitGroup
		wg.Go(func() { first = receive() })
		time.Sleep(10 * time.Millisecond)
		wg.Go(func() { second = receive() })
		wg.Wait()
		if first != nil || !errors.Is(second, ErrExhausted) {
			t.Errorf("got: %v, %v want: the first received, the second %v", first, second, ErrExhausted)
		}
	})
}

// TestUnreadBodyGivesWay holds all memory by bodies whose recipients do not read them. They
// must give way to others, but not before they are stalled.
func TestUnreadBodyGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(testLimit)
		fill := func(send bool) (bodies []*Body) {
			for g.used+smallSize <= testLimit {
				b := g.NewBody(Responses, nil)
				if err := b.Reserve(smallSize); err != nil {
					t.Fatal(err)
				}
				if err := b.Complete(); err != nil {
					t.Fatal(err)
				}
				if send {
					b.Send(func() { go b.Release() })
				}
				bodies = append(bodies, b)
			}
			return bodies
		}
		for _, send := range []bool{false, true} {
			bodies := fill(send)
			time.Sleep(2 * stallTime)
			b := g.NewBody(Responses, nil)
			if err := b.Reserve(smallSize); (err == nil) != send {
				t.Errorf("sending %v: got: %v want: room only if others are not read", send, err)
			}
			b.Release()
			for _, b := range bodies {
				b.Release()
			}
		}
		if u := g.Usage(); u.Used != 0 || u.Peak > testLimit {
			t.Errorf("got: %d in use, peak %d want: 0, at most %d", u.Used, u.Peak, testLimit)
		}
	})
}

// TestSlowBodiesTakeAllRoom fills the budget with small bodies whose senders have stopped. They
// must give way to others after some time, those that began first before the rest.
func TestSlowBodiesTakeAllRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(testLimit)
		var gone []int
		for i := range 6 * testLimit / 8 / smallSize {
			var b *Body
			b = g.NewBody(Requests, func() {
				gone = append(gone, i)
				go b.Release()
			})
			if err := b.Reserve(smallSize); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Millisecond)
		}
		for n := range 3 {
			b := g.NewBody(Requests, nil)
			b.SetDeadline(time.Now().Add(slowTime / 2))
			if err := b.Reserve(smallSize); (err == nil) != (n > 0) {
				t.Errorf("%d: got: %v want: room only behind bodies that have lasted for %v", n, err, slowTime)
			}
			time.Sleep(slowTime / 2)
		}
		if len(gone) != 2 || gone[0] != 0 || gone[1] != 1 {
			t.Errorf("got: %v gave way want: 0, 1", gone)
		}
	})
}

// TestShortBodyBehindLongOnes has small bodies wait for room, one of them short and the last in the
// line. It must have the first room.
func TestShortBodyBehindLongOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(testLimit)
		var first *Body
		for range 6 * testLimit / 8 / smallSize {
			first = g.NewBody(Requests, nil)
			if err := first.Reserve(smallSize); err != nil {
				t.Fatal(err)
			}
		}
		var wg sync.WaitGroup
		for range 50 {
			wg.Go(func() {
				if err := g.NewBody(Requests, nil).Reserve(smallSize); err == nil {
					t.Error("got: room for a long body want: none")
				}
			})
		}
		synctest.Wait()
		wg.Go(func() {
			if err := g.NewBody(Requests, nil).Reserve(shortSize); err != nil {
				t.Errorf("got: %v want: room for a short body", err)
			}
		})
		synctest.Wait()
		first.Release()
		wg.Wait()
	})
}

// TestFreeBlocksExceedLimit fills the budget with bodies of one size of blocks, and then of the
// other. The blocks that no body uses are a part of the memory too.
func TestFreeBlocksExceedLimit(t *testing.T) {
	g := New(testLimit)
	check := func(what string) {
		t.Helper()
		free := 0
		for _, p := range append(append([][]byte(nil), g.firsts...), g.laters...) {
			free += len(p)
		}
		if free+g.used > testLimit {
			t.Errorf("%s: got: %d bytes free, %d in use want: at most %d together", what, free, g.used, testLimit)
		}
	}
	for round := range 3 {
		var small []*Body
		for range testLimit * 3 / 4 / firstBlock {
			b := g.NewBody(Responses, nil)
			if err := b.ReadN(bytes.NewReader(make([]byte, firstBlock)), firstBlock); err != nil {
				t.Fatal(err)
			}
			small = append(small, b)
		}
		check(fmt.Sprint("small ", round))
		for _, b := range small {
			b.Release()
		}
		b := g.NewBody(Responses, nil)
		if err := b.ReadN(bytes.NewReader(make([]byte, testLimit/2)), testLimit/2); err != nil {
			t.Fatal(err)
		}
		check(fmt.Sprint("large ", round))
		b.Release()
		check(fmt.Sprint("released ", round))
	}
}

// TestContentOfRecycledBlocks receives, reads and releases bodies of random sizes at the same
// time. Each must have its own content, however often its blocks were used before.
func TestContentOfRecycledBlocks(t *testing.T) {
	g := New(testLimit)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for n := range 200 {
				content := bytes.Repeat([]byte(fmt.Sprintf("%d-%d.", i, n)), 1+rand.N(20000))
				b := g.NewBody(Kind(n%2), nil)
				if err := b.ReadN(bytes.NewReader(content), len(content)); err != nil {
					b.Release()
					continue
				}
				var written bytes.Buffer
				_, _ = b.NewStream().WriteTo(&written)
				read, err := io.ReadAll(struct{ io.Reader }{b.NewStream()})
				if err != nil || !bytes.Equal(read, content) || !bytes.Equal(written.Bytes(), content) || !bytes.Equal(b.Bytes(), content) {
					t.Errorf("got: other content, %v want: %d bytes of %d-%d", err, len(content), i, n)
				}
				b.Release()
			}
		})
	}
	wg.Wait()
	if u := g.Usage(); u.Used != 0 || u.Kinds[Requests.String()] != 0 {
		t.Errorf("got: %+v want: nothing in use", u)
	}
}

// TestBudgetInvariant grows, completes, sends and releases bodies at random. What is reserved
// must stay within the budget and agree with the bodies.
func TestBudgetInvariant(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			g := New(rapid.IntRange(1<<20, testLimit).Draw(rt, "limit"))
			var bodies []*Body
			for range rapid.IntRange(1, 60).Draw(rt, "steps") {
				switch rapid.IntRange(0, 3).Draw(rt, "step") {
				case 0:
					bodies = append(bodies, g.NewBody(Kind(rapid.IntRange(0, int(Kinds)-1).Draw(rt, "kind")), nil))
				case 1:
					if n := len(bodies); n > 0 {
						b := bodies[rapid.IntRange(0, n-1).Draw(rt, "grow")]
						_ = b.Reserve(rapid.IntRange(0, 1<<20).Draw(rt, "size"))
					}
				case 2:
					if n := len(bodies); n > 0 {
						_ = bodies[rapid.IntRange(0, n-1).Draw(rt, "complete")].Complete()
					}
				case 3:
					if n := len(bodies); n > 0 {
						i := rapid.IntRange(0, n-1).Draw(rt, "release")
						bodies[i].Release()
						bodies = append(bodies[:i], bodies[i+1:]...)
					}
				}
				sum := 0
				for _, b := range bodies {
					sum += b.reserved
				}
				if u := g.Usage(); u.Used != sum || u.Used > g.Limit() {
					rt.Fatalf("got: %d in use want: %d, at most %d", u.Used, sum, g.Limit())
				}
			}
			for _, b := range bodies {
				b.Release()
			}
			if u := g.Usage(); u.Used != 0 || g.evicting != 0 {
				rt.Fatalf("got: %d in use, %d giving way want: 0, 0", u.Used, g.evicting)
			}
		})
	})
}
