package tracker

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"poplarwind/placer"
	"poplarwind/router"
)

//go:generate go tool stringer -type=Kind -linecomment -output=kind_string.go

// Kind is a kind of object in the store.
type Kind int

// The kinds that entries replicate.
const (
	Configs   Kind = iota // config
	Upstreams             // upstreams
	// Evacuations has an object for each failure domain whose upstreams get no requests. It is
	// replicated only if the tracker is told to.
	Evacuations // evacuations
	// Kinds is the number of kinds.
	Kinds // kinds
)

// ErrGap reports a delta that can't be applied because changes between the
// replica's revision and the delta may be missing.
const ErrGap = errors.ConstError("delta does not continue from the replica's revision")

// Change is the state of one object at a revision, or its removal.
type Change struct {
	Name string `json:"name"`
	// Revision is the revision of the object's last change, 0 for removals.
	Revision uint64 `json:"rev"`
	Removed  bool   `json:"gone,omitempty"`
	// HappenedBy is the revision of the store by which the change is certain to
	// have happened. It is 0 if the change came from the store itself: the
	// change then happened within the range of its delta.
	HappenedBy uint64 `json:"at,omitempty"`
	// Config and Upstream are the decoded object, nil if it can't be decoded.
	Config   *router.Spec `json:"config,omitempty"`
	Upstream *placer.Spec `json:"upstream,omitempty"`
}

// Delta is the changes of one kind between two revisions of the store, in one era.
type Delta struct {
	Kind Kind `json:"kind"`
	// Era is the era of the store, which rises each time that it is restored from a
	// backup and has lost changes; revisions are then given out again. It is 0 if
	// unknown, which counts as that of the replica.
	Era uint64 `json:"era,omitempty"`
	// After and AsOf are the revisions before and after the changes.
	After uint64 `json:"after,omitempty"`
	AsOf  uint64 `json:"asof"`
	// Snapshot reports whether the delta is a snapshot: the changes are all
	// objects that exist.
	Snapshot bool     `json:"whole,omitempty"`
	Changes  []Change `json:"changes,omitempty"`
}

// maxLog bounds the number of deltas that are retained for entries that lag.
const maxLog = 256

// replica is the local replica of the objects of one kind.
type replica struct {
	items map[string]Change
	// era is the era of the store that the revisions belong to. It never falls.
	era uint64
	// asOf is the revision of the store that the items reflect, 0 before the
	// first delta.
	asOf uint64
	// fresh is the last time at which the items are certain to have been the
	// store's newest, and freshBefore the last time at which those were that Take
	// returned last. It is valid if changed is set: the items have changed since.
	fresh, freshBefore time.Time
	changed            bool
	// log holds the last deltas. Each starts at the revision at which the one
	// before it ends, and holds the objects that did not change again later.
	log []Delta
}

// State is an entry's local replica of the store. Its zero value is empty. It
// is safe for concurrent use.
type State struct {
	mu    sync.Mutex
	kinds [Kinds]replica
	// changed is closed when an object changes, and created anew on demand.
	changed chan struct{}
}

// Changed returns a channel that is closed at the next change.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// Apply applies a delta that was the store's newest state at fresh. It returns
// the changes that the replica did not have, including the removals that a
// snapshot implies, or ErrGap. A delta that ends before the replica's revision, or
// belongs to an earlier era, has no effect. Only a snapshot leads to a later era.
func (s *State) Apply(fresh time.Time, d Delta) ([]Change, error) {
	if d.Kind < 0 || d.Kind >= Kinds {
		return nil, errors.NotValidf("kind %d", int(d.Kind))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &s.kinds[d.Kind]
	if d.Era == 0 {
		d.Era = r.era
	}
	if !r.applicable(d) {
		return nil, errors.Trace(ErrGap)
	}
	if (Position{Era: r.era, AsOf: r.asOf}).newer(d.Era, d.AsOf) {
		return nil, nil
	}
	var missing []Change
	switch {
	case d.Era > r.era && r.items != nil:
		missing = r.startEra(d)
	case d.AsOf > r.asOf || r.items == nil:
		r.era = d.Era
		missing = r.missing(d)
		r.update(d, missing)
	}
	if fresh.After(r.fresh) {
		r.fresh = fresh
	}
	if len(missing) > 0 && s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	return missing, nil
}

// CompleteConfig replaces the configuration of an object at a revision by one that was decoded with more
// fields. The replica would otherwise keep, and pass on, what an entry of an earlier build had passed on.
func (s *State) CompleteConfig(name string, revision uint64, spec *router.Spec) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &s.kinds[Configs]
	incomplete := func(c Change) bool { return c.Name == name && c.Revision == revision && c.Config != nil }
	if c := r.items[name]; incomplete(c) {
		c.Config = spec
		r.items[name] = c
	}
	for i, d := range r.log {
		j := slices.IndexFunc(d.Changes, incomplete)
		if j >= 0 {
			// Others may hold the slice.
			r.log[i].Changes = slices.Clone(d.Changes)
			r.log[i].Changes[j].Config = spec
		}
	}
}

// startEra replaces the items by a snapshot of a later era and returns those that differ.
// The revisions of the two eras can't be compared.
func (r *replica) startEra(d Delta) []Change {
	before := r.items
	*r = replica{era: d.Era, items: make(map[string]Change, len(d.Changes)), asOf: d.AsOf}
	var out []Change
	for _, c := range d.Changes {
		if c.HappenedBy == 0 {
			c.HappenedBy = d.AsOf
		}
		old, ok := before[c.Name]
		c = newerConfig(old, c)
		r.items[c.Name] = c
		if !ok || !sameObject(old, c) {
			out = append(out, c)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if _, ok := r.items[name]; ok {
			continue
		}
		if old := before[name]; old.Config != nil {
			// The backup is from before the first configuration.
			old.HappenedBy = d.AsOf
			r.items[name] = old
			continue
		}
		out = append(out, Change{Name: name, Removed: true, HappenedBy: d.AsOf})
	}
	return out
}

// newerConfig returns a change, with the configuration of the state before it if that has
// a higher version: a store that has lost changes returns earlier versions, and they are
// written again in their order.
func newerConfig(old, c Change) Change {
	if old.Config != nil && !c.Removed && (c.Config == nil || c.Config.Version < old.Config.Version) {
		c.Config = old.Config
	}
	return c
}

// sameObject reports whether two changes lead to the same object.
func sameObject(a, b Change) bool {
	if a.Upstream != nil && b.Upstream != nil {
		return *a.Upstream == *b.Upstream
	}
	return a.Upstream == b.Upstream && a.Config == b.Config
}

// applicable reports whether the delta can be applied. A delta that starts
// before the replica's revision repeats changes that the replica has, and a
// later change that reverted one of them may be absent from it. Such a delta is
// applicable only if each of its changes carries the revision by which it
// happened.
func (r *replica) applicable(d Delta) bool {
	if d.Snapshot || d.Era < r.era {
		return true
	}
	if r.items == nil || d.Era > r.era || d.After > r.asOf {
		return false
	}
	return d.After == r.asOf || !slices.ContainsFunc(d.Changes, func(c Change) bool { return c.HappenedBy == 0 })
}

// missing returns the changes of the delta that the replica does not have.
func (r *replica) missing(d Delta) []Change {
	var out []Change
	seen := make(map[string]bool, len(d.Changes))
	for _, c := range d.Changes {
		seen[c.Name] = true
		if !d.Snapshot && c.HappenedBy > 0 && c.HappenedBy <= r.asOf {
			continue
		}
		if c.HappenedBy == 0 {
			c.HappenedBy = d.AsOf
		}
		old, ok := r.items[c.Name]
		c = newerConfig(old, c)
		if !d.Snapshot || !ok || c.Revision != old.Revision {
			out = append(out, c)
		}
	}
	if d.Snapshot {
		for _, name := range slices.Sorted(maps.Keys(r.items)) {
			if !seen[name] {
				out = append(out, Change{Name: name, Removed: true, HappenedBy: d.AsOf})
			}
		}
	}
	return out
}

// update applies the changes to the items and the log, and moves the replica to
// the revision at which the delta ends.
func (r *replica) update(d Delta, changes []Change) {
	if r.items == nil {
		r.items = make(map[string]Change)
	}
	for _, c := range changes {
		if c.Removed {
			delete(r.items, c.Name)
		} else {
			r.items[c.Name] = c
		}
	}
	if len(changes) > 0 {
		if !r.changed {
			r.freshBefore, r.changed = r.fresh, true
		}
		r.dropSuperseded(changes)
		r.log = append(r.log, Delta{Kind: d.Kind, Era: r.era, After: r.asOf, AsOf: d.AsOf, Changes: changes})
		r.log = r.log[max(0, len(r.log)-maxLog):]
	} else if n := len(r.log); n > 0 {
		r.log[n-1].AsOf = d.AsOf
	}
	r.asOf = d.AsOf
}

// dropSuperseded removes from the log the earlier changes of objects that change again. An entry
// that lags needs the newest state of each object only, however many changes it missed.
func (r *replica) dropSuperseded(changes []Change) {
	names := make(map[string]bool, len(changes))
	for _, c := range changes {
		names[c.Name] = true
	}
	superseded := func(c Change) bool { return names[c.Name] }
	for i, d := range r.log {
		if slices.ContainsFunc(d.Changes, superseded) {
			// Others may hold the slice.
			r.log[i].Changes = slices.DeleteFunc(slices.Clone(d.Changes), superseded)
		}
	}
}

// Since returns the changes after a revision of an era, or a snapshot if the log does not
// reach back to it.
func (s *State) Since(k Kind, era, after uint64) Delta {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.since(k, era, after)
}

// SinceAt returns the result of Since together with the position that it leads to.
func (s *State) SinceAt(now time.Time, k Kind, era, after uint64) (Delta, Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.since(k, era, after), s.kinds[k].position(now)
}

// Take returns all objects of a kind as a snapshot, and the last time at which those that it has
// returned before are certain to have been the store's newest, now if they still are. Several changes
// may have come since then. It is for one task.
func (s *State) Take(now time.Time, k Kind) (d Delta, confirmed time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &s.kinds[k]
	confirmed = now
	if r.changed {
		confirmed = now.Add(-ageAt(now, r.freshBefore))
	}
	r.changed = false
	return s.since(k, 0, 0), confirmed
}

// since implements Since. The lock must be held.
func (s *State) since(k Kind, era, after uint64) Delta {
	r := &s.kinds[k]
	if era != r.era {
		after = 0
	}
	d := Delta{Kind: k, Era: r.era, After: after, AsOf: r.asOf}
	if after >= r.asOf {
		return d
	}
	i := len(r.log)
	for i > 0 && r.log[i-1].AsOf > after {
		i--
	}
	if i < len(r.log) && r.log[i].After <= after && after > 0 {
		for _, l := range r.log[i:] {
			for _, c := range l.Changes {
				if c.HappenedBy > after {
					d.Changes = append(d.Changes, c)
				}
			}
		}
		return d
	}
	d.Snapshot = true
	for _, name := range slices.Sorted(maps.Keys(r.items)) {
		d.Changes = append(d.Changes, r.items[name])
	}
	return d
}

// Position is the revision and the age of the replica of a kind.
type Position struct {
	// Era is the era of the store that the revision belongs to, 0 if unknown.
	Era  uint64 `json:"era,omitempty"`
	AsOf uint64 `json:"asof"`
	// Age is the time since the revision was last certain to be the store's
	// newest, at most maxAge.
	Age time.Duration `json:"age"`
}

// maxAge bounds ages, including that of a replica that was never certain to be the
// store's newest, so that times computed from them do not overflow.
const maxAge = 24 * time.Hour

// newer reports whether the position is newer than a revision of an era, which is 0 if
// unknown.
func (p Position) newer(era, asOf uint64) bool {
	return era > 0 && era < p.Era || (era == 0 || era == p.Era) && asOf < p.AsOf
}

// Positions holds the position of each kind. Builds differ in the number of kinds: decoding ignores
// those that are not known here, and leaves out of reach those that the sender does not know.
type Positions [Kinds]Position

// optionalKinds is the first kind that entries replicate only if they are told to.
const optionalKinds = Evacuations

// MarshalJSON implements json.Marshaler. Kinds that are not replicated are left out, so that the
// message is that of the builds that do not know them.
func (p Positions) MarshalJSON() ([]byte, error) {
	n := len(p)
	for n > int(optionalKinds) && p[n-1].AsOf == 0 {
		n--
	}
	return json.Marshal(p[:n])
}

// valid reports whether a position received from another entry can be used.
func (p Position) valid() bool { return p.Age >= 0 && p.Age <= maxAge }

func (r *replica) position(now time.Time) Position {
	return Position{Era: r.era, AsOf: r.asOf, Age: ageAt(now, r.fresh)}
}

// ageAt returns the time since t, from 0 to maxAge.
func ageAt(now, t time.Time) time.Duration { return min(max(now.Sub(t), 0), maxAge) }

// Position returns the revision and the age of the replica of a kind. AsOf is 0 if
// no delta has been applied yet.
func (s *State) Position(now time.Time, k Kind) Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kinds[k].position(now)
}

// ConfirmFresh records that revision asOf of an era was the store's newest at fresh. It
// reports whether the replica has that revision or a later one, and whether this
// confirmed it at a later time than known before.
func (s *State) ConfirmFresh(fresh time.Time, k Kind, era, asOf uint64) (known, newer bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &s.kinds[k]
	if era == 0 {
		era = r.era
	}
	switch {
	case (Position{Era: r.era, AsOf: r.asOf}).newer(era, asOf):
		return true, false
	case era > r.era || asOf > r.asOf:
		return asOf == 0, false
	}
	newer = asOf > 0 && fresh.After(r.fresh)
	if newer {
		r.fresh = fresh
	}
	return true, newer
}

// Len returns the number of objects of a kind.
func (s *State) Len(k Kind) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.kinds[k].items)
}

// All returns the objects of a kind in order of name.
func (s *State) All(k Kind) []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &s.kinds[k]
	out := make([]Change, 0, len(r.items))
	for _, name := range slices.Sorted(maps.Keys(r.items)) {
		out = append(out, r.items[name])
	}
	return out
}
