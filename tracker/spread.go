package tracker

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"poplarwind/announcer"
	"poplarwind/internal/sleeper"
)

// News is what an entry passes on to others.
type News struct {
	From  string      `json:"from"`
	Marks [Kinds]Mark `json:"marks"`
	// Deltas are the last changes of each kind that has any.
	Deltas []Delta `json:"deltas,omitempty"`
	// Blind are entries that lost the store, and for how much longer they are
	// passed over.
	Blind map[string]time.Duration `json:"blind,omitempty"`
}

// Spread passes news on to the entries that this one tells, until ctx ends.
func (t *Tracker) Spread(ctx context.Context) error {
	var sent [Kinds]uint64
	for ctx.Err() == nil {
		select {
		case <-t.told:
		case <-ctx.Done():
			return nil
		}
		sleeper.Sleep(ctx, tellDelay)
		now := time.Now()
		n := News{From: t.self, Blind: t.hidden(now)}
		tell := t.tellPlan(n.Blind)
		if len(tell) == 0 {
			continue
		}
		for k := range Kinds {
			n.Marks[k] = t.state.Mark(now, k)
			if n.Marks[k].AsOf > sent[k] && sent[k] > 0 {
				n.Deltas = append(n.Deltas, t.state.Since(k, sent[k]))
			}
			sent[k] = n.Marks[k].AsOf
		}
		for _, m := range tell {
			go t.tell(ctx, m, n)
		}
	}
	return nil
}

func (t *Tracker) tell(ctx context.Context, m announcer.Member, n News) {
	var none struct{}
	if err := t.peers.Send(ctx, m, PathNews, n, &none); err != nil {
		t.log.Debug("news not delivered", "to", m.Name, "error", err.Error())
	}
}

// Hear takes in news of another entry. What does not follow on this entry's
// copy is fetched from it.
func (t *Tracker) Hear(ctx context.Context, n News) {
	now := time.Now()
	t.hide(n.Blind)
	fresh := len(n.Blind) > 0
	for _, d := range n.Deltas {
		if d.Kind < 0 || d.Kind >= Kinds {
			continue
		}
		if news, err := t.state.Apply(now.Add(-n.Marks[d.Kind].Age), d); err == nil {
			for _, c := range news {
				t.report(d.Kind, c, d.AsOf, n.From)
			}
		}
	}
	for k := range Kinds {
		if t.state.Refresh(now.Add(-n.Marks[k].Age), k, n.Marks[k].AsOf) {
			fresh = true
			continue
		}
		for _, m := range t.live() {
			if m.Name == n.From {
				go t.fetch(ctx, m, k)
			}
		}
	}
	if fresh {
		t.wake()
	}
}

// Query asks an entry for what it knows behind a revision.
type Query struct {
	Kind  Kind   `json:"kind"`
	After uint64 `json:"after"`
}

// Reply answers a Query.
type Reply struct {
	Mark  Mark  `json:"mark"`
	Delta Delta `json:"delta"`
}

// Answer answers a query of another entry.
func (t *Tracker) Answer(q Query) (Reply, error) {
	if q.Kind < 0 || q.Kind >= Kinds {
		return Reply{}, errors.NotValidf("kind %d", int(q.Kind))
	}
	return Reply{Mark: t.state.Mark(time.Now(), q.Kind), Delta: t.state.Since(q.Kind, q.After)}, nil
}

// Serve answers a message of another entry.
func (t *Tracker) Serve(ctx context.Context, path string, body []byte) (any, error) {
	switch path {
	case PathNews:
		var n News
		if err := json.Unmarshal(body, &n); err != nil {
			return nil, errors.Trace(err)
		}
		t.Hear(ctx, n)
		return struct{}{}, nil
	case PathState:
		var q Query
		if err := json.Unmarshal(body, &q); err != nil {
			return nil, errors.Trace(err)
		}
		return t.Answer(q)
	default:
		return nil, errors.NotFoundf("path %q", path)
	}
}

// ask asks a few other entries for what they know, since the store can't be
// read.
func (t *Tracker) ask(ctx context.Context, k Kind) {
	live := t.live()
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	asked := 0
	for _, m := range live {
		if m.Name != t.self && asked < peersAsked {
			asked++
			t.fetch(ctx, m, k)
		}
	}
}

func (t *Tracker) fetch(ctx context.Context, m announcer.Member, k Kind) {
	var r Reply
	q := Query{Kind: k, After: t.state.Mark(time.Now(), k).AsOf}
	asked := time.Now()
	if err := t.peers.Send(ctx, m, PathState, q, &r); err != nil {
		t.log.Debug("peer not asked", "peer", m.Name, "error", err.Error())
		return
	}
	if r.Delta.Kind != k || r.Delta.AsOf == 0 {
		return
	}
	if err := t.apply(asked.Add(-r.Mark.Age), r.Delta, m.Name); err != nil {
		t.log.Debug("state of a peer not taken", "peer", m.Name, "error", err.Error())
	}
}
