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

// Update is a message that reports the state of an entry's replica to other
// entries.
type Update struct {
	From      string          `json:"from"`
	Positions [Kinds]Position `json:"marks"`
	// Deltas holds the latest changes of each kind that has any.
	Deltas []Delta `json:"deltas,omitempty"`
	// Unreachable holds the entries that are marked as unable to reach the
	// store, and the remaining duration of each mark.
	Unreachable map[string]time.Duration `json:"blind,omitempty"`
}

// Disseminate sends updates to this entry's recipients until ctx ends.
func (t *Tracker) Disseminate(ctx context.Context) error {
	var sent [Kinds]uint64
	for ctx.Err() == nil {
		select {
		case <-t.updated:
		case <-ctx.Done():
			return nil
		}
		sleeper.Sleep(ctx, batchDelay)
		now := time.Now()
		u := Update{From: t.self, Unreachable: t.unreachableEntries(now)}
		recipients := t.recipients(u.Unreachable)
		if len(recipients) == 0 {
			continue
		}
		for k := range Kinds {
			u.Positions[k] = t.state.Position(now, k)
			if u.Positions[k].AsOf > sent[k] && sent[k] > 0 {
				u.Deltas = append(u.Deltas, t.state.Since(k, sent[k]))
			}
			sent[k] = u.Positions[k].AsOf
		}
		for _, m := range recipients {
			go t.send(ctx, m, u)
		}
	}
	return nil
}

func (t *Tracker) send(ctx context.Context, m announcer.Member, u Update) {
	var none struct{}
	if err := t.peers.Send(ctx, m, PathUpdate, u, &none); err != nil {
		t.log.Debug("update not delivered to peer", "to", m.Name, "error", err.Error())
	}
}

// Receive applies an update of another entry. If the replica of a kind is then
// still older than the sender's, the missing changes are fetched from the
// sender.
func (t *Tracker) Receive(ctx context.Context, u Update) {
	now := time.Now()
	t.markUnreachable(u.Unreachable)
	forward := len(u.Unreachable) > 0
	for _, d := range u.Deltas {
		if d.Kind < 0 || d.Kind >= Kinds {
			continue
		}
		if changes, err := t.state.Apply(now.Add(-u.Positions[d.Kind].Age), d); err == nil {
			for _, c := range changes {
				t.logChange(d.Kind, c, d.AsOf, u.From)
			}
		}
	}
	for k := range Kinds {
		if t.state.ConfirmFresh(now.Add(-u.Positions[k].Age), k, u.Positions[k].AsOf) {
			forward = true
			continue
		}
		for _, m := range t.live() {
			if m.Name == u.From {
				go t.fetch(ctx, m, k)
			}
		}
	}
	if forward {
		t.signalUpdate()
	}
}

// Query requests the changes of a kind after a revision from another entry.
type Query struct {
	Kind  Kind   `json:"kind"`
	After uint64 `json:"after"`
}

// Reply is the reply to a Query.
type Reply struct {
	Position Position `json:"mark"`
	Delta    Delta    `json:"delta"`
}

// HandleQuery returns the reply to a query of another entry.
func (t *Tracker) HandleQuery(q Query) (Reply, error) {
	if q.Kind < 0 || q.Kind >= Kinds {
		return Reply{}, errors.NotValidf("kind %d", int(q.Kind))
	}
	return Reply{Position: t.state.Position(time.Now(), q.Kind), Delta: t.state.Since(q.Kind, q.After)}, nil
}

// Serve handles a message of another entry and returns the reply.
func (t *Tracker) Serve(ctx context.Context, path string, body []byte) (any, error) {
	switch path {
	case PathUpdate:
		var u Update
		if err := json.Unmarshal(body, &u); err != nil {
			return nil, errors.Trace(err)
		}
		t.Receive(ctx, u)
		return struct{}{}, nil
	case PathState:
		var q Query
		if err := json.Unmarshal(body, &q); err != nil {
			return nil, errors.Trace(err)
		}
		return t.HandleQuery(q)
	default:
		return nil, errors.NotFoundf("path %q", path)
	}
}

// queryPeers fetches missing changes of a kind from up to peersQueried other
// entries, chosen at random. It is used when the store can't be read.
func (t *Tracker) queryPeers(ctx context.Context, k Kind) {
	live := t.live()
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	queried := 0
	for _, m := range live {
		if m.Name != t.self && queried < peersQueried {
			queried++
			t.fetch(ctx, m, k)
		}
	}
}

// fetch queries one entry for the changes of a kind that the replica lacks and
// applies them.
func (t *Tracker) fetch(ctx context.Context, m announcer.Member, k Kind) {
	var r Reply
	q := Query{Kind: k, After: t.state.Position(time.Now(), k).AsOf}
	sentAt := time.Now()
	if err := t.peers.Send(ctx, m, PathState, q, &r); err != nil {
		t.log.Debug("state query to peer failed", "peer", m.Name, "error", err.Error())
		return
	}
	if r.Delta.Kind != k || r.Delta.AsOf == 0 {
		return
	}
	if err := t.apply(sentAt.Add(-r.Position.Age), r.Delta, m.Name); err != nil {
		t.log.Debug("state of peer not applied", "peer", m.Name, "error", err.Error())
	}
}
