package runner

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"poplarwind/announcer"
	"poplarwind/dispatcher"
	"poplarwind/internal/sleeper"
	"poplarwind/keeper"
	"poplarwind/parser"
	"poplarwind/relayer"
	"poplarwind/resolver"
)

// listEvery is how often the platform's list is read.
const listEvery = time.Second

// Roster keeps each service's servers in step with the platform's list, and
// with what other entries say of leaving ones.
type Roster struct {
	name    string
	lister  keeper.Lister
	table   *announcer.Table
	relayer *relayer.Relayer
	subset  func(*parser.Service) []announcer.Member
	log     *slog.Logger

	mu sync.Mutex
	// list is the platform's list as last seen, nil before.
	list []keeper.Instance
	// turn counts the lists that were learned.
	turn int
	// ranks holds this entry's place for each service in the list.
	ranks map[place]int
	// filled holds, for each service, what its servers were last set from.
	// Only Step touches it.
	filled map[string]basis
}

// basis is what a service's servers are set from. Equal ones give equal
// servers.
type basis struct {
	turn int
	// first and carriers tell the subset apart, by place and length.
	first    *announcer.Member
	carriers int
	marks    string
	// some says that the service had servers: those that come later start
	// cold.
	some bool
}

// Instances returns the platform's list as last seen, nil before.
func (r *Roster) Instances() []keeper.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list
}

// Learn takes in a list, from the platform or from a peer.
func (r *Roster) Learn(list []keeper.Instance) {
	r.mu.Lock()
	r.list = list
	r.ranks = make(map[place]int)
	r.turn++
	r.mu.Unlock()
	r.table.Seed(time.Now(), list)
}

// place is what an entry's rank depends on besides the list.
type place struct {
	path   string
	subset int
}

// Rank returns this entry's place for a service among all listed entries,
// negative if it is not listed, and how many there are.
func (r *Roster) Rank(s *parser.Service) (rank, listed int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range r.list {
		if i.Service == "" {
			listed++
		}
	}
	p := place{path: s.Path(), subset: s.Subset()}
	rank, ok := r.ranks[p]
	if !ok && r.ranks != nil {
		rank = r.rank(p)
		r.ranks[p] = rank
	}
	return rank, listed
}

func (r *Roster) rank(p place) int {
	var entries []announcer.Member
	for _, i := range r.list {
		if i.Service == "" {
			entries = append(entries, announcer.Member{Name: i.Name, Domain: i.Domain})
		}
	}
	ranked, _ := resolver.Rank(p.path, entries, p.subset)
	return slices.IndexFunc(ranked, func(m announcer.Member) bool { return m.Name == r.name })
}

// Follow reads the platform's list until ctx ends.
func (r *Roster) Follow(ctx context.Context) error {
	tag := ""
	for ctx.Err() == nil {
		list, now, err := r.lister.Instances(ctx, tag)
		switch {
		case err == nil:
			tag = now
			r.Learn(list)
		case errors.Is(err, keeper.ErrUnchanged):
			// Entries that were cut off for long are forgotten meanwhile, and
			// the list may be all that is left of them.
			r.table.Seed(time.Now(), r.Instances())
		default:
			r.log.Warn("instance list unavailable", "error", err.Error())
		}
		sleeper.Sleep(ctx, listEvery)
	}
	return nil
}

// spreadEvery is how often servers are brought in step.
const spreadEvery = 200 * time.Millisecond

// Spread brings servers in step until ctx ends.
func (r *Roster) Spread(ctx context.Context) error {
	for ctx.Err() == nil {
		r.Step(time.Now())
		sleeper.Sleep(ctx, spreadEvery)
	}
	return nil
}

// Step brings servers in step once.
func (r *Roster) Step(now time.Time) {
	r.mu.Lock()
	list, turn := r.list, r.turn
	r.mu.Unlock()
	if list == nil {
		return
	}
	byService := make(map[string][]keeper.Instance)
	for _, i := range list {
		if i.Service != "" {
			byService[i.Service] = append(byService[i.Service], i)
		}
	}
	marks := r.marks(now)
	for _, s := range r.relayer.Services() {
		r.fill(s, turn, byService[s.Path()], marks)
	}
}

// marks returns the servers that other entries saw leaving, by service.
func (r *Roster) marks(now time.Time) map[string][]string {
	out := make(map[string][]string)
	for _, m := range r.table.Live(now) {
		if m.Name == r.name {
			continue
		}
		for _, k := range m.Marks {
			if !slices.Contains(out[k.Path], k.Server) {
				out[k.Path] = append(out[k.Path], k.Server)
			}
		}
	}
	return out
}

// fill sets the servers of one service, unless nothing changed for it.
func (r *Roster) fill(s *relayer.Service, turn int, list []keeper.Instance, marks map[string][]string) {
	subset := r.subset(s.Settings())
	marked := marks[s.Path()]
	slices.Sort(marked)
	now := basis{turn: turn, carriers: len(subset), marks: strings.Join(marked, " ")}
	if len(subset) > 0 {
		now.first = &subset[0]
	}
	before := r.filled[s.Path()]
	now.some = before.some || len(list) > 0
	if now == before {
		return
	}
	if r.filled == nil {
		r.filled = make(map[string]basis)
	}
	r.filled[s.Path()] = now
	cold := before.some
	s.Update(func(_ time.Time, d *dispatcher.Dispatcher) {
		present := make(map[string]bool, len(list))
		for _, i := range list {
			present[i.Name] = true
			d.Add(i.Name, i.Addr, i.Domain, resolver.Owner(i.Name, subset) == r.name, cold)
			d.Told(i.Name, i.Leaving, slices.Contains(marked, i.Name))
		}
		for _, v := range d.Servers() {
			if !present[v.Name()] {
				d.Remove(v.Name())
			}
		}
	})
}
