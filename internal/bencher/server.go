package bencher

import (
	"time"

	"poplarwind/dispatcher"
)

// work is the work of one attempt at a server.
type work struct {
	attempt *dispatcher.Attempt
	entry   *entry
	// remaining is the remaining work, as time at full speed.
	remaining time.Duration
	// done is set once the attempt has a response or was canceled.
	done bool
}

// server is a fake server: it runs as many attempts concurrently as it has
// slots, queues the others, and varies in speed.
type server struct {
	sim    *sim
	id     int
	domain int
	slots  int
	// noise is the current slowdown due to noise; the speed is divided by it.
	noise float64
	// advancedAt is when the work of running was last advanced.
	advancedAt time.Duration
	running    []*work
	queue      []*work
	// generation counts changes. A scheduled completion of an earlier
	// generation is void.
	generation int
	// slowdown multiplies noise for stragglers and cold starts.
	slowdown                float64
	failing, down, draining bool
}

// load returns the number of running and queued attempts.
func (s *server) load() int { return len(s.running) + len(s.queue) }

// speed returns the speed relative to full speed.
func (s *server) speed() float64 { return 1 / (s.noise * s.slowdown) }

// advance accounts for the work done since the last change.
func (s *server) advance() {
	d := time.Duration(float64(s.sim.now-s.advancedAt) * s.speed())
	for _, w := range s.running {
		w.remaining -= d
	}
	s.advancedAt = s.sim.now
}

// update advances the work, applies f, starts queued attempts in free slots, and
// schedules the next completion.
func (s *server) update(f func()) {
	s.advance()
	f()
	for len(s.running) < s.slots && len(s.queue) > 0 {
		w := s.queue[0]
		s.queue = s.queue[1:]
		s.running = append(s.running, w)
	}
	s.generation++
	if len(s.running) == 0 {
		return
	}
	earliest := s.running[0].remaining
	for _, w := range s.running {
		earliest = min(earliest, w.remaining)
	}
	generation := s.generation
	s.sim.after(time.Duration(float64(max(0, earliest))/s.speed())+1, func() {
		if generation == s.generation {
			s.finish()
		}
	})
}

// finish responds to all completed attempts.
func (s *server) finish() {
	s.update(func() {
		kept := s.running[:0]
		for _, w := range s.running {
			if w.remaining > 0 {
				kept = append(kept, w)
				continue
			}
			s.respond(w, dispatcher.Completed)
		}
		s.running = kept
	})
}

// respond sends the result of an attempt to its entry, with the load and whether
// the server is draining.
func (s *server) respond(w *work, r dispatcher.Result) {
	load, draining := s.load()-1, s.draining
	s.sim.after(s.sim.delay(w.entry.domain, s.domain), func() { w.entry.handleResponse(w, r, load, draining) })
}

// arrive queues an attempt, unless the server is down or fails.
func (s *server) arrive(w *work) {
	switch {
	case w.done:
	case s.down:
		// Without a response, the attempt ends at the deadline of its call.
	case s.failing:
		s.respond(w, dispatcher.Failed)
	default:
		s.update(func() { s.queue = append(s.queue, w) })
	}
}

// cancel removes an attempt from the slots and the queue.
func (s *server) cancel(w *work) {
	s.update(func() {
		s.running = remove(s.running, w)
		s.queue = remove(s.queue, w)
	})
}

// remove deletes w from the list in place.
func remove(list []*work, w *work) []*work {
	kept := list[:0]
	for _, v := range list {
		if v != w {
			kept = append(kept, v)
		}
	}
	return kept
}
