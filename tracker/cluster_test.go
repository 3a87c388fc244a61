package tracker

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"poplarwind/announcer"
	"poplarwind/router"
)

// store is a fake store whose only object is the configuration. The version of
// the configuration is the store's revision until the store is restored. Faults can be
// injected for each entry.
type store struct {
	mu       sync.Mutex
	revision uint64
	// era counts the times that the store was restored. The versions of the
	// configuration at the revisions written since differ from these; latest is the
	// highest version written.
	era      uint64
	versions map[uint64]int64
	latest   int64
	// oldest is the first revision after which changes can be watched.
	oldest uint64
	// changed is closed at the next write, nil if no watch waits for it.
	changed chan struct{}
	// fails holds the entries whose calls fail at once, and hangs those whose
	// calls get no response.
	fails, hangs map[string]bool
	calls        int
	// lag is the number of revisions by which a stale list is behind.
	lag uint64
}

func (s *store) write() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.latest = max(s.latest, int64(s.revision)-1) + 1
	if s.versions == nil {
		s.versions = make(map[uint64]int64)
	}
	s.versions[s.revision] = s.latest
	s.notify()
	return uint64(s.latest)
}

func (s *store) notify() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// restore replaces the contents by a backup that lacks the last changes.
func (s *store) restore(changes uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latest = max(s.latest, int64(s.revision))
	s.revision -= changes
	s.era++
	s.notify()
}

// version returns the version of the configuration at a revision.
func (s *store) version(revision uint64) int64 {
	if v, ok := s.versions[revision]; ok {
		return v
	}
	return int64(revision)
}

// responseTime is the response time of a healthy store.
const responseTime = 4 * time.Millisecond

// storeSource implements Source for one entry.
type storeSource struct {
	store *store
	entry string
}

func (s storeSource) call(ctx context.Context) error {
	time.Sleep(responseTime / 2)
	s.store.mu.Lock()
	s.store.calls++
	fails, hangs := s.store.fails[s.entry], s.store.hangs[s.entry]
	s.store.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return errors.WithType(ctx.Err(), ErrUnavailable)
	}
	if fails {
		return errors.Trace(ErrUnavailable)
	}
	return nil
}

func (s *store) change(k Kind) []Change {
	if k != Configs || s.revision == 0 {
		return nil
	}
	return []Change{{Name: "main", Revision: s.revision, Config: &router.Spec{Version: s.version(s.revision)}}}
}

func (s storeSource) List(ctx context.Context, k Kind, stale bool) (Delta, error) {
	if err := s.call(ctx); err != nil {
		return Delta{}, err
	}
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	d := Delta{Kind: k, Era: 1 + s.store.era, Snapshot: true, AsOf: max(1, s.store.revision), Changes: s.store.change(k)}
	if stale && s.store.lag > 0 {
		d.AsOf -= s.store.lag
		d.Changes = []Change{{Name: "main", Revision: d.AsOf, Config: &router.Spec{Version: s.store.version(d.AsOf)}}}
	}
	return d, nil
}

func (s storeSource) Watch(ctx context.Context, k Kind, after uint64, wait time.Duration) (Delta, error) {
	if err := s.call(ctx); err != nil {
		return Delta{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.store.mu.Lock()
		if after < s.store.oldest || after > s.store.revision {
			s.store.mu.Unlock()
			return Delta{}, errors.Trace(ErrCompacted)
		}
		d := Delta{Kind: k, Era: 1 + s.store.era, After: after, AsOf: max(1, s.store.revision)}
		if s.store.revision > after {
			d.Changes = s.store.change(k)
		}
		if s.store.changed == nil {
			s.store.changed = make(chan struct{})
		}
		changed := s.store.changed
		s.store.mu.Unlock()
		if len(d.Changes) > 0 {
			return d, s.call(ctx)
		}
		select {
		case <-changed:
		case <-timer.C:
			return d, s.call(ctx)
		case <-ctx.Done():
			return Delta{}, errors.WithType(ctx.Err(), ErrUnavailable)
		}
	}
}

// cluster is a group of entries with a store and a simulated network.
type cluster struct {
	store    *store
	trackers map[string]*Tracker
	states   map[string]*State

	mu sync.Mutex
	// live is replaced, not modified.
	live []announcer.Member
	// stops ends the process of an entry.
	stops map[string]func()
	// partitioned holds the entries that can't exchange messages with other
	// entries.
	partitioned map[string]bool
	// hidden holds the entries that the others do not see yet, while they see the
	// others.
	hidden map[string]bool
	// separatedUntil is the time until which each entry sees only itself.
	separatedUntil time.Time
}

func (c *cluster) members() []announcer.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.live
}

// visibleTo returns the members that an entry sees.
func (c *cluster) visibleTo(m announcer.Member) []announcer.Member {
	if time.Now().Before(c.separatedUntil) {
		return []announcer.Member{m}
	}
	live := c.members()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.hidden) == 0 {
		return live
	}
	return slices.DeleteFunc(slices.Clone(live), func(o announcer.Member) bool { return c.hidden[o.Name] && o.Name != m.Name })
}

// peers implements Peers for one entry.
type peers struct {
	cluster *cluster
	from    string
}

func (p peers) Send(ctx context.Context, m announcer.Member, path string, message, reply any) error {
	p.cluster.mu.Lock()
	partitioned := p.cluster.partitioned[m.Name] || p.cluster.partitioned[p.from]
	p.cluster.mu.Unlock()
	time.Sleep(2 * time.Millisecond)
	if partitioned {
		return errors.New("no route")
	}
	body, err := transmit(message)
	if err != nil {
		return err
	}
	p.cluster.mu.Lock()
	receiver := p.cluster.trackers[m.Name]
	p.cluster.mu.Unlock()
	out, err := receiver.Serve(ctx, path, body)
	if err != nil {
		return err
	}
	if body, err = transmit(out); err != nil {
		return err
	}
	return json.Unmarshal(body, reply)
}

// transmit returns a message as the receiver decodes it.
func transmit(message any) ([]byte, error) {
	body, err := announcer.Pack(message)
	if err != nil {
		return nil, err
	}
	return body.Unpack()
}

// startCluster starts n entries in three failure domains.
func startCluster(ctx context.Context, n int) *cluster { return startSeparated(ctx, n, 0) }

// startSeparated is startCluster at the first start of the whole deployment: the
// entries see one another only after the given delay.
func startSeparated(ctx context.Context, n int, delay time.Duration) *cluster {
	c := &cluster{
		separatedUntil: time.Now().Add(delay),
		store:          &store{revision: 1, fails: map[string]bool{}, hangs: map[string]bool{}}, trackers: map[string]*Tracker{},
		states: map[string]*State{}, partitioned: map[string]bool{},
	}
	for i := range n {
		c.live = append(c.live, announcer.Member{Name: fmt.Sprintf("e%02d", i), Domain: string(rune('a' + i%3))})
	}
	for _, m := range c.live {
		s := &State{}
		c.states[m.Name] = s
		c.trackers[m.Name] = New(s, storeSource{c.store, m.Name}, peers{c, m.Name}, m.Name, func() []announcer.Member { return c.visibleTo(m) }, slog.New(slog.DiscardHandler))
	}
	for name, t := range c.trackers {
		if delay > 0 {
			t.SetInitialStart()
			t.SetContacts(func() []announcer.Member { return c.live[:1] }, name == c.live[0].Name)
		}
		go func() { _ = t.Follow(ctx, Configs) }()
		go func() { _ = t.Disseminate(ctx) }()
	}
	return c
}

// isolated reports whether an entry can reach neither the store nor another
// entry.
func (c *cluster) isolated(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return c.partitioned[name] && (c.store.fails[name] || c.store.hangs[name])
}

func (s *store) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// version returns the configuration version of an entry's replica.
func (c *cluster) version(name string) int64 {
	c.mu.Lock()
	state := c.states[name]
	c.mu.Unlock()
	for _, change := range state.All(Configs) {
		return change.Config.Version
	}
	return 0
}

// propagationBound is the time after a write within which the new configuration
// must be in force.
const propagationBound = 2 * time.Second

// TestPropagationUnderFaults changes the configuration under each of several
// faults, at different offsets within a watch. Every entry that can reach the
// store or another entry must have the change within propagationBound.
func TestPropagationUnderFaults(t *testing.T) {
	faults := map[string]func(c *cluster){
		"none":                           func(*cluster) {},
		"watcher rejected":               func(c *cluster) { c.store.fails["e00"] = true },
		"watcher without responses":      func(c *cluster) { c.store.hangs["e00"] = true },
		"watcher isolated":               func(c *cluster) { c.store.hangs["e00"], c.partitioned["e00"] = true, true },
		"domain head partitioned":        func(c *cluster) { c.partitioned["e01"] = true },
		"all domain heads partitioned":   func(c *cluster) { c.partitioned["e00"], c.partitioned["e01"], c.partitioned["e02"] = true, true, true },
		"a third rejected":               func(c *cluster) { c.store.fails["e00"], c.store.fails["e01"], c.store.fails["e04"] = true, true, true },
		"a third without responses":      func(c *cluster) { c.store.hangs["e00"], c.store.hangs["e02"], c.store.hangs["e05"] = true, true, true },
		"history compacted":              func(c *cluster) { c.store.oldest = c.store.revision + 1 },
		"watcher partitioned from peers": func(c *cluster) { c.partitioned["e00"] = true },
	}
	for name, fault := range faults {
		for _, offset := range []time.Duration{0, 100, 300, 500, 700, 740} {
			t.Run(fmt.Sprintf("%s/%d", name, offset), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					c := startCluster(ctx, 9)
					time.Sleep(6 * time.Second)
					c.mu.Lock()
					c.store.mu.Lock()
					fault(c)
					c.store.mu.Unlock()
					c.mu.Unlock()
					time.Sleep(offset * time.Millisecond)
					want := int64(c.store.write())
					time.Sleep(propagationBound)
					for _, m := range c.members() {
						if c.isolated(m.Name) {
							continue
						}
						if got := c.version(m.Name); got != want {
							t.Errorf("%s: got: version %d want: %d", m.Name, got, want)
						}
					}
					cancel()
					time.Sleep(5 * time.Second)
				})
			})
		}
	}
}

// TestStoreCalls checks the number of calls to the store without faults: only
// one entry watches, regardless of the number of entries.
func TestStoreCalls(t *testing.T) {
	for _, n := range []int{3, 30} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			c := startCluster(ctx, n)
			time.Sleep(10 * time.Second)
			before := c.store.callCount()
			time.Sleep(30 * time.Second)
			// A watch is counted twice: before its wait and after it.
			if got := (c.store.callCount() - before) / 2; got > 60 {
				t.Errorf("%d entries: got: %d calls in 30 s want: at most 60", n, got)
			}
			cancel()
			time.Sleep(5 * time.Second)
		})
	}
}

// TestInitialStartCalls starts 100 entries at once, which see one another only
// after 3 s. Until then they must not each keep reading the store.
func TestInitialStartCalls(t *testing.T) {
	const entries = 100
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := startSeparated(ctx, entries, 3*time.Second)
		time.Sleep(8 * time.Second)
		// A list is counted once, a watch twice.
		if got := c.store.callCount(); got > entries+30 {
			t.Errorf("got: %d counted calls in 8 s want: at most %d, one stale list per entry and the watches of one entry", got, entries+30)
		}
		want := int64(c.store.write())
		time.Sleep(propagationBound)
		for _, m := range c.members() {
			if got := c.version(m.Name); got != want {
				t.Errorf("%s: got: version %d want: %d", m.Name, got, want)
			}
		}
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// TestStoreCallsInOutage rejects the calls of all entries for 8 s. The entries
// must limit their calls during the outage, and have a change in force within
// propagationBound after it.
func TestStoreCallsInOutage(t *testing.T) {
	const entries, outage = 60, 8
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := startCluster(ctx, entries)
		time.Sleep(6 * time.Second)
		setFailing := func(fail bool) {
			c.store.mu.Lock()
			defer c.store.mu.Unlock()
			for _, m := range c.live {
				c.store.fails[m.Name] = fail
			}
		}
		setFailing(true)
		before := c.store.callCount()
		time.Sleep(outage * time.Second)
		if got := c.store.callCount() - before; got > entries*outage {
			t.Errorf("got: %d calls in %d s want: at most one per second and entry", got, outage)
		}
		want := int64(c.store.write())
		setFailing(false)
		time.Sleep(propagationBound)
		for _, m := range c.members() {
			if got := c.version(m.Name); got != want {
				t.Errorf("%s: got: version %d want: %d", m.Name, got, want)
			}
		}
		cancel()
		time.Sleep(5 * time.Second)
	})
}
