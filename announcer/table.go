package announcer

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"poplarwind/keeper"
)

// Member is one entry as it describes itself.
type Member struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Region  string `json:"region,omitempty"`
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
	Ops     string `json:"ops"`
	// Epoch tells processes of one name apart; the higher is the newer.
	Epoch int64 `json:"epoch"`
	// Digest is the digest of the settings in force.
	Digest uint64 `json:"digest"`
	// Rates are the calls a second of the services that the entry carries.
	Rates []Rate `json:"rates,omitempty"`
	// Marks are servers that the entry lately saw leaving.
	Marks []Mark `json:"marks,omitempty"`
	// Power is how many requests a second the entry can carry, 0 if untold.
	Power float64 `json:"power,omitempty"`
	// Ready says, as of the last heartbeat, that the entry serves callers, and
	// Load how many requests a second it gets. Tables fill them in.
	Ready bool    `json:"-"`
	Load  float64 `json:"-"`
}

// Rate is the calls a second that an entry carries of one service.
type Rate struct {
	Path  string  `json:"path"`
	Calls float64 `json:"calls"`
}

// Mark says that a server of a service is leaving.
type Mark struct {
	Path   string `json:"path"`
	Server string `json:"server"`
}

// Brief is the news of one member.
type Brief struct {
	Name  string `json:"n"`
	Epoch int64  `json:"e"`
	// Beat rises by one with each heartbeat of the member.
	Beat    uint64 `json:"b"`
	Leaving bool   `json:"l,omitempty"`
	// Ready says that the member serves callers, and Load how many requests a
	// second it gets, at least 0.
	Ready bool    `json:"r,omitempty"`
	Load  float64 `json:"q,omitempty"`
}

// row is what a table knows of one member.
type row struct {
	member Member
	brief  Brief
	// heard is when the beat last rose, by this process's clock.
	heard time.Time
	// direct is when the member itself last sent its description.
	direct time.Time
}

// Table is the membership as one entry sees it. It is safe for concurrent
// use.
type Table struct {
	silence time.Duration
	// far is the same for members of other failure domains.
	far time.Duration

	mu   sync.Mutex
	self *row
	// rows is keyed by name and holds self.
	rows   map[string]*row
	ticked time.Time
}

// NewTable returns a table that holds self alone. A member that is not heard
// of for silence is not live.
func NewTable(now time.Time, self Member, silence time.Duration) *Table {
	r := &row{member: self, brief: Brief{Name: self.Name, Epoch: self.Epoch}, heard: now, direct: now}
	return &Table{silence: silence, far: silence, self: r, rows: map[string]*row{self.Name: r}, ticked: now}
}

// Allow sets how long members of other failure domains may not be heard of,
// for tables whose news from there takes longer.
func (t *Table) Allow(far time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.far = far
}

// forgetAfter is how many silences pass before a member is forgotten.
const forgetAfter = 20

// Tick counts a heartbeat of this entry. If the process was paused since the
// last one, it gives every member time to be heard of again, for it is the
// process that was silent and not they.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	paused := now.Sub(t.ticked)
	t.ticked = now
	t.self.brief.Beat++
	t.self.heard, t.self.direct = now, now
	for name, r := range t.rows {
		if paused > t.silence/2 {
			r.heard = earlier(now, r.heard.Add(paused))
		}
		if r != t.self && now.Sub(r.heard) > forgetAfter*t.silence {
			delete(t.rows, name)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Describe changes what this entry tells of itself.
func (t *Table) Describe(digest uint64, rates []Rate, marks []Mark) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.member.Digest, t.self.member.Rates, t.self.member.Marks = digest, rates, marks
}

// Report changes what this entry's heartbeats tell: whether it serves callers,
// and how many requests a second it gets.
func (t *Table) Report(ready bool, load float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.brief.Ready, t.self.brief.Load = ready, load
}

// Leave marks this entry as leaving, for good.
func (t *Table) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.brief.Leaving = true
	t.self.brief.Beat++
}

// Leaving reports whether this entry is leaving.
func (t *Table) Leaving() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self.brief.Leaving
}

// Seed makes entries of the platform's list known, so that they can be
// spoken to. They are not live until a heartbeat is heard.
func (t *Table) Seed(now time.Time, list []keeper.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range list {
		if i.Service != "" || i.Peers == "" || t.rows[i.Name] != nil {
			continue
		}
		m := Member{Name: i.Name, Domain: i.Domain, Callers: i.Addr, Peers: i.Peers, Ops: i.Ops}
		t.rows[i.Name] = &row{member: m, brief: Brief{Name: i.Name}, heard: now}
	}
}

// Merge takes in news that a peer passed on. It returns the names of members
// that are news to it and need describing.
func (t *Table) Merge(now time.Time, news []Brief) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var want []string
	for _, b := range news {
		r := t.rows[b.Name]
		switch {
		case r == t.self:
			t.refute(b)
		case r == nil:
			want = append(want, b.Name)
		case r.brief.older(b):
			if b.Epoch > r.brief.Epoch && r.member.Epoch != b.Epoch {
				want = append(want, b.Name)
			}
			r.brief = b
			r.heard = now
		}
	}
	return want
}

// older reports whether b is newer than a.
func (a Brief) older(b Brief) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch < b.Epoch
	}
	return a.Beat < b.Beat
}

// refute raises this entry's own epoch above that of an earlier process of
// its name whose news still goes around.
func (t *Table) refute(b Brief) {
	if !t.self.brief.older(b) {
		return
	}
	t.self.brief.Epoch = max(t.self.brief.Epoch, b.Epoch) + 1
	t.self.member.Epoch = t.self.brief.Epoch
}

// Introduce takes in descriptions of members. Direct says that they come
// from the member itself.
func (t *Table) Introduce(now time.Time, direct bool, members ...Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range members {
		r := t.rows[m.Name]
		if r == t.self || m.Name == "" {
			continue
		}
		if r == nil {
			r = &row{brief: Brief{Name: m.Name}, heard: now}
			t.rows[m.Name] = r
		}
		if m.Epoch < r.member.Epoch || !direct && now.Sub(r.direct) < t.silence {
			continue
		}
		r.member = m
		if direct {
			r.direct = now
		}
	}
}

// Self returns this entry's description and news.
func (t *Table) Self() (Member, Brief) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self.member, t.self.brief
}

// News returns the news of all members that were heard of.
func (t *Table) News(now time.Time) []Brief {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Brief, 0, len(t.rows))
	for _, name := range slices.Sorted(maps.Keys(t.rows)) {
		if r := t.rows[name]; t.live(now, r) && r.brief.Beat > 0 {
			out = append(out, r.brief)
		}
	}
	return out
}

// Lookup returns the descriptions of the named members that are known.
func (t *Table) Lookup(names []string) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Member
	for _, n := range names {
		if r := t.rows[n]; r != nil {
			out = append(out, r.member)
		}
	}
	return out
}

// Live returns the members that are heard of and not leaving, by name.
func (t *Table) Live(now time.Time) []Member {
	return t.members(func(r *row) bool { return t.live(now, r) && !r.brief.Leaving })
}

// Peers returns all members that it is worth speaking to, by name: live ones
// and those that are only known of yet.
func (t *Table) Peers(now time.Time) []Member {
	return t.members(func(r *row) bool { return r != t.self && now.Sub(r.heard) < forgetAfter*t.silence })
}

// Known returns every member with its news and whether it is live.
func (t *Table) Known(now time.Time) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Status
	for _, r := range t.rows {
		out = append(out, Status{Member: r.member, Beat: r.brief.Beat, Leaving: r.brief.Leaving, Live: t.live(now, r)})
	}
	slices.SortFunc(out, func(a, b Status) int { return cmp.Compare(a.Member.Name, b.Member.Name) })
	return out
}

// Status is what a table tells operators of a member.
type Status struct {
	Member  Member `json:"member"`
	Beat    uint64 `json:"beat"`
	Leaving bool   `json:"leaving"`
	Live    bool   `json:"live"`
}

func (t *Table) live(now time.Time, r *row) bool {
	silence := t.silence
	if r.member.Domain != t.self.member.Domain {
		silence = t.far
	}
	return r == t.self || r.brief.Beat > 0 && now.Sub(r.heard) < silence
}

func (t *Table) members(keep func(*row) bool) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Member, 0, len(t.rows))
	for _, name := range slices.Sorted(maps.Keys(t.rows)) {
		if r := t.rows[name]; keep(r) {
			m := r.member
			m.Ready, m.Load = r.brief.Ready, r.brief.Load
			out = append(out, m)
		}
	}
	return out
}
