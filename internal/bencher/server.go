package bencher

import (
	"time"

	"poplarwind/dispatcher"
)

// work is one attempt at a server.
type work struct {
	attempt *dispatcher.Attempt
	entry   *entry
	// left is the work that remains, in time at full speed.
	left time.Duration
	// over is set once the attempt was answered or given up.
	over bool
}

// server is a fake: slots that run at once, a queue behind them, and a speed
// that noise changes.
type server struct {
	sim    *sim
	id     int
	domain int
	slots  int
	// factor divides the speed; touched is when running was last advanced.
	factor  float64
	touched time.Duration
	running []*work
	queue   []*work
	// turn makes planned ends of earlier states void.
	turn int
	// steady multiplies the factor for stragglers and cold starts.
	steady               float64
	failing, gone, leave bool
}

func (s *server) load() int { return len(s.running) + len(s.queue) }

func (s *server) speed() float64 { return 1 / (s.factor * s.steady) }

// advance runs the work of the time since the last change.
func (s *server) advance() {
	d := time.Duration(float64(s.sim.now-s.touched) * s.speed())
	for _, w := range s.running {
		w.left -= d
	}
	s.touched = s.sim.now
}

// change advances, applies f, and plans the next end.
func (s *server) change(f func()) {
	s.advance()
	f()
	for len(s.running) < s.slots && len(s.queue) > 0 {
		w := s.queue[0]
		s.queue = s.queue[1:]
		s.running = append(s.running, w)
	}
	s.turn++
	if len(s.running) == 0 {
		return
	}
	next := s.running[0].left
	for _, w := range s.running {
		next = min(next, w.left)
	}
	turn := s.turn
	s.sim.after(time.Duration(float64(max(0, next))/s.speed())+1, func() {
		if turn == s.turn {
			s.finish()
		}
	})
}

// finish answers all work that is done.
func (s *server) finish() {
	s.change(func() {
		kept := s.running[:0]
		for _, w := range s.running {
			if w.left > 0 {
				kept = append(kept, w)
				continue
			}
			s.answer(w, dispatcher.Answered)
		}
		s.running = kept
	})
}

func (s *server) answer(w *work, r dispatcher.Result) {
	load, leaving := s.load()-1, s.leave
	s.sim.after(s.sim.delay(w.entry.domain, s.domain), func() { w.entry.ended(w, r, load, leaving) })
}

// arrive takes in an attempt.
func (s *server) arrive(w *work) {
	switch {
	case w.over:
	case s.gone:
		// Nothing answers: the attempt ends with the call's deadline.
	case s.failing:
		s.answer(w, dispatcher.Failed)
	default:
		s.change(func() { s.queue = append(s.queue, w) })
	}
}

// cancel gives up an attempt.
func (s *server) cancel(w *work) {
	s.change(func() {
		s.running = without(s.running, w)
		s.queue = without(s.queue, w)
	})
}

func without(list []*work, w *work) []*work {
	kept := list[:0]
	for _, v := range list {
		if v != w {
			kept = append(kept, v)
		}
	}
	return kept
}
