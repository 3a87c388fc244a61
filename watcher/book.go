package watcher

import (
	"encoding/binary"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"poplarwind/keeper"
	"poplarwind/parser"
)

// Entry is what a Book knows of one path.
type Entry struct {
	// object is the accepted version; its Version is 0 if there is none.
	object keeper.Object
	// refused is the newest refused version, 0 if there is none above object.
	refused uint64
	// fault says why refused was refused, nil when refused is 0.
	fault error
	// envelope is opened from object.
	envelope keeper.Envelope
	// service and team are parsed from object; at most one is set.
	service *parser.Service
	team    *parser.Team
}

// Path returns the settings path.
func (e *Entry) Path() string { return strings.TrimPrefix(e.object.Path, keeper.Prefix) }

// Object returns the accepted object, shared and read-only.
func (e *Entry) Object() keeper.Object { return e.object }

// Version returns the accepted version, 0 if none was accepted yet.
func (e *Entry) Version() uint64 { return e.object.Version }

// Refused returns the newest refused version above the accepted one and its
// fault, or 0 and nil.
func (e *Entry) Refused() (uint64, error) { return e.refused, e.fault }

// View is an immutable set of accepted settings.
type View struct {
	// entries are keyed by settings path, such as "/team/service".
	entries map[string]*Entry
	// digest depends on the accepted versions alone.
	digest uint64
}

// Service returns the accepted settings of the service at path, or nil.
func (v *View) Service(path string) *parser.Service {
	if e := v.entries[path]; e != nil {
		return e.service
	}
	return nil
}

// Team returns the accepted settings of the team, or nil for the defaults.
func (v *View) Team(team string) *parser.Team {
	if e := v.entries["/"+team]; e != nil {
		return e.team
	}
	return nil
}

// Entries returns all entries in order of path.
func (v *View) Entries() []*Entry {
	out := make([]*Entry, 0, len(v.entries))
	for _, k := range slices.Sorted(maps.Keys(v.entries)) {
		out = append(out, v.entries[k])
	}
	return out
}

// Digest returns a number that two views with the same accepted versions
// share.
func (v *View) Digest() uint64 { return v.digest }

// Book holds accepted settings. Its zero value is empty and ready to use.
type Book struct {
	mu sync.RWMutex
	// view is replaced as a whole on each change, never changed in place.
	view *View
	// changed is closed and replaced on each change.
	changed chan struct{}
}

// View returns the accepted settings of now.
func (b *Book) View() *View {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if b.view == nil {
		return &View{}
	}
	return b.view
}

// Changed returns a channel that is closed on the next change.
func (b *Book) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return b.changed
}

// Offer shows the book one version of one object. The book takes it if its
// document is accepted and its version is above the accepted one; a refused
// document leaves the accepted one in force. Offer reports whether the view
// changed.
func (b *Book) Offer(o keeper.Object) bool {
	path, ok := strings.CutPrefix(o.Path, keeper.Prefix)
	if !ok {
		return false
	}
	next := judge(path, o)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.view == nil {
		b.view = &View{}
	}
	old := b.view.entries[path]
	merged, ok := merge(old, next)
	if !ok || b.overfull(path, next, old) {
		return false
	}
	v := &View{entries: maps.Clone(b.view.entries)}
	if v.entries == nil {
		v.entries = make(map[string]*Entry)
	}
	v.entries[path] = merged
	v.digest = digest(v.entries)
	b.view = v
	if b.changed != nil {
		close(b.changed)
	}
	b.changed = nil
	return true
}

// judge decides on one object by its path and bytes alone.
func judge(path string, o keeper.Object) *Entry {
	refuse := func(err error) *Entry {
		return &Entry{object: keeper.Object{Path: o.Path}, refused: o.Version, fault: err}
	}
	if err := parser.CheckPath(path); err != nil {
		return refuse(err)
	}
	e, err := keeper.Open(o.Data)
	if err != nil {
		return refuse(err)
	}
	n := &Entry{object: o, envelope: e}
	if parser.IsTeam(path) {
		n.team, err = parser.ParseTeam("", path, []byte(e.Doc))
	} else {
		n.service, err = parser.ParseService("", path, []byte(e.Doc))
	}
	if err != nil {
		return refuse(err)
	}
	return n
}

// merge combines what is known of a path with a newly judged version. It
// reports false if that tells nothing new.
func merge(old, next *Entry) (*Entry, bool) {
	if old == nil {
		return next, true
	}
	if next.refused > 0 {
		if next.refused <= old.refused || next.refused <= old.Version() {
			return nil, false
		}
		m := *old
		m.refused, m.fault = next.refused, next.fault
		return &m, true
	}
	if next.Version() <= old.Version() {
		return nil, false
	}
	m := *next
	if old.refused > next.Version() {
		m.refused, m.fault = old.refused, old.fault
	}
	return &m, true
}

// maxBookSubtree bounds what a process holds for one team, as a guard of its
// memory. It is well above parser.MaxSubtree, which operators' tools enforce,
// so that a team within its bound is never affected.
const maxBookSubtree = 4 * parser.MaxSubtree

func (b *Book) overfull(path string, next, old *Entry) bool {
	if old != nil {
		return false
	}
	team, sum := parser.TeamOf(path), len(next.object.Data)
	for p, e := range b.view.entries {
		if parser.TeamOf(p) == team {
			sum += len(e.object.Data)
		}
	}
	return sum > maxBookSubtree
}

func digest(entries map[string]*Entry) uint64 {
	d := xxhash.New()
	for _, p := range slices.Sorted(maps.Keys(entries)) {
		v := entries[p].Version()
		if v == 0 {
			continue
		}
		_, _ = d.WriteString(p)
		_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, v))
	}
	return d.Sum64()
}
