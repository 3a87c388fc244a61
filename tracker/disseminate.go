package tracker

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"poplarwind/announcer"
	"poplarwind/internal/guarder"
	"poplarwind/internal/sleeper"
)

// Update is a message that reports the state of an entry's replica to other
// entries.
type Update struct {
	From      string    `json:"from"`
	Positions Positions `json:"marks"`
	// Deltas holds the latest changes of each kind that has any.
	Deltas []Delta `json:"deltas,omitempty"`
	// Unreachable holds the entries that are marked as unable to reach the
	// store, and the remaining duration of each mark.
	Unreachable map[string]time.Duration `json:"blind,omitempty"`
}

// Disseminate sends updates to this entry's recipients until ctx ends.
func (t *Tracker) Disseminate(ctx context.Context) error {
	var sent Positions
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
			if t.watchWaits[k] == 0 {
				continue
			}
			u.Positions[k] = t.state.Position(now, k)
			if p := u.Positions[k]; p.Era == sent[k].Era && p.AsOf > sent[k].AsOf && sent[k].AsOf > 0 {
				u.Deltas = append(u.Deltas, t.state.Since(k, sent[k].Era, sent[k].AsOf))
			}
			sent[k] = u.Positions[k]
		}
		body, err := announcer.Pack(u)
		if err != nil {
			t.log.Error("update can't be encoded", "error", err.Error())
			continue
		}
		for _, m := range recipients {
			go t.send(ctx, m, body)
		}
	}
	return nil
}

func (t *Tracker) send(ctx context.Context, m announcer.Member, u announcer.Packed) {
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
	forward := t.markUnreachable(u.Unreachable)
	for _, d := range u.Deltas {
		if d.Kind < 0 || d.Kind >= Kinds || t.watchWaits[d.Kind] == 0 || !u.Positions[d.Kind].valid() {
			continue
		}
		if changes, err := t.state.Apply(now.Add(-u.Positions[d.Kind].Age), d); err == nil {
			t.logChanges(d, changes, u.From)
			forward = forward || len(changes) > 0
		}
	}
	for k := range Kinds {
		if t.watchWaits[k] == 0 || !u.Positions[k].valid() {
			continue
		}
		known, newer := t.state.ConfirmFresh(now.Add(-u.Positions[k].Age), k, u.Positions[k].Era, u.Positions[k].AsOf)
		forward = forward || newer
		if known {
			continue
		}
		for _, m := range t.live() {
			if m.Name == u.From {
				go func() {
					defer guarder.Contain(t.log, "query for changes", nil)
					t.fetch(ctx, m, k)
				}()
			}
		}
	}
	if forward {
		t.signalUpdate()
	}
}

// Query requests the changes of a kind after a revision of an era from another entry.
type Query struct {
	Kind  Kind   `json:"kind"`
	Era   uint64 `json:"era,omitempty"`
	After uint64 `json:"after"`
}

// Reply is the reply to a Query.
type Reply struct {
	Position Position `json:"mark"`
	Delta    Delta    `json:"delta"`
}

// snapshotReply is an encoded reply with a snapshot.
type snapshotReply struct {
	mu   sync.Mutex
	body announcer.Packed
	// madeAt is when the reply was encoded, and position where it leads.
	madeAt   time.Time
	position Position
}

// snapshotReplyTTL is how long an encoded snapshot is reused: many entries may start
// at the same time. The reply states an age that is greater by this time.
const snapshotReplyTTL = 100 * time.Millisecond

// reply returns the reply to a query of another entry: a Reply, or its encoding. If more than half
// of the objects have changed, it is a snapshot, whose encoding many entries share.
func (t *Tracker) reply(q Query) (any, error) {
	if q.Kind < 0 || q.Kind >= Kinds {
		return nil, errors.NotValidf("kind %d", int(q.Kind))
	}
	now := time.Now()
	d, position := t.state.SinceAt(now, q.Kind, q.Era, q.After)
	if !d.Snapshot && 2*len(d.Changes) <= t.state.Len(q.Kind) {
		return Reply{Position: position, Delta: d}, nil
	}
	s := &t.replies[q.Kind]
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := s.position.Era == position.Era && s.position.AsOf == position.AsOf
	if s.body != nil && now.Sub(s.madeAt) < snapshotReplyTTL && (newest || q.After == 0) {
		return s.body, nil
	}
	return s.encode(t.state, q.Kind)
}

// encode encodes a reply with a snapshot. The lock must be held.
func (s *snapshotReply) encode(state *State, k Kind) (announcer.Packed, error) {
	var r Reply
	now := time.Now()
	r.Delta, r.Position = state.SinceAt(now, k, 0, 0)
	position := r.Position
	r.Position.Age = min(r.Position.Age+snapshotReplyTTL, maxAge)
	body, err := announcer.Pack(r)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if position.AsOf > 0 {
		s.body, s.madeAt, s.position = body, now, position
	}
	return body, nil
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
		return t.reply(q)
	default:
		return nil, errors.NotFoundf("path %q", path)
	}
}

// queryPeers fetches missing changes of a kind from two other entries: a reader of
// the failure domain and any other one, both chosen at random. It returns the
// number of entries that replied.
func (t *Tracker) queryPeers(ctx context.Context, k Kind, role Role) int {
	live := t.live()
	queried := make([]announcer.Member, 0, 2)
	if n := len(role.Readers); n > 0 {
		queried = append(queried, role.Readers[rand.N(n)])
	}
	if n := len(live); n > 1 {
		i := rand.N(n)
		if live[i].Name == t.self {
			i = (i + 1) % n
		}
		queried = append(queried, live[i])
	} else if t.contacts != nil {
		if contacts := t.contacts(); len(contacts) > 0 {
			queried = append(queried, contacts[rand.N(len(contacts))])
		}
	}
	replied := 0
	for _, m := range queried {
		if t.fetch(ctx, m, k) {
			replied++
		}
	}
	return replied
}

// fetch queries one entry for the changes of a kind that the replica lacks and
// applies them. It reports whether the entry replied.
func (t *Tracker) fetch(ctx context.Context, m announcer.Member, k Kind) bool {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var r Reply
	sentAt := time.Now()
	position := t.state.Position(sentAt, k)
	q := Query{Kind: k, Era: position.Era, After: position.AsOf}
	if err := t.peers.Send(ctx, m, PathState, q, &r); err != nil {
		t.log.Debug("state query to peer failed", "peer", m.Name, "error", err.Error())
		return false
	}
	if r.Delta.Kind != k || r.Delta.AsOf == 0 || !r.Position.valid() {
		return true
	}
	if err := t.apply(sentAt.Add(-r.Position.Age), r.Delta, m.Name); err != nil {
		t.log.Debug("state of peer not applied", "peer", m.Name, "error", err.Error())
	}
	return true
}
