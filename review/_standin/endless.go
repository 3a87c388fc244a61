package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// pacer lets pass at most so many bytes a second, all users together.
type pacer struct {
	rate float64

	mu   sync.Mutex
	next time.Time
}

func (p *pacer) wait(n int) {
	p.mu.Lock()
	now := time.Now()
	if p.next.Before(now) {
		p.next = now
	}
	at := p.next
	p.next = p.next.Add(time.Duration(float64(n) / p.rate * float64(time.Second)))
	p.mu.Unlock()
	time.Sleep(time.Until(at))
}

// ledger holds what happened to each request.
type ledger struct {
	mu sync.Mutex
	// sound holds the requests that a sound server ran.
	sound map[string]bool
	// results holds how the client attempts ended.
	results map[string]result
}

func newLedger() *ledger {
	return &ledger{sound: make(map[string]bool), results: make(map[string]result)}
}

func (l *ledger) ran(id string, sound bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if sound {
		l.sound[id] = true
	}
}

func (l *ledger) ended(id string, r result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results[id] = r
}

// lost returns the requests from kept connections that were passed on to a sound server and
// whose connection ended without an answer, and all other requests that were passed on to
// one and whose connection ended without an answer.
func (l *ledger) lost() (kept, other []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, r := range l.results {
		if r.err == nil || r.timeout || !l.sound[id] {
			continue
		}
		if r.kept {
			kept = append(kept, id)
		} else {
			other = append(other, id)
		}
	}
	return kept, other
}

// tally returns the number of results by kind.
func (l *ledger) tally() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := make(map[string]int)
	for _, r := range l.results {
		switch {
		case r.timeout:
			count["no answer in time"]++
		case r.err != nil:
			count["connection ended"]++
		default:
			count[fmt.Sprint(r.status)]++
		}
	}
	return fmt.Sprint(count)
}

// endless: a server in trouble sends answers whose bodies don't end. The platform kills
// processes that exceed memory_mb.
func endless(r *record, trouble bool) (bool, error) {
	const (
		host = "kalame.example"
		// linkBytes is what each of the two servers in trouble sends a second at most. Both
		// together stay below the 125 MB that the link of a machine carries.
		linkBytes = 60e6
		span      = 24 * time.Second
		begins    = 6 * time.Second
		lasts     = 5500 * time.Millisecond
	)
	s, err := newSite(r)
	if err != nil {
		return false, err
	}
	defer s.close()
	l := newLedger()
	stop := make(chan struct{})
	var beats sync.WaitGroup
	zones := []string{"a", "a"}
	var bad []*server
	for i := range 17 {
		service, work := "dispatch", 640*time.Millisecond
		if i >= 14 {
			service, work = "billing", 210*time.Millisecond
		}
		v, err := s.addServer(service, zones[i%2], 6, func(string) time.Duration { return work })
		if err != nil {
			return false, err
		}
		if i < 2 {
			bad = append(bad, v)
		}
		v.ran = func(v *server, id, path string) {
			sound := v.trouble.Load() == nil
			l.ran(id, sound)
			r.add("server: %s runs %s %s sound=%v", v.id, id, path, sound)
		}
		beats.Go(func() { v.beat(stop) })
	}
	defer beats.Wait()
	s.configure(3, 15000, []route{
		{"archive-read", host, "/archive/", "safe", 8000, 1500, 2, "dispatch", 2},
		{"subscribe-pay", host, "/pay/", "unsafe", 2500, 500, 1, "billing", 2},
	})
	for _, z := range zones {
		if _, err := s.addEntry(z); err != nil {
			close(stop)
			return false, err
		}
	}
	for _, e := range s.entries {
		if err := e.start(true); err != nil {
			close(stop)
			return false, err
		}
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		close(stop)
		return false, err
	}
	time.Sleep(2 * time.Second)
	memory := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() { s.enforceMemory(memory) })
	block := make([]byte, 32<<10)
	for i := range block {
		block[i] = 'x'
	}
	links := make(map[*server]*pacer)
	for _, v := range bad {
		links[v] = &pacer{rate: linkBytes}
	}
	spoil := func(v *server, c net.Conn, req *http.Request) bool {
		link := links[v]
		id, n := req.Header.Get("Request-Id"), 0
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\nResponse-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\r\n")
		for err == nil {
			link.wait(len(block))
			var w int
			w, err = c.Write(block)
			n += w
		}
		r.add("server: %s sent %d bytes to %s that don't end, until the caller closed", v.id, n, id)
		return false
	}
	start := time.Now()
	var calls sync.WaitGroup
	send := func(kind, method string, perSecond float64, deadline time.Duration, body int) {
		clients := make([]*client, len(zones))
		for i, z := range zones {
			clients[i] = s.newClient(host, z, 12*time.Second)
		}
		for n := 0; time.Since(start) < span; n++ {
			q := request{id: fmt.Sprintf("%s-%d", kind, n), method: method, path: fmt.Sprintf("/%s/%d", kind, n), deadline: deadline, body: make([]byte, body)}
			c := clients[n%len(clients)]
			calls.Go(func() {
				out := c.send(q, true, "")
				l.ended(q.id, out)
				// A safe request is repeated once, on a new connection, if time is left.
				if method == "GET" && (out.err != nil || out.status >= 500) && !out.timeout {
					again := q
					again.id += "-again"
					l.ended(again.id, c.send(again, true, out.entry))
				}
			})
			time.Sleep(time.Until(start.Add(time.Duration(float64(n+1) / perSecond * float64(time.Second)))))
		}
	}
	calls.Go(func() { send("archive", "GET", 60, 8*time.Second, 0) })
	calls.Go(func() { send("pay", "POST", 38, 2500*time.Millisecond, 4000) })
	if trouble {
		time.Sleep(time.Until(start.Add(begins)))
		for _, v := range bad {
			r.say("server: %s is in trouble for %v", v.id, lasts)
			v.trouble.Store(&spoil)
		}
		time.Sleep(lasts)
		for _, v := range bad {
			v.trouble.Store(nil)
			r.say("server: %s is sound again", v.id)
		}
	}
	calls.Wait()
	close(memory)
	watch.Wait()
	close(stop)
	ends := 0
	for _, e := range s.entries {
		ends += e.endCount()
	}
	kept, other := l.lost()
	r.say("answers: %s", l.tally())
	r.say("processes that exceeded memory_mb: %d", ends)
	r.say("lost although a sound server ran them: %d from kept connections %v, %d others %v", len(kept), kept, len(other), other)
	return ends > 0 && len(kept) > 3, nil
}
