package reacher

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"poplarwind/announcer"
)

// otherEntries answers for all other entries.
type otherEntries struct{ reached atomic.Bool }

// Send implements Peers.
func (o *otherEntries) Send(_ context.Context, _ announcer.Member, _ string, _, response any) error {
	return json.Unmarshal(fmt.Appendf(nil, `{"reached":%v}`, o.reached.Load()), response)
}

// testEntry is an entry with five upstreams, of which the first number up accept
// connections.
type testEntry struct {
	reach  *Reach
	others otherEntries
	up     atomic.Int64
	dials  atomic.Int64
}

func (e *testEntry) start(ctx context.Context) {
	e.reach = New()
	m := NewMonitor(Options{
		Reach: e.reach, Peers: &e.others, Self: "a", Live: func() []announcer.Member { return []announcer.Member{{Name: "a"}, {Name: "b"}} },
		Upstreams: func(string) []string { return []string{"0", "1", "2", "3", "4"} },
		Dial: func(_ context.Context, addr string) error {
			e.dials.Add(1)
			if addr >= fmt.Sprint(e.up.Load()) {
				return errors.New("refused")
			}
			return nil
		},
		Log: slog.New(slog.DiscardHandler),
	})
	go func() { _ = m.Run(ctx) }()
}

// TestCutOffOnlyWhenOthersReach checks that an entry is cut off only while it reaches no
// upstream and others do.
func TestCutOffOnlyWhenOthersReach(t *testing.T) {
	for _, tt := range []struct {
		name   string
		up     int64
		others bool
		failed int
		want   bool
	}{
		{name: "two upstreams fail", up: 0, others: true, failed: 2},
		{name: "some upstreams reached", up: 1, others: true, failed: 4},
		{name: "upstreams down for all", up: 0, failed: 5},
		{name: "cut off", up: 0, others: true, failed: 3, want: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				var e testEntry
				e.up.Store(tt.up)
				e.others.reached.Store(tt.others)
				e.start(ctx)
				for i := range tt.failed {
					e.reach.RecordProbe(time.Now(), fmt.Sprint(i), false)
				}
				time.Sleep(time.Second)
				if e.reach.Cut() != tt.want {
					t.Errorf("got: cut off %v want: %v", e.reach.Cut(), tt.want)
				}
				e.up.Store(5)
				time.Sleep(2 * cutInterval)
				if e.reach.Cut() {
					t.Error("got: cut off though upstreams accept connections want: not")
				}
				cancel()
			})
		})
	}
}

// TestFailuresFarApart checks that failures far apart, or with a success in between, are no
// reason to try upstreams.
func TestFailuresFarApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var e testEntry
		e.start(ctx)
		for i := range 9 {
			e.reach.RecordProbe(time.Now(), fmt.Sprint(i), false)
			e.reach.RecordDial(time.Now(), fmt.Sprint(i), false)
			if i%2 == 1 {
				e.reach.RecordProbe(time.Now(), "x", true)
				e.reach.RecordDial(time.Now(), "x", true)
			}
		}
		for i := range 5 {
			time.Sleep(outcomeTTL + time.Second)
			e.reach.RecordProbe(time.Now(), fmt.Sprint(i), false)
		}
		time.Sleep(time.Second)
		if n := e.dials.Load(); n > 0 {
			t.Errorf("got: %d upstreams tried want: none", n)
		}
		cancel()
	})
}

// TestCutOffFromMostOfOneService checks that an entry that reaches few upstreams of a service
// is cut off from it only if others reach most, and not from all services, and that it counts
// as cut off until it reaches half of them.
func TestCutOffFromMostOfOneService(t *testing.T) {
	for _, tt := range []struct {
		name   string
		up     int64
		others bool
		want   bool
	}{
		{name: "one of five reached", up: 1, others: true, want: true},
		{name: "none reached", others: true, want: true},
		{name: "two of five reached", up: 2, others: true},
		{name: "most down for all", up: 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				var e testEntry
				e.up.Store(tt.up)
				e.others.reached.Store(tt.others)
				e.start(ctx)
				service := e.reach.Service("s")
				service.RecordProbe(time.Now(), "0", true)
				for i := range 4 {
					service.RecordProbe(time.Now(), fmt.Sprint(1+i), false)
				}
				time.Sleep(time.Second)
				if service.Cut() != tt.want || e.reach.Cut() {
					t.Errorf("got: cut off from the service %v, from all %v want: %v, false", service.Cut(), e.reach.Cut(), tt.want)
				}
				e.up.Store(2)
				time.Sleep(time.Second)
				if service.Cut() != tt.want {
					t.Errorf("got: cut off from the service %v with two of five reached want: %v, as before", service.Cut(), tt.want)
				}
				e.up.Store(3)
				time.Sleep(time.Second)
				if service.Cut() {
					t.Error("got: cut off from the service though three of five are reached want: not")
				}
			})
		})
	}
}
