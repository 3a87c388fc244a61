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
	"poplarwind/parser"
	"poplarwind/relayer"
	"poplarwind/resolver"
	"poplarwind/storer"
)

// listPollInterval is how often the platform's instance list is read.
const listPollInterval = time.Second

// ServerSync synchronizes each service's servers with the platform's instance list
// and with the draining servers that other entries report.
type ServerSync struct {
	name    string
	lister  storer.Lister
	table   *announcer.Table
	relayer *relayer.Relayer
	subset  func(*parser.Service) []announcer.Member
	log     *slog.Logger

	mu sync.Mutex
	// list is the last instance list received, nil before the first.
	list []storer.Instance
	// generation counts the lists received.
	generation int
	// ranks caches this entry's rank for each service among the listed entries.
	ranks map[rankKey]int
	// applied holds the inputs last applied, by service. It is accessed only by
	// Sync.
	applied map[string]serverInputs
}

// serverInputs identifies the inputs that determine a service's servers. Equal
// inputs give equal servers.
type serverInputs struct {
	generation int
	// first and subsetLen identify the subset's slice by address and length.
	first     *announcer.Member
	subsetLen int
	draining  string
	// hadServers reports whether the service has had servers: those added later
	// start cold.
	hadServers bool
}

// Instances returns the last instance list received, nil before the first.
func (ss *ServerSync) Instances() []storer.Instance {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return ss.list
}

// SetInstances records an instance list from the platform or from a peer.
func (ss *ServerSync) SetInstances(list []storer.Instance) {
	ss.mu.Lock()
	ss.list = list
	ss.ranks = make(map[rankKey]int)
	ss.generation++
	ss.mu.Unlock()
	ss.table.Seed(time.Now(), list)
}

// rankKey holds the inputs that, besides the list, determine an entry's rank.
type rankKey struct {
	path   string
	subset int
}

// Rank returns this entry's rank for a service among all listed entries, and their
// number. The rank is 0 before the first list and -1 if the entry is not listed.
func (ss *ServerSync) Rank(s *parser.Service) (rank, listed int) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	for _, i := range ss.list {
		if i.Service == "" {
			listed++
		}
	}
	key := rankKey{path: s.Path(), subset: s.MinEntries()}
	rank, ok := ss.ranks[key]
	if !ok && ss.ranks != nil {
		rank = ss.rank(key)
		ss.ranks[key] = rank
	}
	return rank, listed
}

// rank computes the rank that ranks caches for key. The caller must hold mu.
func (ss *ServerSync) rank(key rankKey) int {
	var entries []announcer.Member
	for _, i := range ss.list {
		if i.Service == "" {
			entries = append(entries, announcer.Member{Name: i.Name, Domain: i.Domain})
		}
	}
	ranked, _ := resolver.Rank(key.path, entries, key.subset)
	return slices.IndexFunc(ranked, func(m announcer.Member) bool { return m.Name == ss.name })
}

// Poll polls the platform's instance list until ctx ends.
func (ss *ServerSync) Poll(ctx context.Context) error {
	tag := ""
	for ctx.Err() == nil {
		list, newTag, err := ss.lister.Instances(ctx, tag)
		switch {
		case err == nil:
			tag = newTag
			ss.SetInstances(list)
		case errors.Is(err, storer.ErrUnchanged):
			// The table drops entries after a long network partition, and the
			// list may then be the only record of them.
			ss.table.Seed(time.Now(), ss.Instances())
		default:
			ss.log.Warn("instance list unavailable", "error", err.Error())
		}
		sleeper.Sleep(ctx, listPollInterval)
	}
	return nil
}

// syncInterval is how often the servers are synchronized.
const syncInterval = 200 * time.Millisecond

// Run synchronizes the servers of all services periodically until ctx ends.
func (ss *ServerSync) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		ss.Sync(time.Now())
		sleeper.Sleep(ctx, syncInterval)
	}
	return nil
}

// Sync synchronizes the servers of all services once.
func (ss *ServerSync) Sync(now time.Time) {
	ss.mu.Lock()
	list, generation := ss.list, ss.generation
	ss.mu.Unlock()
	if list == nil {
		return
	}
	byService := make(map[string][]storer.Instance)
	for _, i := range list {
		if i.Service != "" {
			byService[i.Service] = append(byService[i.Service], i)
		}
	}
	draining := ss.drainingAtPeers(now)
	for _, s := range ss.relayer.Services() {
		ss.syncServers(s, generation, byService[s.Path()], draining)
	}
}

// drainingAtPeers returns the servers that other entries report as draining, by
// service.
func (ss *ServerSync) drainingAtPeers(now time.Time) map[string][]string {
	draining := make(map[string][]string)
	for _, m := range ss.table.Live(now) {
		if m.Name == ss.name {
			continue
		}
		for _, mark := range m.DrainMarks {
			if !slices.Contains(draining[mark.Path], mark.Server) {
				draining[mark.Path] = append(draining[mark.Path], mark.Server)
			}
		}
	}
	return draining
}

// syncServers updates the servers of one service if its inputs changed.
func (ss *ServerSync) syncServers(s *relayer.Service, generation int, list []storer.Instance, draining map[string][]string) {
	subset := ss.subset(s.Settings())
	drainingHere := draining[s.Path()]
	slices.Sort(drainingHere)
	inputs := serverInputs{generation: generation, subsetLen: len(subset), draining: strings.Join(drainingHere, " ")}
	if len(subset) > 0 {
		inputs.first = &subset[0]
	}
	previous := ss.applied[s.Path()]
	inputs.hadServers = previous.hadServers || len(list) > 0
	if inputs == previous {
		return
	}
	if ss.applied == nil {
		ss.applied = make(map[string]serverInputs)
	}
	ss.applied[s.Path()] = inputs
	cold := previous.hadServers
	s.Update(func(_ time.Time, d *dispatcher.Dispatcher) {
		present := make(map[string]bool, len(list))
		for _, i := range list {
			present[i.Name] = true
			d.Add(i.Name, i.Addr, i.Domain, resolver.Owner(i.Name, subset) == ss.name, cold)
			d.UpdateDraining(i.Name, i.Draining, slices.Contains(drainingHere, i.Name))
		}
		for _, v := range d.Servers() {
			if !present[v.Name()] {
				d.Remove(v.Name())
			}
		}
	})
}
