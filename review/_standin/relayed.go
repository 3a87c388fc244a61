package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// relayed: machines are partitioned from all servers: their connections are reset or live on
// while new ones are refused. Meanwhile servers fail a part of their requests.
func relayed(r *record, trouble bool) (bool, error) {
	const (
		host   = "kalame.example"
		rounds = 6
		every  = 11 * time.Second
		// lasts is how long the servers are in trouble each time, and cut how long the
		// partition in it lasts, which begins after before.
		lasts, before, cut = 6 * time.Second, time.Second, 3 * time.Second
		// failing is the share of requests that a server in trouble fails.
		failing = 0.45
	)
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
	zones := []string{"a", "b"}
	var mu sync.Mutex
	runs := make(map[string][]string)
	for i := range 8 {
		v, err := s.addServer("billing", zones[i%2], 6, func(string) time.Duration { return 20*time.Millisecond + rand.N(40*time.Millisecond) })
		if err != nil {
			return false, err
		}
		v.idle = 3 * time.Second
		v.ran = func(v *server, id, _ string) {
			l.ran(id, true)
			r.add("server: %s runs %s", v.id, id)
			mu.Lock()
			defer mu.Unlock()
			runs[id] = append(runs[id], v.id)
		}
		background.Go(func() { v.beat(stop) })
	}
	fail := func(v *server, c net.Conn, req *http.Request) bool {
		time.Sleep(v.work(""))
		id := req.Header.Get("Request-Id")
		if rand.Float64() < failing {
			r.add("server: %s answers %s, which it has run, with its own 503", v.id, id)
			return v.write(c, 503, "Request-Id: "+id+"\r\n", []byte("database error"))
		}
		return v.write(c, 200, "Request-Id: "+id+"\r\nResponse-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n", make([]byte, v.bytes))
	}
	s.configure(3, 15000, []route{{"subscribe-pay", host, "/pay/", "unsafe", 2500, 500, 1, "billing", 2}})
	for i := range 4 {
		if _, err := s.addEntry(zones[i/2]); err != nil {
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
	var calls sync.WaitGroup
	calls.Go(func() {
		clients := []*client{s.newClient(host, "a", 12*time.Second), s.newClient(host, "b", 12*time.Second)}
		for n := 0; time.Since(start) < rounds*every+2*time.Second; n++ {
			q := request{id: fmt.Sprint("pay-", n), method: "POST", path: fmt.Sprint("/pay/", n), deadline: 2500 * time.Millisecond, body: make([]byte, 4000)}
			c := clients[n%2]
			calls.Go(func() { l.ended(q.id, c.send(q, false, "")) })
			time.Sleep(time.Until(start.Add(time.Duration(n+1) * 8 * time.Millisecond)))
		}
	})
	for round := range rounds {
		time.Sleep(time.Until(start.Add(6*time.Second + time.Duration(round)*every)))
		if !trouble {
			continue
		}
		r.say("servers: they fail a part of their requests for %v", lasts)
		for _, v := range s.servers {
			v.trouble.Store(&fail)
		}
		time.Sleep(before)
		r.say("network: the machines are partitioned from the servers for %v: new connections are refused; those of zone a are reset, those of zone b live on", cut)
		for _, v := range s.servers {
			v.refuse()
		}
		for _, e := range s.entries[:2] {
			of, err := e.addresses()
			if err != nil {
				return false, err
			}
			n := 0
			for _, v := range s.servers {
				n += v.reset(func(a net.Addr) bool { return of[a.String()] })
			}
			r.add("network: %d connections of %s are reset", n, e.name)
		}
		time.Sleep(cut)
		for _, v := range s.servers {
			if err := v.accept(); err != nil {
				return false, err
			}
		}
		r.say("network: the partition is over")
		time.Sleep(lasts - before - cut)
		for _, v := range s.servers {
			v.trouble.Store(nil)
		}
		r.say("servers: they are sound again")
	}
	calls.Wait()
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for id, list := range runs {
		if len(list) > 1 {
			twice++
			r.say("%s ran %d times, at %v; its client got %v", id, len(list), list, l.results[id])
		}
	}
	r.say("answers: %s", l.tally())
	r.say("requests that must not run twice and ran more than once: %d", twice)
	return twice > 0, nil
}
