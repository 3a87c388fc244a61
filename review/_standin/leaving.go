package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// arrival is a request that began to run at a server.
type arrival struct {
	id, server string
	at         time.Time
}

// leaving: servers leave without reporting it first while an entry is killed.
func leaving(r *record, trouble bool) (bool, error) {
	const (
		host   = "kalame.example"
		rounds = 4
		// extra is the little longer for which a server serves after drain_ms.
		extra = 300 * time.Millisecond
		// down is how long a killed entry stays down.
		down = 3500 * time.Millisecond
	)
	s, err := newSite(r)
	if err != nil {
		return false, err
	}
	defer s.close()
	drain := time.Duration(s.drainMs) * time.Millisecond
	l := newLedger()
	stop := make(chan struct{})
	var background sync.WaitGroup
	defer background.Wait()
	defer close(stop)
	var mu sync.Mutex
	var arrivals []arrival
	removed := make(map[string]time.Time)
	gone := make(map[string]chan struct{})
	zones := []string{"a", "b", "c"}
	add := func(i int) (*server, error) {
		v, err := s.addServer("billing", zones[i%3], 6, func(string) time.Duration { return 210 * time.Millisecond })
		if err != nil {
			return nil, err
		}
		v.ran = func(v *server, id, _ string) {
			l.ran(id, true)
			r.add("server: %s runs %s", v.id, id)
			mu.Lock()
			defer mu.Unlock()
			arrivals = append(arrivals, arrival{id, v.id, time.Now()})
		}
		done := make(chan struct{})
		gone[v.id] = done
		background.Go(func() { v.beat(done) })
		return v, nil
	}
	var current []*server
	defer func() {
		for _, v := range current {
			close(gone[v.id])
		}
	}()
	for i := range 8 {
		v, err := add(i)
		if err != nil {
			return false, err
		}
		current = append(current, v)
	}
	s.configure(3, 15000, []route{{"subscribe-pay", host, "/pay/", "unsafe", 2500, 500, 1, "billing", 2}})
	for i := range 6 {
		if _, err := s.addEntry(zones[i%3]); err != nil {
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
	time.Sleep(4 * time.Second)
	start := time.Now()
	span := rounds*12*time.Second + 2*time.Second
	var calls sync.WaitGroup
	calls.Go(func() {
		clients := make([]*client, len(zones))
		for i, z := range zones {
			clients[i] = s.newClient(host, z, 12*time.Second)
		}
		for n := 0; time.Since(start) < span; n++ {
			q := request{id: fmt.Sprint("pay-", n), method: "POST", path: fmt.Sprint("/pay/", n), deadline: 2500 * time.Millisecond, body: make([]byte, 4000)}
			c := clients[n%len(clients)]
			calls.Go(func() { l.ended(q.id, c.send(q, false, "")) })
			time.Sleep(time.Until(start.Add(time.Duration(n+1) * 25 * time.Millisecond)))
		}
	})
	killed := make(map[string]bool)
	for round := range rounds {
		time.Sleep(time.Until(start.Add(2*time.Second + time.Duration(round)*12*time.Second + rand.N(750*time.Millisecond))))
		if trouble {
			e := s.entries[0]
			killed[e.callers] = true
			e.restartAfter(down)
			e.signal(syscall.SIGKILL, "node_kill")
		}
		time.Sleep(100 * time.Millisecond)
		// Planned: half of the servers leave. They never report it: their entries are removed,
		// and they serve on for drain_ms and a little longer.
		leave := append([]*server(nil), current[:4]...)
		current = append([]*server(nil), current[4:]...)
		for _, v := range leave {
			close(gone[v.id])
		}
		time.Sleep(20 * time.Millisecond)
		for _, v := range leave {
			s.store.Remove("servers", v.id)
			mu.Lock()
			removed[v.id] = time.Now()
			mu.Unlock()
			r.add("store: the entry of %s is removed", v.id)
			time.AfterFunc(drain+extra, func() {
				r.add("server: %s exits", v.id)
				v.stop()
			})
		}
		time.Sleep(4 * time.Second)
		for i := range leave {
			v, err := add(i + round)
			if err != nil {
				return false, err
			}
			current = append(current, v)
		}
	}
	calls.Wait()
	mu.Lock()
	defer mu.Unlock()
	late, lost := 0, 0
	for _, a := range arrivals {
		at, ok := removed[a.server]
		if !ok || a.at.Sub(at) <= drain {
			continue
		}
		l.mu.Lock()
		out := l.results[a.id]
		l.mu.Unlock()
		if killed[out.entry] {
			continue
		}
		late++
		if out.err != nil || out.status != 200 {
			lost++
		}
		r.say("%s reached %s from %s %d ms after its entry was removed: %v", a.id, a.server, out.entry, a.at.Sub(at).Milliseconds(), out)
	}
	r.say("answers: %s", l.tally())
	r.say("requests later than drain_ms: %d, of which not answered with success: %d", late, lost)
	return late > 0, nil
}
