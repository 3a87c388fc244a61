package announcer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"poplarwind/storer"
)

// Member is the description that an entry gives of itself.
type Member struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Region  string `json:"region,omitempty"`
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
	Ops     string `json:"ops"`
	// Epoch distinguishes processes of the same name; the newer one has the
	// higher epoch.
	Epoch int64 `json:"epoch"`
	// Digest is the digest of the settings in force.
	Digest uint64 `json:"digest,omitempty"`
	// Rates holds the call rates of the services that the entry serves.
	Rates []Rate `json:"rates,omitempty"`
	// DrainMarks holds the servers that the entry recently found to be draining.
	DrainMarks []DrainMark `json:"marks,omitempty"`
	// Build is the commit of the entry's program, and Level the level of the messages that it
	// understands. They are empty and 0 in builds from before levels.
	Build string `json:"build,omitempty"`
	Level int    `json:"level,omitempty"`
	// Capacity is the entry's capacity in requests a second, 0 if not reported.
	Capacity float64 `json:"power,omitempty"`
	// Ready reports whether the entry serves callers, and Load is the rate of
	// requests a second that it receives, both as of the last heartbeat. They
	// are set only in the results of Table.Live and Table.Peers.
	Ready bool    `json:"-"`
	Load  float64 `json:"-"`
}

// Rate is the rate of calls a second of one service at an entry.
type Rate struct {
	Path  string  `json:"path"`
	Calls float64 `json:"calls"`
}

// DrainMark names a server of a service that is draining.
type DrainMark struct {
	Path   string `json:"path"`
	Server string `json:"server"`
}

// row is the state of one member in a table.
type row struct {
	member    Member
	heartbeat Heartbeat
	// lastHeartbeat is when a newer heartbeat was last received, or the row was
	// added, by the clock of this process. Tick shifts it by the length
	// of a pause of the process.
	lastHeartbeat time.Time
	// described is when the description was last received from the member
	// itself.
	described time.Time
}

// Table is the membership view of one entry. It is safe for concurrent use.
type Table struct {
	// timeout is the heartbeat timeout for members of this entry's failure
	// domain.
	timeout time.Duration
	// remoteTimeout is the heartbeat timeout for members of other failure
	// domains.
	remoteTimeout time.Duration

	mu   sync.Mutex
	self *row
	// rows is keyed by ID and includes self.
	rows map[ID]*row
	// order holds the rows in order of name.
	order    []*row
	lastTick time.Time
	// cachedLive is the result of Live as of cachedAt, nil if it has changed.
	cachedLive []Member
	cachedAt   time.Time
}

// find returns the row of a name, or nil. The lock must be held.
func (t *Table) find(name string) *row { return t.rows[IDOf(name)] }

// add adds a row. The lock must be held.
func (t *Table) add(r *row) {
	t.cachedLive = nil
	t.rows[r.heartbeat.ID] = r
	i, _ := slices.BinarySearchFunc(t.order, r.member.Name, func(r *row, name string) int { return cmp.Compare(r.member.Name, name) })
	t.order = slices.Insert(t.order, i, r)
}

// NewTable returns a table that holds only self. A member is not live if no
// newer heartbeat of it is received within timeout.
func NewTable(now time.Time, self Member, timeout time.Duration) *Table {
	r := &row{member: self, heartbeat: Heartbeat{ID: IDOf(self.Name), Epoch: self.Epoch}, lastHeartbeat: now, described: now}
	t := &Table{timeout: timeout, remoteTimeout: timeout, self: r, rows: make(map[ID]*row), lastTick: now}
	t.add(r)
	return t
}

// SetRemoteTimeout sets the heartbeat timeout for members of other failure
// domains, whose heartbeats may take longer to arrive.
func (t *Table) SetRemoteTimeout(timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remoteTimeout = timeout
}

// evictionFactor is the number of heartbeat timeouts after which a member is
// removed from the table.
const evictionFactor = 20

// Tick increments this entry's heartbeat and evicts expired members. If the
// process was paused since the last call, Tick extends every member's timeout by
// the length of the pause, since heartbeats could not be received meanwhile.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	paused := now.Sub(t.lastTick)
	t.lastTick = now
	t.self.heartbeat.Sequence++
	t.self.lastHeartbeat, t.self.described = now, now
	t.order = slices.DeleteFunc(t.order, func(r *row) bool {
		if paused > t.timeout/2 {
			r.lastHeartbeat = earliest(now, r.lastHeartbeat.Add(paused))
		}
		evicted := r != t.self && now.Sub(r.lastHeartbeat) > evictionFactor*t.timeout
		if evicted {
			t.cachedLive = nil
			delete(t.rows, r.heartbeat.ID)
		}
		return evicted
	})
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// SetDescription updates this entry's description.
func (t *Table) SetDescription(digest uint64, rates []Rate, marks []DrainMark) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.member.Digest, t.self.member.Rates, t.self.member.DrainMarks = digest, rates, marks
	t.cachedLive = nil
}

// SetLoad updates the state in this entry's heartbeats: whether it serves
// callers, and the rate of requests a second that it receives.
func (t *Table) SetLoad(ready bool, load float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.heartbeat.Ready, t.self.heartbeat.Load = ready, load
	t.cachedLive = nil
}

// SetDraining marks this entry as draining. The mark is permanent.
func (t *Table) SetDraining() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.heartbeat.Draining = true
	t.cachedLive = nil
	t.self.heartbeat.Sequence++
}

// Draining reports whether this entry is draining.
func (t *Table) Draining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self.heartbeat.Draining
}

// Seed adds the entries of the platform's list as peers to contact. They are not
// live until a heartbeat of theirs is received.
func (t *Table) Seed(now time.Time, list []storer.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range list {
		if i.Service != "" || i.Peers == "" || t.find(i.Name) != nil {
			continue
		}
		m := Member{Name: i.Name, Domain: i.Domain, Callers: i.Addr, Peers: i.Peers, Ops: i.Ops}
		t.add(&row{member: m, heartbeat: Heartbeat{ID: IDOf(i.Name)}, lastHeartbeat: now})
	}
}

// MergeHeartbeats applies heartbeats received from a peer. It returns the IDs of
// the members whose description is missing or belongs to an earlier epoch.
func (t *Table) MergeHeartbeats(now time.Time, heartbeats []Heartbeat) []ID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var missing []ID
	for _, h := range heartbeats {
		r := t.rows[h.ID]
		switch {
		case r == t.self:
			t.refute(h)
		case r == nil:
			missing = append(missing, h.ID)
		case r.heartbeat.olderThan(h):
			if h.Epoch > r.heartbeat.Epoch && r.member.Epoch != h.Epoch {
				missing = append(missing, h.ID)
			}
			if h.Ready != r.heartbeat.Ready || h.Draining != r.heartbeat.Draining || !t.live(now, r) {
				t.cachedLive = nil
			}
			r.heartbeat = h
			r.lastHeartbeat = now
		}
	}
	return missing
}

// refute raises this entry's epoch above that of a previous process of the same
// name whose heartbeats are still being disseminated.
func (t *Table) refute(h Heartbeat) {
	if !t.self.heartbeat.olderThan(h) {
		return
	}
	t.cachedLive = nil
	t.self.heartbeat.Epoch = max(t.self.heartbeat.Epoch, h.Epoch) + 1
	t.self.member.Epoch = t.self.heartbeat.Epoch
}

// MergeDescriptions applies descriptions of members. direct indicates that they
// come from the members themselves; indirect ones do not replace a description
// that the member itself sent within the heartbeat timeout.
func (t *Table) MergeDescriptions(now time.Time, direct bool, members ...Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range members {
		r := t.find(m.Name)
		if r == t.self || m.Name == "" {
			continue
		}
		if r == nil {
			r = &row{member: Member{Name: m.Name}, heartbeat: Heartbeat{ID: IDOf(m.Name)}, lastHeartbeat: now}
			t.add(r)
		}
		if m.Epoch < r.member.Epoch || !direct && now.Sub(r.described) < t.timeout {
			continue
		}
		if m.Epoch != r.member.Epoch || m.Digest != r.member.Digest || len(m.Rates) > 0 || len(m.DrainMarks) > 0 || len(r.member.DrainMarks) > 0 {
			t.cachedLive = nil
		}
		r.member = m
		if direct {
			r.described = now
		}
	}
}

// Self returns this entry's description and heartbeat.
func (t *Table) Self() (Member, Heartbeat) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self.member, t.self.heartbeat
}

// Heartbeats appends to dst the heartbeats of the live members that were received
// within maxAge, 0 meaning at any time.
func (t *Table) Heartbeats(dst []Heartbeat, now time.Time, maxAge time.Duration) []Heartbeat {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.order {
		if t.live(now, r) && r.heartbeat.Sequence > 0 && (maxAge == 0 || now.Sub(r.lastHeartbeat) < maxAge) {
			dst = append(dst, r.heartbeat)
		}
	}
	return dst
}

// Heartbeat returns the latest heartbeat of a member, false if it is not in the
// table.
func (t *Table) Heartbeat(id ID) (Heartbeat, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.rows[id]; r != nil {
		return r.heartbeat, true
	}
	return Heartbeat{}, false
}

// Lookup returns the descriptions of those members that are in the table.
func (t *Table) Lookup(ids []ID) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Member
	for _, id := range ids {
		if r := t.rows[id]; r != nil {
			out = append(out, r.member)
		}
	}
	return out
}

// liveTTL is how long the result of Live is reused while no member's state changes
// but its load.
const liveTTL = 100 * time.Millisecond

// Live returns the live members that are not draining, sorted by name. The caller
// must not modify the slice.
func (t *Table) Live(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cachedLive == nil || now.Sub(t.cachedAt) >= liveTTL || now.Before(t.cachedAt) {
		t.cachedLive = t.filter(func(r *row) bool { return t.live(now, r) && !r.heartbeat.Draining })
		t.cachedAt = now
	}
	return t.cachedLive
}

// Peers returns the members to gossip with, sorted by name: all but this entry
// that are not yet due for eviction, live or not.
func (t *Table) Peers(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.filter(func(r *row) bool { return r != t.self && now.Sub(r.lastHeartbeat) < evictionFactor*t.timeout })
}

// Members returns the status of every member in the table, sorted by name.
func (t *Table) Members(now time.Time) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Status
	for _, r := range t.order {
		out = append(out, Status{Member: r.member, Sequence: r.heartbeat.Sequence, Draining: r.heartbeat.Draining, Live: t.live(now, r)})
	}
	return out
}

// Status is the state of a member that is shown to operators.
type Status struct {
	Member   Member `json:"member"`
	Sequence uint32 `json:"beat"`
	Draining bool   `json:"leaving"`
	Live     bool   `json:"live"`
}

func (t *Table) live(now time.Time, r *row) bool {
	timeout := t.timeout
	if r.member.Domain != t.self.member.Domain {
		timeout = t.remoteTimeout
	}
	return r == t.self || r.heartbeat.Sequence > 0 && now.Sub(r.lastHeartbeat) < timeout
}

// filter returns the members that match. The lock must be held.
func (t *Table) filter(match func(*row) bool) []Member {
	out := make([]Member, 0, len(t.rows))
	for _, r := range t.order {
		if match(r) {
			m := r.member
			m.Ready, m.Load = r.heartbeat.Ready, r.heartbeat.Load
			out = append(out, m)
		}
	}
	return out
}
