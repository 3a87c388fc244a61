package tracker

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"poplarwind/announcer"
	"poplarwind/internal/sleeper"
	"poplarwind/placer"
	"poplarwind/router"
)

// largeConfig returns a configuration of n routes.
func largeConfig(version int64, n int) *router.Spec {
	s := &router.Spec{Version: version}
	for i := range n {
		s.Routes = append(s.Routes, router.Route{Name: fmt.Sprintf("r%d", i), Host: "h.example", Prefix: fmt.Sprintf("/p%d/", i)})
	}
	return s
}

// TestCatchUpGrowsWithMissedVersions has a configuration of 1,424 routes change while an entry
// lags. What it is sent to catch up must be the newest version, whatever it missed, and must
// fit into a message.
func TestCatchUpGrowsWithMissedVersions(t *testing.T) {
	size := func(missed int) int {
		s := &State{}
		start := time.Unix(1000, 0)
		first := Change{Name: "main", Revision: 1, Config: largeConfig(1, 1424)}
		if _, err := s.Apply(start, Delta{Kind: Configs, Era: 1, AsOf: 1, Snapshot: true, Changes: []Change{first}}); err != nil {
			t.Fatal(err)
		}
		for v := uint64(2); v <= uint64(missed)+1; v++ {
			c := Change{Name: "main", Revision: v, Config: largeConfig(int64(v), 1424)}
			if _, err := s.Apply(start, Delta{Kind: Configs, Era: 1, After: v - 1, AsOf: v, Changes: []Change{c}}); err != nil {
				t.Fatal(err)
			}
		}
		d := s.Since(Configs, 1, 1)
		lagging := &State{}
		if _, err := lagging.Apply(start, Delta{Kind: Configs, Era: 1, AsOf: 1, Snapshot: true, Changes: []Change{first}}); err != nil {
			t.Fatal(err)
		}
		if _, err := lagging.Apply(start, d); err != nil {
			t.Errorf("%d missed: got: %v want: applied", missed, err)
		}
		if got := lagging.All(Configs)[0].Config.Version; got != int64(missed)+1 {
			t.Errorf("%d missed: got: version %d want: %d", missed, got, missed+1)
		}
		body, err := announcer.Pack(Reply{Delta: d})
		if err != nil {
			t.Fatal(err)
		}
		text, err := body.Unpack()
		if err != nil {
			t.Fatalf("%d missed: got: %v want: a message that can be read", missed, err)
		}
		t.Logf("%d missed: %d bytes, %d packed", missed, len(text), len(body))
		return len(text)
	}
	one := size(1)
	for _, missed := range []int{10, 100, 1000} {
		if got := size(missed); got > one+one/10 {
			t.Errorf("%d missed: got: %d bytes want: at most a tenth more than %d", missed, got, one)
		}
	}
}

// TestLogKeepsOtherObjects changes one object again and again. The changes of others must stay
// in the log.
func TestLogKeepsOtherObjects(t *testing.T) {
	var s State
	fresh := time.Unix(1000, 0)
	upstream := func(name string, revision uint64) Change {
		return Change{Name: name, Revision: revision, Upstream: &placer.Spec{ID: name}}
	}
	if _, err := s.Apply(fresh, Delta{Kind: Upstreams, Era: 1, AsOf: 1, Snapshot: true}); err != nil {
		t.Fatal(err)
	}
	for v, name := range []string{"a", "b", "a", "c", "a"} {
		v := uint64(v) + 2
		if _, err := s.Apply(fresh, Delta{Kind: Upstreams, Era: 1, After: v - 1, AsOf: v, Changes: []Change{upstream(name, v)}}); err != nil {
			t.Fatal(err)
		}
	}
	var got string
	for _, c := range s.Since(Upstreams, 1, 1).Changes {
		got += fmt.Sprint(c.Name, c.Revision, " ")
	}
	if want := "b3 c5 a6 "; got != want {
		t.Errorf("got: %q want: %q", got, want)
	}
}

// overloadedSource is a store whose changes since a position are too much for one read.
type overloadedSource struct {
	lists, watches int
}

func (s *overloadedSource) List(context.Context, Kind, bool) (Delta, error) {
	s.lists++
	d := Delta{Kind: Configs, Era: 1, Snapshot: true, AsOf: uint64(s.lists), Changes: []Change{{Name: "main", Revision: uint64(s.lists), Config: &router.Spec{Version: int64(s.lists)}}}}
	return d, nil
}

func (s *overloadedSource) Watch(ctx context.Context, _ Kind, _ uint64, _ time.Duration) (Delta, error) {
	s.watches++
	<-ctx.Done()
	return Delta{}, errors.WithType(ctx.Err(), ErrUnavailable)
}

type noPeers struct{}

func (noPeers) Send(context.Context, announcer.Member, string, any, any) error {
	return errors.New("no peers")
}

// TestReadRepeatedWithoutProgress has each read of the changes since a position fail, as if they
// were too large. The entry must list the objects instead of repeating the read forever.
func TestReadRepeatedWithoutProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		self := announcer.Member{Name: "a", Domain: "d"}
		source := &overloadedSource{}
		state := &State{}
		tr := New(state, source, noPeers{}, "a", func() []announcer.Member { return []announcer.Member{self} }, slog.New(slog.DiscardHandler))
		done := make(chan error, 1)
		go func() { done <- tr.Follow(ctx, Configs) }()
		sleeper.Sleep(ctx, 20*time.Second)
		if age := state.Position(time.Now(), Configs).Age; age > 6*time.Second || source.lists < 3 {
			t.Errorf("got: age %v after %d lists, %d watches want: at most 6 s", age, source.lists, source.watches)
		}
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// TestReplyMemoryGrowsWithQueries has 120 entries that have missed versions of a configuration of
// 1,424 routes ask for the newest one at the same time. The memory for the replies must not grow with
// their number as if each were encoded by itself.
func TestReplyMemoryGrowsWithQueries(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(20))
	const versions, routes = 50, 1424
	s := &State{}
	start := time.Now()
	for v := uint64(1); v <= versions; v++ {
		c := Change{Name: "main", Revision: v, Config: largeConfig(int64(v), routes)}
		if _, err := s.Apply(start, Delta{Kind: Configs, Era: 1, After: v - 1, AsOf: v, Snapshot: v == 1, Changes: []Change{c}}); err != nil {
			t.Fatal(err)
		}
	}
	tr := New(s, nil, noPeers{}, "a", func() []announcer.Member { return nil }, slog.New(slog.DiscardHandler))
	peak := func(queries int) float64 {
		runtime.GC()
		var before, now runtime.MemStats
		runtime.ReadMemStats(&before)
		var wg sync.WaitGroup
		var done atomic.Bool
		replies := make([][]byte, queries)
		for i := range queries {
			wg.Go(func() {
				q := Query{Kind: Configs, Era: 1, After: uint64(1 + i%(versions-1))}
				body, err := json.Marshal(q)
				if err != nil {
					t.Error(err)
					return
				}
				reply, err := tr.Serve(t.Context(), PathState, body)
				if err != nil {
					t.Error(err)
					return
				}
				if replies[i], err = announcer.Pack(reply); err != nil {
					t.Error(err)
				}
			})
		}
		go func() {
			wg.Wait()
			done.Store(true)
		}()
		highest := 0.0
		for !done.Load() {
			runtime.ReadMemStats(&now)
			highest = max(highest, float64(now.HeapAlloc)-float64(before.HeapAlloc))
		}
		runtime.KeepAlive(replies)
		t.Logf("%d queries: peak of %.1f MB, %d bytes a reply", queries, highest/1e6, len(replies[0]))
		return highest
	}
	one, many := peak(1), peak(120)
	if many > 12*one {
		t.Errorf("got: %.1f MB for 120 queries want: at most 12 times the %.1f MB for one", many/1e6, one/1e6)
	}
}

// TestTimeToCatchUp cuts an entry off from the store and from all others while the configuration
// changes. Once it is in touch again, it must have the newest version as soon after many missed versions
// as after one.
func TestTimeToCatchUp(t *testing.T) {
	const inTouch = 3 * time.Second
	for _, missed := range []int{1, 10, 100, 1000} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			c := startCluster(ctx, 9)
			time.Sleep(6 * time.Second)
			set := func(cut bool) {
				c.mu.Lock()
				defer c.mu.Unlock()
				c.store.mu.Lock()
				defer c.store.mu.Unlock()
				c.partitioned["e05"], c.store.hangs["e05"] = cut, cut
			}
			set(true)
			var want uint64
			for range missed {
				want = c.store.write()
				time.Sleep(5 * time.Second / time.Duration(missed))
			}
			set(false)
			healed := time.Now()
			for c.version("e05") != int64(want) && time.Since(healed) < 2*inTouch {
				time.Sleep(10 * time.Millisecond)
			}
			took := time.Since(healed)
			t.Logf("%d missed: caught up after %v", missed, took)
			if took > inTouch {
				t.Errorf("%d missed: got: %v want: at most %v", missed, took, inTouch)
			}
			cancel()
			time.Sleep(5 * time.Second)
		})
	}
}
