package reacher

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"poplarwind/announcer"
	"poplarwind/internal/sleeper"
)

// Path is the path of messages between entries.
const Path = "/peer/reach"

const (
	// maxDials is the number of upstreams that are tried at once. If most upstreams are
	// down, it must be unlikely that all of those tried are.
	maxDials = 12
	// dialTimeout bounds the opening of a connection, which takes milliseconds.
	dialTimeout = 150 * time.Millisecond
	// maxPeers is the number of other entries that are asked at once. Many of them may
	// be cut off as well.
	maxPeers = 5
	// peerTimeout bounds the wait for a reply: the other entry may have to try upstreams.
	peerTimeout = dialTimeout + 150*time.Millisecond
	// recentReach is how long ago an upstream may have accepted a connection for an entry
	// to count as not cut off without another try.
	recentReach = time.Second
	// suspicionInterval is the pause after a suspicion that proved wrong, which doubles up
	// to maxSuspicionInterval, and cutInterval that between the tries of an entry that is
	// cut off.
	suspicionInterval    = 300 * time.Millisecond
	maxSuspicionInterval = 2400 * time.Millisecond
	maxDoublings         = 3
	cutInterval          = 200 * time.Millisecond
	// checkInterval is how often checks that are not due yet are looked at.
	checkInterval = 50 * time.Millisecond
)

// Peers sends messages to other entries.
type Peers interface {
	// Send sends a message to a path of the member and decodes its response.
	Send(ctx context.Context, m announcer.Member, path string, message, response any) error
}

// Options configures a Monitor. All fields must be set.
type Options struct {
	// Reach is that of all services.
	Reach *Reach
	Peers Peers
	// Self is the name of this entry.
	Self string
	// Live returns the live entries, including this one.
	Live func() []announcer.Member
	// Upstreams returns the addresses of the upstreams of a service, or of all if the name
	// is empty, that should run.
	Upstreams func(service string) []string
	// Dial opens a connection to an upstream and closes it.
	Dial func(ctx context.Context, addr string) error
	Log  *slog.Logger
}

// Monitor finds out whether the entry is cut off.
type Monitor struct{ options Options }

// NewMonitor returns a Monitor.
func NewMonitor(o Options) *Monitor { return &Monitor{options: o} }

// answer is the reply to a question of another entry.
type answer struct {
	// Reached is set if the entry reaches upstreams.
	Reached bool `json:"reached"`
}

// question asks another entry whether it reaches the upstreams of a service, or of any if the
// name is empty.
type question struct {
	Service string `json:"service,omitempty"`
}

// Run runs until ctx ends. It checks the reach when it is suspected to be lost, and
// periodically while it is.
func (m *Monitor) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		due, later := m.options.Reach.due(time.Now())
		if len(due) == 0 && !later {
			select {
			case <-m.options.Reach.suspected:
			case <-ctx.Done():
			}
			continue
		}
		var wg sync.WaitGroup
		for _, r := range due {
			wg.Go(func() {
				m.check(ctx, r)
				r.checked(time.Now())
			})
		}
		wg.Wait()
		sleeper.Sleep(ctx, checkInterval)
	}
	return nil
}

// check tries upstreams. If too few can be reached, it asks other entries.
func (m *Monitor) check(ctx context.Context, r *Reach) {
	if r != m.options.Reach && m.options.Reach.Cut() {
		return
	}
	tried, reached := m.dialSome(ctx, r)
	fraction, _ := r.lastTry(time.Now())
	switch {
	case tried == 0:
	case r.sound(fraction):
		m.setCut(r, false, "upstreams_tried", tried, "reached", reached)
	case r.Cut() || !r.lost(fraction):
	default:
		if asked, others := m.askPeers(ctx, r); others > 0 {
			m.setCut(r, true, "upstreams_tried", tried, "reached", reached, "entries_asked", asked, "reached_by", others)
		} else {
			m.options.Log.Info("no upstream reached, nor by other entries", "service", r.service, "upstreams_tried", tried, "reached", reached, "entries_asked", asked)
		}
	}
}

func (m *Monitor) setCut(r *Reach, cut bool, attrs ...any) {
	if !r.SetCut(cut) {
		return
	}
	if r.service != "" {
		attrs = append(attrs, "service", r.service)
	}
	if cut {
		m.options.Log.Warn("upstreams out of reach", attrs...)
	} else {
		m.options.Log.Info("upstreams reachable", attrs...)
	}
}

// dialSome tries a few upstreams at once, chosen at random. It returns how many were tried
// and how many accepted a connection.
func (m *Monitor) dialSome(ctx context.Context, r *Reach) (tried, reached int) {
	list := m.options.Upstreams(r.service)
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	tried, reached = tryAny(list, maxDials, func(addr string) bool {
		err := m.options.Dial(ctx, addr)
		r.RecordDial(time.Now(), addr, err == nil)
		return err == nil
	})
	r.recordTry(time.Now(), tried, reached)
	return tried, reached
}

// tryAny calls try at once for at most limit elements of list, chosen at random. It returns
// how many were tried and for how many try returned true.
func tryAny[T any](list []T, limit int, try func(T) bool) (tried, succeeded int) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	list = list[:min(limit, len(list))]
	var n atomic.Int64
	var wg sync.WaitGroup
	for _, v := range list {
		wg.Go(func() {
			if try(v) {
				n.Add(1)
			}
		})
	}
	wg.Wait()
	return len(list), int(n.Load())
}

// askPeers asks a few other entries at once, chosen at random, whether they reach
// upstreams. It returns how many were asked and how many do.
func (m *Monitor) askPeers(ctx context.Context, r *Reach) (asked, reached int) {
	var others []announcer.Member
	for _, p := range m.options.Live() {
		if p.Name != m.options.Self {
			others = append(others, p)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return tryAny(others, maxPeers, func(p announcer.Member) bool {
		var reply answer
		if err := m.options.Peers.Send(ctx, p, Path, question{Service: r.service}, &reply); err != nil {
			m.options.Log.Debug("peer not asked for its reach", "to", p.Name, "error", err.Error())
		}
		return reply.Reached
	})
}

// Serve handles a question of another entry and returns the reply. A malformed message
// has an error that satisfies errors.Is(err, errors.NotValid).
func (m *Monitor) Serve(ctx context.Context, body []byte) (any, error) {
	var q question
	if err := json.Unmarshal(body, &q); err != nil {
		return nil, errors.WithType(err, errors.NotValid)
	}
	reach := m.options.Reach
	if q.Service != "" {
		reach = reach.Service(q.Service)
	}
	if reach.Cut() || m.options.Reach.Cut() {
		return answer{}, nil
	}
	if q.Service == "" && reach.reachedSince(time.Now()) < recentReach {
		return answer{Reached: true}, nil
	}
	fraction, recent := reach.lastTry(time.Now())
	if !recent {
		m.dialSome(ctx, reach)
		fraction, _ = reach.lastTry(time.Now())
	}
	return answer{Reached: reach.sound(fraction)}, nil
}
