package tracker

import (
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

// The kinds that entries keep copies of.
const (
	Configs   Kind = iota // config
	Upstreams             // upstreams
	// Kinds is how many there are.
	Kinds // kinds
)

// ErrGap reports a delta that does not follow on what is known.
const ErrGap = errors.ConstError("changes are missing in between")

// Change is one object as it is at a revision, or its removal.
type Change struct {
	Name string `json:"name"`
	// Revision is that of the object's last change, 0 for removals.
	Revision uint64 `json:"rev"`
	Gone     bool   `json:"gone,omitempty"`
	// At is the revision of the store by which the change is known to have
	// happened, 0 if it came from the store itself: it then happened within the
	// span of its delta.
	At uint64 `json:"at,omitempty"`
	// Config and Upstream are what the object says, nil if it can't be read.
	Config   *router.Spec `json:"config,omitempty"`
	Upstream *placer.Spec `json:"upstream,omitempty"`
}

// Delta is the changes of one kind between two revisions of the store.
type Delta struct {
	Kind Kind `json:"kind"`
	// After and AsOf are the revisions before and behind the changes.
	After uint64 `json:"after,omitempty"`
	AsOf  uint64 `json:"asof"`
	// Whole says that the changes are all objects that there are.
	Whole   bool     `json:"whole,omitempty"`
	Changes []Change `json:"changes,omitempty"`
}

// maxLog bounds the changes that are kept for entries that lag.
const maxLog = 256

// replica is the copy of one kind.
type replica struct {
	items map[string]Change
	// asOf is the store's revision that the items are as of, 0 before any.
	asOf uint64
	// fresh is when the items were last known to be the store's newest.
	fresh time.Time
	// log holds the last deltas, each beginning where the one before ends.
	log []Delta
}

// State is an entry's copy of the store. Its zero value is empty. It is safe
// for concurrent use.
type State struct {
	mu    sync.Mutex
	kinds [Kinds]replica
	// changed is closed and replaced when anything changes.
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

// Apply takes in a delta that was the store's newest state at fresh. It
// returns the changes that were news, in which removals that a whole copy
// implies are spelt out, or ErrGap.
func (s *State) Apply(fresh time.Time, d Delta) ([]Change, error) {
	if d.Kind < 0 || d.Kind >= Kinds {
		return nil, errors.NotValidf("kind %d", int(d.Kind))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &s.kinds[d.Kind]
	if !r.follows(d) {
		return nil, errors.Trace(ErrGap)
	}
	if d.AsOf < r.asOf {
		return nil, nil
	}
	var news []Change
	if d.AsOf > r.asOf || r.items == nil {
		news = r.news(d)
		r.take(d, news)
	}
	if fresh.After(r.fresh) {
		r.fresh = fresh
	}
	if len(news) > 0 && s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	return news, nil
}

// follows reports whether the delta can be taken in. One that begins earlier
// than the copy ends holds changes that the copy has, and what undid them may
// have left no trace there: its changes must say when they happened.
func (r *replica) follows(d Delta) bool {
	if d.Whole {
		return true
	}
	if r.items == nil || d.After > r.asOf {
		return false
	}
	return d.After == r.asOf || !slices.ContainsFunc(d.Changes, func(c Change) bool { return c.At == 0 })
}

// news returns the changes of the delta that the copy does not have.
func (r *replica) news(d Delta) []Change {
	var out []Change
	seen := make(map[string]bool, len(d.Changes))
	for _, c := range d.Changes {
		seen[c.Name] = true
		if !d.Whole && c.At > 0 && c.At <= r.asOf {
			continue
		}
		if c.At == 0 {
			c.At = d.AsOf
		}
		old, known := r.items[c.Name]
		if !d.Whole || !known || c.Revision != old.Revision {
			out = append(out, c)
		}
	}
	if d.Whole {
		for _, name := range slices.Sorted(maps.Keys(r.items)) {
			if !seen[name] {
				out = append(out, Change{Name: name, Gone: true, At: d.AsOf})
			}
		}
	}
	return out
}

func (r *replica) take(d Delta, news []Change) {
	if r.items == nil {
		r.items = make(map[string]Change)
	}
	for _, c := range news {
		if c.Gone {
			delete(r.items, c.Name)
		} else {
			r.items[c.Name] = c
		}
	}
	if len(news) > 0 {
		r.log = append(r.log, Delta{Kind: d.Kind, After: r.asOf, AsOf: d.AsOf, Changes: news})
		r.log = r.log[max(0, len(r.log)-maxLog):]
	} else if n := len(r.log); n > 0 {
		r.log[n-1].AsOf = d.AsOf
	}
	r.asOf = d.AsOf
}

// Since returns what happened behind a revision, or the whole copy if that is
// not remembered.
func (s *State) Since(k Kind, after uint64) Delta {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &s.kinds[k]
	d := Delta{Kind: k, After: after, AsOf: r.asOf}
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
				if c.At > after {
					d.Changes = append(d.Changes, c)
				}
			}
		}
		return d
	}
	d.Whole = true
	for _, name := range slices.Sorted(maps.Keys(r.items)) {
		d.Changes = append(d.Changes, r.items[name])
	}
	return d
}

// Mark is how far a copy of a kind has come.
type Mark struct {
	AsOf uint64 `json:"asof"`
	// Age is how long ago that was known to be the store's newest.
	Age time.Duration `json:"age"`
}

// Mark returns how far the copy of a kind has come. A copy that was never read
// has AsOf 0.
func (s *State) Mark(now time.Time, k Kind) Mark {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &s.kinds[k]
	return Mark{AsOf: r.asOf, Age: now.Sub(r.fresh)}
}

// Refresh takes in that the copy as of a revision was the newest at fresh. It
// reports false if this copy is older than that.
func (s *State) Refresh(fresh time.Time, k Kind, asOf uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &s.kinds[k]
	if asOf > r.asOf {
		return false
	}
	if asOf == r.asOf && fresh.After(r.fresh) {
		r.fresh = fresh
	}
	return true
}

// All returns the objects of a kind by name.
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
