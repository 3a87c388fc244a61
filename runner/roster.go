package runner

import (
	"context"
	"log/slog"
	"sync"
	"time"

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
	// settled holds the services whose first servers were added: servers
	// that come later start cold.
	settled map[string]bool
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
	r.mu.Unlock()
	r.table.Seed(time.Now(), list)
}

// Follow reads the platform's list until ctx ends.
func (r *Roster) Follow(ctx context.Context) error {
	for ctx.Err() == nil {
		list, err := r.lister.Instances(ctx)
		if err != nil {
			r.log.Warn("instance list unavailable", "error", err.Error())
		} else {
			r.Learn(list)
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
	list := r.Instances()
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
		r.fill(s, byService[s.Path()], marks)
	}
}

func (r *Roster) marks(now time.Time) map[announcer.Mark]bool {
	out := make(map[announcer.Mark]bool)
	for _, m := range r.table.Live(now) {
		if m.Name == r.name {
			continue
		}
		for _, k := range m.Marks {
			out[k] = true
		}
	}
	return out
}

// fill sets the servers of one service.
func (r *Roster) fill(s *relayer.Service, list []keeper.Instance, marks map[announcer.Mark]bool) {
	subset := r.subset(s.Settings())
	r.mu.Lock()
	if r.settled == nil {
		r.settled = make(map[string]bool)
	}
	cold := r.settled[s.Path()]
	r.settled[s.Path()] = cold || len(list) > 0
	r.mu.Unlock()
	s.Update(func(_ time.Time, d *dispatcher.Dispatcher) {
		present := make(map[string]bool, len(list))
		for _, i := range list {
			present[i.Name] = true
			d.Add(i.Name, i.Addr, i.Domain, resolver.Owner(i.Name, subset) == r.name, cold)
			d.Told(i.Name, i.Leaving, marks[announcer.Mark{Path: s.Path(), Server: i.Name}])
		}
		for _, v := range d.Servers() {
			if !present[v.Name()] {
				d.Remove(v.Name())
			}
		}
	})
}
