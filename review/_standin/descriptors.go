package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// descriptors: many users come at once, each on a connection of its own. A process has
// max_fds descriptors.
func descriptors(r *record, trouble bool) (bool, error) {
	const (
		host = "kalame.example"
		// usual is the number of users for each entry, and burst the factor by which there
		// are more in the burst.
		usual = 2500
		burst = 1.7
		// every is the time between two requests of a user.
		every = 10 * time.Second
		lasts = 3 * time.Second
		span  = 30 * time.Second
		// begins is when the burst begins, and ramp the time in which its users come.
		begins, ramp = 16 * time.Second, 1500 * time.Millisecond
		// needed is the number of descriptors that this program needs.
		needed = 12000
	)
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < needed {
		return false, fmt.Errorf("%d descriptors are too few, want %d", limit.Cur, needed)
	}
	s, err := newSite(r)
	if err != nil {
		return false, err
	}
	defer s.close()
	l := newLedger()
	stop := make(chan struct{})
	var background sync.WaitGroup
	defer background.Wait()
	defer close(stop)
	for range 6 {
		v, err := s.addServer("catalogue", "a", 30, func(string) time.Duration { return 160 * time.Millisecond })
		if err != nil {
			return false, err
		}
		v.ran = func(_ *server, id, _ string) { l.ran(id, true) }
		background.Go(func() { v.beat(stop) })
	}
	s.configure(3, 15000, []route{{"catalogue-read", host, "/read/", "safe", 2000, 400, 2, "catalogue", 2}})
	for range 2 {
		if _, err := s.addEntry("a"); err != nil {
			return false, err
		}
	}
	for _, e := range s.entries {
		if err := e.start(true); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	// The platform asks each entry once a second whether it is ready.
	for _, e := range s.entries {
		background.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Second):
				}
				status, _, err := get(e.ready, "/poplarwind/readyz", time.Second)
				r.add("platform: %s ready: status %d, %v", e.name, status, err)
			}
		})
	}
	start := time.Now()
	var open atomic.Int64
	var users sync.WaitGroup
	// user is one user with a connection that is kept open, from at until to.
	user := func(name string, at, to time.Duration) {
		time.Sleep(time.Until(start.Add(at)))
		directory := &resolver{site: s, host: host, zone: "a"}
		var c *conn
		failed := ""
		for n := 0; time.Since(start) < to; n++ {
			if c == nil {
				address := directory.address(failed)
				if address == "" {
					r.add("client: %s got no address", name)
					time.Sleep(500 * time.Millisecond)
					continue
				}
				var err error
				if c, err = dial(address); err != nil {
					r.add("client: %s can't connect to %s: %v", name, address, err)
					failed = address
					time.Sleep(500 * time.Millisecond)
					continue
				}
				open.Add(1)
			}
			q := request{id: fmt.Sprintf("%s-%d", name, n), method: "GET", path: "/read/" + name, deadline: 2 * time.Second}
			out, reusable := c.do(host, q, false)
			l.ended(q.id, out)
			if out.err != nil || out.status != 200 {
				r.add("client: %s sent to %s: %v", q.id, out.entry, out)
			}
			if !reusable {
				c.net.Close()
				open.Add(-1)
				c, failed = nil, out.entry
				time.Sleep(100 * time.Millisecond)
				continue
			}
			time.Sleep(min(every, max(0, to-time.Since(start))))
		}
		if c != nil {
			c.net.Close()
			open.Add(-1)
		}
	}
	total := usual * len(s.entries)
	for i := range total {
		users.Go(func() { user(fmt.Sprint("user", i), rand.N(every), span) })
	}
	if trouble {
		for i := range int((burst - 1) * float64(total)) {
			at := begins + rand.N(ramp)
			users.Go(func() { user(fmt.Sprint("more", i), at, begins+lasts) })
		}
	}
	for at := 2 * time.Second; at < span; at += time.Second {
		time.Sleep(time.Until(start.Add(at)))
		r.add("clients: %d connections are open", open.Load())
	}
	users.Wait()
	ends := 0
	for _, e := range s.entries {
		ends += e.endCount()
	}
	kept, _ := l.lost()
	r.say("answers: %s", l.tally())
	r.say("processes that ended by themselves: %d", ends)
	r.say("lost although a sound server ran them: %d from kept connections", len(kept))
	r.add("%v", kept)
	return ends > 0 && len(kept) > 3, nil
}
