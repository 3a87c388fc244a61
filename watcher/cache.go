package watcher

import (
	"encoding/binary"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"poplarwind/parser"
	"poplarwind/storer"
)

// PathState is the state that a Cache holds for one path.
type PathState struct {
	// object is the accepted version; its Version is 0 if there is none.
	object storer.Object
	// rejected is the newest rejected version, zero if there is none above that of
	// object.
	rejected storer.Revision
	// fault is the error that caused the rejection, nil if rejected is zero.
	fault error
	// envelope is decoded from object.
	envelope storer.Envelope
	// service and team are parsed from object; at most one is set.
	service *parser.Service
	team    *parser.Team
}

// Path returns the settings path.
func (p *PathState) Path() string { return strings.TrimPrefix(p.object.Path, storer.Prefix) }

// Object returns the accepted object. Its data is shared and must not be
// modified.
func (p *PathState) Object() storer.Object { return p.object }

// Version returns the accepted version, 0 if none has been accepted.
func (p *PathState) Version() uint64 { return p.object.Version }

// Rejected returns the newest rejected version above the accepted one and the
// error that caused the rejection, or 0 and nil if there is none.
func (p *PathState) Rejected() (uint64, error) { return p.rejected.Version, p.fault }

// Snapshot is an immutable snapshot of the accepted settings.
type Snapshot struct {
	// states are keyed by settings path, such as "/team/service".
	states map[string]*PathState
	// digest depends only on the accepted versions.
	digest uint64
}

// Service returns the accepted settings of the service at path, or nil.
func (s *Snapshot) Service(path string) *parser.Service {
	if state := s.states[path]; state != nil {
		return state.service
	}
	return nil
}

// Team returns the accepted settings of the team, or nil if the defaults apply.
func (s *Snapshot) Team(team string) *parser.Team {
	if state := s.states["/"+team]; state != nil {
		return state.team
	}
	return nil
}

// States returns the states of all paths, sorted by path.
func (s *Snapshot) States() []*PathState {
	out := make([]*PathState, 0, len(s.states))
	for _, k := range slices.Sorted(maps.Keys(s.states)) {
		out = append(out, s.states[k])
	}
	return out
}

// Digest returns a hash of the accepted versions. It is equal for snapshots with
// the same accepted versions.
func (s *Snapshot) Digest() uint64 { return s.digest }

// Cache holds the accepted settings. Its zero value is empty and ready to use.
type Cache struct {
	mu sync.RWMutex
	// snapshot is replaced on each change and never modified in place.
	snapshot *Snapshot
	// changed is closed and replaced on each change.
	changed chan struct{}
}

// Snapshot returns the current snapshot of the accepted settings.
func (c *Cache) Snapshot() *Snapshot {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.snapshot == nil {
		return &Snapshot{}
	}
	return c.snapshot
}

// Changed returns a channel that is closed on the next change.
func (c *Cache) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}

// Apply applies one version of one object to the cache. The version becomes the
// accepted one if its document is valid and it is above the accepted version. One
// that was written in an earlier era of the store is below those of later eras.
// An invalid document is recorded as rejected and leaves the accepted one in
// force. Apply reports whether the snapshot changed.
func (c *Cache) Apply(o storer.Object) bool {
	path, ok := strings.CutPrefix(o.Path, storer.Prefix)
	if !ok {
		return false
	}
	next := validate(path, o)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot == nil {
		c.snapshot = &Snapshot{}
	}
	old := c.snapshot.states[path]
	merged, ok := merge(old, next)
	if !ok || c.exceedsTeamLimit(path, next, old) {
		return false
	}
	updated := &Snapshot{states: maps.Clone(c.snapshot.states)}
	if updated.states == nil {
		updated.states = make(map[string]*PathState)
	}
	updated.states[path] = merged
	updated.digest = digest(updated.states)
	c.snapshot = updated
	if c.changed != nil {
		close(c.changed)
	}
	c.changed = nil
	return true
}

// validate accepts or rejects one object. The result depends only on its path
// and bytes, so that every process reaches the same decision.
func validate(path string, o storer.Object) *PathState {
	reject := func(err error) *PathState {
		return &PathState{object: storer.Object{Path: o.Path}, rejected: o.Revision(), fault: err}
	}
	if err := parser.CheckPath(path); err != nil {
		return reject(err)
	}
	e, err := storer.DecodeEnvelope(o.Data)
	if err != nil {
		return reject(err)
	}
	n := &PathState{object: o, envelope: e}
	if parser.IsTeam(path) {
		n.team, err = parser.ParseTeam("", path, []byte(e.Doc))
	} else {
		n.service, err = parser.ParseService("", path, []byte(e.Doc))
	}
	if err != nil {
		return reject(err)
	}
	return n
}

// merge combines the current state of a path with a newly validated version. It
// reports false if the version does not change the state.
func merge(old, next *PathState) (*PathState, bool) {
	if old == nil {
		return next, true
	}
	if next.fault != nil {
		if next.rejected.Compare(old.rejected) <= 0 || next.rejected.Compare(old.object.Revision()) <= 0 {
			return nil, false
		}
		m := *old
		m.rejected, m.fault = next.rejected, next.fault
		return &m, true
	}
	if next.object.Revision().Compare(old.object.Revision()) <= 0 {
		return nil, false
	}
	m := *next
	if old.rejected.Compare(next.object.Revision()) > 0 {
		m.rejected, m.fault = old.rejected, old.fault
	}
	return &m, true
}

// maxTeamBytes bounds the bytes that a process holds for one team, to limit its
// memory. It is well above parser.MaxSubtree, which operators' tools enforce,
// so that a team within that limit is never affected.
const maxTeamBytes = 4 * parser.MaxSubtree

// exceedsTeamLimit reports whether adding a path that the cache does not hold
// yet would exceed maxTeamBytes.
func (c *Cache) exceedsTeamLimit(path string, next, old *PathState) bool {
	if old != nil {
		return false
	}
	team, sum := parser.TeamOf(path), len(next.object.Data)
	for p, state := range c.snapshot.states {
		if parser.TeamOf(p) == team {
			sum += len(state.object.Data)
		}
	}
	return sum > maxTeamBytes
}

// digest hashes the paths and their accepted versions.
func digest(states map[string]*PathState) uint64 {
	d := xxhash.New()
	for _, p := range slices.Sorted(maps.Keys(states)) {
		r := states[p].object.Revision()
		if r.Version == 0 {
			continue
		}
		_, _ = d.WriteString(p)
		b := binary.LittleEndian.AppendUint64(nil, r.Version)
		if r.Era > 0 {
			b = binary.LittleEndian.AppendUint64(b, r.Era)
		}
		_, _ = d.Write(b)
	}
	return d.Sum64()
}
