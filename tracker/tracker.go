package tracker

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"poplarwind/announcer"
	"poplarwind/internal/sleeper"
)

// Errors of a Source.
const (
	// ErrCompacted reports that the store no longer has the changes after the
	// requested revision.
	ErrCompacted = errors.ConstError("store has dropped the changes after the requested revision")
	// ErrUnavailable reports that the store gave no usable response.
	ErrUnavailable = errors.ConstError("store gave no usable response")
)

// Source reads the store. The deadline of a context bounds the time until the store responds; a
// response that has begun may take some seconds longer.
type Source interface {
	// List reads all objects of a kind. A stale list may be seconds old and
	// costs less. It returns ErrUnavailable.
	List(ctx context.Context, k Kind, stale bool) (Delta, error)
	// Watch waits at most wait for a change after a revision. It returns
	// ErrCompacted or ErrUnavailable.
	Watch(ctx context.Context, k Kind, after uint64, wait time.Duration) (Delta, error)
}

// Peers sends messages to other entries.
type Peers interface {
	// Send sends a message to a path of the member and decodes its response.
	Send(ctx context.Context, m announcer.Member, path string, message, response any) error
}

// Paths of messages between entries.
const (
	PathUpdate = "/peer/news"
	PathState  = "/peer/state"
)

const (
	// watchWait is how long a watch waits for a change. While the store is
	// reachable, it bounds the age of the state that other entries receive; all
	// entries rely on it being shorter than staleAge.
	watchWait = 750 * time.Millisecond
	// minWatchWait is the shortest wait for which a watch is started.
	minWatchWait = 100 * time.Millisecond
	// batchDelay delays an update so that changes that arrive together are sent
	// in one message.
	batchDelay = 3 * time.Millisecond
	// ResponseTimeout is how long the store may take to respond beyond the wait of a call.
	ResponseTimeout = 350 * time.Millisecond
	// staleAge is the age of the replica at which an entry that receives no
	// updates reads the store itself. Together with ResponseTimeout it stays
	// well within the 2 s in which a change must be in force.
	staleAge = 1050 * time.Millisecond
	// checkInterval is how often an entry checks the age of its replica.
	checkInterval = 100 * time.Millisecond
	// rankDelay is the additional age at which each further reader of a failure
	// domain reads the store, so that the updates of the one before arrive first.
	// An entry that is not a reader queries others at queryAge.
	rankDelay = 100 * time.Millisecond
	queryAge  = staleAge + readersPerDomain*rankDelay
	// readBackoff is the pause after a failed read, plus up to the same time
	// again at random. Each further failure doubles the time for which an entry
	// that does not have to watch sends no reads to the store, up to
	// maxReadBackoff, because a fault that prevents one entry from reading the
	// store usually affects all entries. Meanwhile entries query each other, and
	// so receive the state from the first entry that reaches the store again.
	readBackoff    = 250 * time.Millisecond
	maxReadBackoff = time.Second
	// readPacePerEntry is the mean interval between the reads of a failure domain
	// by entries that are not readers and whose peers' replicas are old too: one
	// of them may reach the store although the readers can't.
	readPacePerEntry = 500 * time.Millisecond
	// queryTimeout bounds the wait for the reply of a queried entry, which is
	// milliseconds away.
	queryTimeout = 200 * time.Millisecond
)

// DetectionTime returns the time within which an entry notices a change in the store although
// the entry that watches it has died: it waits for updates, and then reads the store itself.
func DetectionTime() time.Duration { return queryAge + checkInterval + ResponseTimeout }

// Tracker keeps a State up to date.
type Tracker struct {
	state  *State
	source Source
	peers  Peers
	self   string
	live   func() []announcer.Member
	log    *slog.Logger
	// reachable holds whether the last call for each kind succeeded.
	reachable [Kinds]atomic.Bool
	// ignored holds whether the last delta of a kind that was read was older than the
	// replica.
	ignored [Kinds]atomic.Bool
	// updated signals Disseminate that there is an update to send.
	updated chan struct{}
	// start is when the tracker was created, and settle how long it then waits
	// for the membership to settle.
	start  time.Time
	settle time.Duration
	// watchWaits is how long a watch of each kind waits, 0 for kinds that are not replicated.
	watchWaits [Kinds]time.Duration
	// initial is set at the first start of the whole deployment. An entry without
	// a replica lists the store's objects acquireDelay after its start.
	initial      bool
	acquireDelay time.Duration
	// contacts returns the entries to query while no other is known to be live. It
	// may be nil.
	contacts func() []announcer.Member
	// repeated counts the consecutive reads of changes of each kind that failed. It is
	// accessed only by the task that follows the kind.
	repeated [Kinds]int
	// replies holds the encoded snapshots that queries are answered with.
	replies [Kinds]snapshotReply

	mu sync.Mutex
	// failures counts consecutive failed reads. Until nextRead this entry does
	// not read the store unless it is the one that watches.
	failures int
	nextRead time.Time
	// cached is the role as of cachedAt.
	cached   Role
	cachedAt time.Time
	// deputizing is set if the next update is sent in place of the domain's head.
	deputizing bool
	// unreachable holds the entries that could not reach the store when they
	// watched it, and the time until which they are not selected to watch it.
	unreachable map[string]time.Time
}

// New returns a tracker of the source for the entry named self. The function
// live returns the live entries in order of name, including this one; the tracker
// does not modify the slice.
func New(s *State, source Source, peers Peers, self string, live func() []announcer.Member, log *slog.Logger) *Tracker {
	t := &Tracker{state: s, source: source, peers: peers, self: self, live: live, log: log, updated: make(chan struct{}, 1), start: time.Now(), settle: settleTime, acquireDelay: 1 + rand.N(acquireSpread), unreachable: make(map[string]time.Time)}
	t.watchWaits = [Kinds]time.Duration{Configs: watchWait, Upstreams: watchWait}
	return t
}

// Replicate makes the tracker replicate an optional kind, whose changes must be in force within
// limit. It must be called before Follow.
func (t *Tracker) Replicate(k Kind, limit time.Duration) {
	n := int((limit - DetectionTime() - retryReserve) / watchWait)
	t.watchWaits[k] = watchWait * time.Duration(min(max(1+n, 1), maxWatchMultiple))
}

const (
	// retryReserve is the part of the limit for a change that is left for one failed read and
	// its repetition.
	retryReserve = 1100 * time.Millisecond
	// maxWatchMultiple bounds the wait of a watch to 6 s, for which the store keeps the call open.
	maxWatchMultiple = 8
)

// staleAge returns the age of the replica of a kind at which an entry that receives no updates
// reads the store itself.
func (t *Tracker) staleAge(k Kind) time.Duration { return staleAge - watchWait + t.watchWaits[k] }

// Follow keeps the replica of one kind up to date until ctx ends.
func (t *Tracker) Follow(ctx context.Context, k Kind) error {
	nextPaced := time.Time{}
	for ctx.Err() == nil {
		now := time.Now()
		position, role := t.state.Position(now, k), t.role(now)
		settled := now.Sub(t.start) - t.settle
		limit := t.readAge(k, role)
		readable, queryable := t.ages(position, settled)
		switch {
		case position.AsOf == 0:
			t.acquire(ctx, k)
		case settled > 0 && role.Watch:
			t.read(ctx, k, role, position, alignedWait(now, t.watchWaits[k]))
		case queryable <= limit:
			sleeper.Sleep(ctx, min(checkInterval, limit-queryable+time.Millisecond))
		case readable > limit && role.Rank < readersPerDomain && t.mayRead(now):
			t.read(ctx, k, role, position, time.Millisecond)
		default:
			nextPaced = t.queryOrRead(ctx, k, role, position, readable > limit, nextPaced)
		}
	}
	return nil
}

// ages returns the age of the replica that counts for reads of the store and that for
// queries to other entries. An entry must have the newest configuration 3 s after its
// start, too soon to wait until the membership has settled, for which reads wait: an
// entry that others do not see yet receives no updates, and queries them. At the first
// start of the whole deployment there are no callers, and a first replica from a stale
// list is old, so both wait.
func (t *Tracker) ages(p Position, settled time.Duration) (readable, queryable time.Duration) {
	readable = min(p.Age, settled)
	if t.initial {
		return readable, readable
	}
	return readable, p.Age
}

// queryOrRead queries other entries. If none replied, or if it is nextPaced although
// their replicas are old too, it then reads the store, provided that mayRead is set. It
// returns the time of the next paced read.
func (t *Tracker) queryOrRead(ctx context.Context, k Kind, role Role, position Position, mayRead bool, nextPaced time.Time) time.Time {
	now := time.Now()
	replied := t.queryPeers(ctx, k, role)
	fresh := t.state.Position(time.Now(), k).Age <= t.staleAge(k)
	paced := !now.Before(nextPaced)
	if paced {
		nextPaced = now.Add(rand.N(2*readPacePerEntry*time.Duration(max(role.Size, 1))) + readBackoff)
	}
	switch {
	case fresh:
	case mayRead && t.mayRead(now) && (replied == 0 || paced):
		t.read(ctx, k, role, position, time.Millisecond)
	default:
		sleeper.Sleep(ctx, readBackoff+rand.N(readBackoff))
	}
	return nextPaced
}

// readAge returns the age of the replica of a kind at which an entry reads the store or, if
// it is not a reader, queries other entries.
func (t *Tracker) readAge(k Kind, r Role) time.Duration {
	return t.staleAge(k) + time.Duration(min(r.Rank, readersPerDomain))*rankDelay
}

// read reads the changes since a position from the store. A reader that receives no
// updates, although it is not the head of its failure domain, sends them on in place
// of the head. After a failure other entries are queried.
func (t *Tracker) read(ctx context.Context, k Kind, role Role, position Position, wait time.Duration) {
	if role.Rank > 0 && role.Rank < readersPerDomain {
		t.setDeputizing()
	}
	err := t.readOrList(ctx, k, func() error { return t.watch(ctx, k, position, wait) })
	t.setReachable(k, err)
	t.recordRead(time.Now(), err)
	if err == nil {
		return
	}
	if role.Watch {
		t.markUnreachable(map[string]time.Duration{t.self: unreachableTTL})
		t.signalUpdate()
	}
	t.queryPeers(ctx, k, role)
	sleeper.Sleep(ctx, readBackoff+rand.N(readBackoff))
}

// maxRepeated is the number of failed reads of the changes after a position, after which all
// objects are listed instead. The store sends each version of an object that the replica has
// missed; what it sends may be too much for the time that a read has, however often it is
// repeated.
const maxRepeated = 2

// readOrList reads changes of a kind by read, or all objects if earlier reads failed.
func (t *Tracker) readOrList(ctx context.Context, k Kind, read func() error) error {
	var err error
	if t.repeated[k] < maxRepeated {
		err = read()
	} else {
		err = t.list(ctx, k, false)
	}
	t.repeated[k]++
	if err == nil || t.repeated[k] > maxRepeated {
		t.repeated[k] = 0
	}
	return err
}

const (
	// settleTime is how long an entry that has just started waits for the
	// membership before it may watch the store, since all entries may have
	// started at the same time. Entries that receive no updates read the store
	// staleAge later.
	settleTime = 1800 * time.Millisecond
	// initialSettleTime replaces settleTime at the first start of the whole
	// deployment, when there are no callers yet. With 100 entries it takes 3 s
	// until every entry has the membership; until then each of them would read
	// the store.
	initialSettleTime = 3500 * time.Millisecond
	// unreachableTTL is how long an entry that could not reach the store does
	// not watch it.
	unreachableTTL = 5 * time.Second
)

// mayRead reports whether an entry that does not have to watch may read the
// store.
func (t *Tracker) mayRead(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !now.Before(t.nextRead)
}

// recordRead records the result of a read of the store and sets the back-off.
func (t *Tracker) recordRead(now time.Time, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil {
		t.failures, t.nextRead = 0, time.Time{}
		return
	}
	pause := min(readBackoff<<min(t.failures, maxDoublings), maxReadBackoff)
	t.failures++
	t.nextRead = now.Add(pause/2 + rand.N(pause/2))
}

// maxDoublings prevents the overflow of a time.Duration.
const maxDoublings = 10

// roleTTL is how long a role is reused.
const roleTTL = 90 * time.Millisecond

// role returns this entry's role among the entries that can reach the store.
func (t *Tracker) role(now time.Time) Role {
	t.mu.Lock()
	if !t.cachedAt.IsZero() && now.Sub(t.cachedAt) < roleTTL {
		defer t.mu.Unlock()
		return t.cached
	}
	t.mu.Unlock()
	r := RoleOf(t.self, t.storeReachable(now))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cached, t.cachedAt = r, now
	return r
}

// setDeputizing makes the next update go to the entries that the head of the
// domain sends to.
func (t *Tracker) setDeputizing() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deputizing = true
}

// takeDeputizing reports whether the next update is sent in place of the domain's
// head, and resets this.
func (t *Tracker) takeDeputizing() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.deputizing
	t.deputizing = false
	return d
}

// alignedWait returns how long a watch that starts now waits, at most about the
// given wait. The watches of all kinds end at multiples of watchWait, so that one
// update covers all kinds.
func alignedWait(now time.Time, wait time.Duration) time.Duration {
	d := wait - time.Duration(now.UnixNano()%int64(wait))
	if d < minWatchWait {
		d += wait
	}
	return d
}

// setReachable records whether the store is reachable and logs a change.
func (t *Tracker) setReachable(k Kind, err error) {
	ok := err == nil
	if t.reachable[k].Swap(ok) == ok {
		return
	}
	if ok {
		t.log.Info("store reachable", "kind", k.String())
	} else {
		t.log.Warn("store unreachable", "kind", k.String(), "error", err.Error(), "age_ms", t.state.Position(time.Now(), k).Age.Milliseconds())
	}
}

// freshAge is the age of the replica below which a request that matches no route
// is rejected without another read of the store. When a change is this old, every
// entry has received it or reads the store itself.
const freshAge = staleAge + checkInterval

// Refresh reads the store once unless the replica of the kind is younger than
// freshAge. It reports whether it did, or returns the error of the read.
func (t *Tracker) Refresh(ctx context.Context, k Kind) (bool, error) {
	position := t.state.Position(time.Now(), k)
	if position.AsOf > 0 && position.Age < freshAge {
		return false, nil
	}
	var err error
	if position.AsOf == 0 {
		err = t.list(ctx, k, false)
	} else {
		err = t.watch(ctx, k, position, time.Millisecond)
	}
	t.setReachable(k, err)
	return err == nil, err
}

// maxStaleness is the assumed age of a stale list.
const maxStaleness = 10 * time.Second

// FirstEra is the era of a store that was never restored.
const FirstEra = 1

// list reads all objects of a kind and applies them. A stale list of a store that was
// restored may be from before that, with the same revisions: the list is then read again.
// A current list that is older than the replica was before counts as a failed read, so that
// reads back off: the store has fallen behind.
func (t *Tracker) list(ctx context.Context, k Kind, stale bool) error {
	limited, cancel := context.WithTimeout(ctx, ResponseTimeout)
	defer cancel()
	fresh := time.Now()
	before := t.state.Position(fresh, k)
	d, err := t.source.List(limited, k, stale)
	if err != nil {
		return err
	}
	if stale && d.Era > FirstEra {
		return t.list(ctx, k, false)
	}
	t.logIgnored(d)
	if stale {
		fresh = fresh.Add(-maxStaleness)
	} else if before.newer(d.Era, d.AsOf) {
		return errors.Annotatef(ErrUnavailable, "list as of %d of era %d is older than the replica", d.AsOf, d.Era)
	}
	return t.apply(fresh, d, "store")
}

// watch waits for changes after a position and applies them. Changes of a later era don't
// continue from the replica, even if their revisions do: all objects are then listed.
func (t *Tracker) watch(ctx context.Context, k Kind, after Position, wait time.Duration) error {
	limited, cancel := context.WithTimeout(ctx, wait+ResponseTimeout)
	defer cancel()
	d, err := t.source.Watch(limited, k, after.AsOf, wait)
	if errors.Is(err, ErrCompacted) || err == nil && d.Era > after.Era {
		return t.list(ctx, k, false)
	}
	if err != nil {
		return err
	}
	t.logIgnored(d)
	if err := t.apply(time.Now(), d, "store"); !errors.Is(err, ErrGap) {
		return err
	}
	// The replica has meanwhile advanced by updates of other entries.
	return nil
}

// apply applies a delta to the replica and signals an update to be sent.
func (t *Tracker) apply(fresh time.Time, d Delta, from string) error {
	before := t.state.Position(time.Now(), d.Kind)
	changes, err := t.state.Apply(fresh, d)
	if err != nil {
		return err
	}
	if after := t.state.Position(time.Now(), d.Kind); after.Era != before.Era && before.AsOf > 0 {
		t.log.Warn("store era changed", "kind", d.Kind.String(), "era", after.Era, "was", before.Era, "asof", after.AsOf, "was_asof", before.AsOf, "objects", len(changes), "from", from)
	}
	t.logChanges(d, changes, from)
	t.signalUpdate()
	return nil
}

// signalUpdate signals Disseminate to send an update. It does not block.
func (t *Tracker) signalUpdate() {
	select {
	case t.updated <- struct{}{}:
	default:
	}
}
