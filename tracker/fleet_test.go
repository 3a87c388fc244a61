package tracker

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"poplarwind/announcer"
	"poplarwind/router"
)

// shelf is a store whose objects are versions of the configuration. Each entry
// has its own way to it, which may be cut.
type shelf struct {
	mu       sync.Mutex
	revision uint64
	// kept is the first revision whose followers can still be told.
	kept uint64
	wake chan struct{}
	// away holds the entries that are turned away, and silent those that get
	// no answer.
	away, silent map[string]bool
	calls        int
}

func (s *shelf) put() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	if s.wake != nil {
		close(s.wake)
		s.wake = nil
	}
	return s.revision
}

// answerTime is how long a store takes that is well.
const answerTime = 4 * time.Millisecond

// way is one entry's source.
type way struct {
	shelf *shelf
	entry string
}

func (w way) pass(ctx context.Context) error {
	time.Sleep(answerTime / 2)
	w.shelf.mu.Lock()
	w.shelf.calls++
	away, silent := w.shelf.away[w.entry], w.shelf.silent[w.entry]
	w.shelf.mu.Unlock()
	if silent {
		<-ctx.Done()
		return errors.WithType(ctx.Err(), ErrUnavailable)
	}
	if away {
		return errors.Trace(ErrUnavailable)
	}
	return nil
}

func (s *shelf) change(k Kind) []Change {
	if k != Configs || s.revision == 0 {
		return nil
	}
	return []Change{{Name: "main", Revision: s.revision, Config: &router.Spec{Version: int64(s.revision)}}}
}

func (w way) List(ctx context.Context, k Kind, _ bool) (Delta, error) {
	if err := w.pass(ctx); err != nil {
		return Delta{}, err
	}
	w.shelf.mu.Lock()
	defer w.shelf.mu.Unlock()
	return Delta{Kind: k, Whole: true, AsOf: max(1, w.shelf.revision), Changes: w.shelf.change(k)}, nil
}

func (w way) Watch(ctx context.Context, k Kind, after uint64, wait time.Duration) (Delta, error) {
	if err := w.pass(ctx); err != nil {
		return Delta{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		w.shelf.mu.Lock()
		if after < w.shelf.kept {
			w.shelf.mu.Unlock()
			return Delta{}, errors.Trace(ErrForgotten)
		}
		d := Delta{Kind: k, After: after, AsOf: max(1, w.shelf.revision)}
		if w.shelf.revision > after {
			d.Changes = w.shelf.change(k)
		}
		if w.shelf.wake == nil {
			w.shelf.wake = make(chan struct{})
		}
		wake := w.shelf.wake
		w.shelf.mu.Unlock()
		if len(d.Changes) > 0 {
			return d, w.pass(ctx)
		}
		select {
		case <-wake:
		case <-timer.C:
			return d, w.pass(ctx)
		case <-ctx.Done():
			return Delta{}, errors.WithType(ctx.Err(), ErrUnavailable)
		}
	}
}

// fleet is some entries with a shelf, and what they can reach.
type fleet struct {
	shelf    *shelf
	trackers map[string]*Tracker
	states   map[string]*State

	mu   sync.Mutex
	live []announcer.Member
	// cut holds the entries that no other entry reaches.
	cut map[string]bool
	// strangers is until when each entry sees itself alone.
	strangers time.Time
}

func (f *fleet) members() []announcer.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.live)
}

// seen returns what an entry sees of the members.
func (f *fleet) seen(m announcer.Member) []announcer.Member {
	if time.Now().Before(f.strangers) {
		return []announcer.Member{m}
	}
	return f.members()
}

// wire carries messages of one entry.
type wire struct {
	fleet *fleet
	from  string
}

func (w wire) Send(ctx context.Context, m announcer.Member, path string, message, reply any) error {
	w.fleet.mu.Lock()
	cut := w.fleet.cut[m.Name] || w.fleet.cut[w.from]
	w.fleet.mu.Unlock()
	time.Sleep(2 * time.Millisecond)
	if cut {
		return errors.New("no route")
	}
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	out, err := w.fleet.trackers[m.Name].Serve(ctx, path, body)
	if err != nil {
		return err
	}
	if body, err = json.Marshal(out); err != nil {
		return err
	}
	return json.Unmarshal(body, reply)
}

// begin starts entries in three failure domains.
func beginFleet(ctx context.Context, n int) *fleet { return beginStrangers(ctx, n, 0) }

// beginStrangers is beginFleet with entries that find one another after a while,
// when the whole deployment has started for the first time.
func beginStrangers(ctx context.Context, n int, while time.Duration) *fleet {
	f := &fleet{
		strangers: time.Now().Add(while),
		shelf:     &shelf{revision: 1, away: map[string]bool{}, silent: map[string]bool{}}, trackers: map[string]*Tracker{},
		states: map[string]*State{}, cut: map[string]bool{},
	}
	for i := range n {
		f.live = append(f.live, announcer.Member{Name: fmt.Sprintf("e%02d", i), Domain: string(rune('a' + i%3))})
	}
	for _, m := range f.live {
		s := &State{}
		f.states[m.Name] = s
		f.trackers[m.Name] = New(s, way{f.shelf, m.Name}, wire{f, m.Name}, m.Name, func() []announcer.Member { return f.seen(m) }, slog.New(slog.DiscardHandler))
	}
	for _, t := range f.trackers {
		if while > 0 {
			t.First()
		}
		go func() { _ = t.Follow(ctx, Configs) }()
		go func() { _ = t.Spread(ctx) }()
	}
	return f
}

// lost reports whether an entry reaches neither the store nor another entry.
func (f *fleet) lost(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shelf.mu.Lock()
	defer f.shelf.mu.Unlock()
	return f.cut[name] && (f.shelf.away[name] || f.shelf.silent[name])
}

// count returns how many calls there were.
func (s *shelf) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// version returns the version that an entry has.
func (f *fleet) version(name string) int64 {
	for _, c := range f.states[name].All(Configs) {
		return c.Config.Version
	}
	return 0
}

// bound is the time within which a configuration must be in force.
const bound = 2 * time.Second

// TestInForceInTime makes a change in each of some troubles, at different
// times in the watches: every entry that may be held to it has it in time.
func TestInForceInTime(t *testing.T) {
	troubles := map[string]func(f *fleet){
		"none":                        func(*fleet) {},
		"watcher turned away":         func(f *fleet) { f.shelf.away["e00"] = true },
		"watcher without answers":     func(f *fleet) { f.shelf.silent["e00"] = true },
		"watcher cut off from all":    func(f *fleet) { f.shelf.silent["e00"], f.cut["e00"] = true, true },
		"head of a domain cut off":    func(f *fleet) { f.cut["e01"] = true },
		"all heads cut off":           func(f *fleet) { f.cut["e00"], f.cut["e01"], f.cut["e02"] = true, true, true },
		"a third turned away":         func(f *fleet) { f.shelf.away["e00"], f.shelf.away["e01"], f.shelf.away["e04"] = true, true, true },
		"a third without answers":     func(f *fleet) { f.shelf.silent["e00"], f.shelf.silent["e02"], f.shelf.silent["e05"] = true, true, true },
		"history forgotten":           func(f *fleet) { f.shelf.kept = f.shelf.revision + 1 },
		"watcher not reached by peer": func(f *fleet) { f.cut["e00"] = true },
	}
	for name, trouble := range troubles {
		for _, offset := range []time.Duration{0, 100, 300, 500, 700, 740} {
			t.Run(fmt.Sprintf("%s/%d", name, offset), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					f := beginFleet(ctx, 9)
					time.Sleep(6 * time.Second)
					f.mu.Lock()
					f.shelf.mu.Lock()
					trouble(f)
					f.shelf.mu.Unlock()
					f.mu.Unlock()
					time.Sleep(offset * time.Millisecond)
					want := int64(f.shelf.put())
					time.Sleep(bound)
					for _, m := range f.members() {
						if f.lost(m.Name) {
							continue
						}
						if got := f.version(m.Name); got != want {
							t.Errorf("%s: got: version %d want: %d", m.Name, got, want)
						}
					}
					cancel()
					time.Sleep(5 * time.Second)
				})
			})
		}
	}
}

// TestCalls counts calls to the store while all is well: one entry watches,
// whatever the number of entries.
func TestCalls(t *testing.T) {
	for _, n := range []int{3, 30} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			f := beginFleet(ctx, n)
			time.Sleep(10 * time.Second)
			before := f.shelf.count()
			time.Sleep(30 * time.Second)
			// Two passes a call: one before its wait, one behind it.
			if got := (f.shelf.count() - before) / 2; got > 60 {
				t.Errorf("%d entries: got: %d calls in 30 s want: at most 60", n, got)
			}
			cancel()
			time.Sleep(5 * time.Second)
		})
	}
}

// TestFirstStart starts a hundred entries at once, which find one another after
// three seconds: they don't read the store one by one in the meantime.
func TestFirstStart(t *testing.T) {
	const entries = 100
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := beginStrangers(ctx, entries, 3*time.Second)
		time.Sleep(8 * time.Second)
		// A list has one pass, a watch two.
		if got := f.shelf.count(); got > entries+30 {
			t.Errorf("got: %d passes in 8 s want: at most %d, a stale list each and the watches of one", got, entries+30)
		}
		want := int64(f.shelf.put())
		time.Sleep(bound)
		for _, m := range f.members() {
			if got := f.version(m.Name); got != want {
				t.Errorf("%s: got: version %d want: %d", m.Name, got, want)
			}
		}
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// TestOutageCalls turns all entries away for a while: they don't ask the store
// more and more often than it can bear, and have a change in force in time after
// its return.
func TestOutageCalls(t *testing.T) {
	const entries, outage = 60, 8
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := beginFleet(ctx, entries)
		time.Sleep(6 * time.Second)
		turn := func(away bool) {
			f.shelf.mu.Lock()
			defer f.shelf.mu.Unlock()
			for _, m := range f.live {
				f.shelf.away[m.Name] = away
			}
		}
		turn(true)
		before := f.shelf.count()
		time.Sleep(outage * time.Second)
		if got := f.shelf.count() - before; got > entries*outage {
			t.Errorf("got: %d calls in %d s want: at most one a second and entry", got, outage)
		}
		want := int64(f.shelf.put())
		turn(false)
		time.Sleep(bound)
		for _, m := range f.members() {
			if got := f.version(m.Name); got != want {
				t.Errorf("%s: got: version %d want: %d", m.Name, got, want)
			}
		}
		cancel()
		time.Sleep(5 * time.Second)
	})
}
