package main

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Bounds and times of the site coastloop-gw-large.
const (
	grace        = 10 * time.Second
	lostSlack    = 200 * time.Millisecond
	routeTimeout = 8 * time.Second
	clientLimit  = 8 * time.Second
	usualWork    = 900 * time.Millisecond
	longWork     = 6500 * time.Millisecond
)

// archiveWork returns the work of a request: the same at each server. One in 25 is long.
func archiveWork(r *http.Request) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.Header.Get("Request-Id")))
	n := h.Sum32()
	if n%25 == 0 {
		return longWork
	}
	return time.Duration(float64(usualWork) * (0.7 + 0.6*float64(n%1000)/1000))
}

// requestsAtStop stops an entry by SIGTERM while clients send requests. It reports whether LOST was broken:
// requests that were passed on to a server ended with their connection.
func requestsAtStop(d *deployment, trouble bool) bool {
	d.grace = grace
	d.startStore()
	for i := range 300 {
		s := &server{id: fmt.Sprintf("i-%03d", i), zone: string(rune('a' + i%3)), service: "certvault", addr: "127.0.0.1:0", slots: 3, queue: 6, log: d.log, work: archiveWork}
		if err := s.start(); err != nil {
			fail(err)
		}
		d.put(s, "ready")
	}
	d.store.Put("config", "main", fmt.Sprintf(`{"version":3,"routes":[{"name":"r-archive","host":"h.example","path_prefix":"/archive/","type":"safe","priority":2,
		"timeout_ms":%d,"target_latency_ms":3000,"service":"certvault","max_attempts":1}],"services":[{"name":"certvault","health_path":"/healthz","max_connections":2400}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":5000,"idle_timeout_ms":20000}}`, routeTimeout.Milliseconds()))
	d.startEntries(3, 284)
	until := time.Now().Add(82 * time.Second)
	var clients []*client
	var wg sync.WaitGroup
	for i := range 660 {
		c := &client{d: d, name: fmt.Sprintf("c%d", i), limit: clientLimit, path: "/archive/", host: "h.example", keep: 1}
		if i%3 == 0 {
			// Some clients keep an answer of the directory three times as long. These open a new connection for each request.
			c.keep, c.fresh = 3, true
		}
		clients = append(clients, c)
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 8 * time.Millisecond)
			c.run(until, func() time.Duration { return time.Duration(rand.Float64() * float64(500*time.Millisecond)) })
		})
	}
	lost := 0
	for i := range 4 {
		e := d.entries[i%len(d.entries)]
		time.Sleep(9 * time.Second)
		stop := stopped{entry: e, at: time.Now()}
		if trouble {
			d.signal(e, syscall.SIGTERM)
		} else {
			time.Sleep(grace)
		}
		d.stops = append(d.stops, stop)
		if trouble {
			<-e.done
			d.log.note("%s has ended", e.name)
			time.Sleep(500 * time.Millisecond)
			e.later()
			d.launch(e)
		}
	}
	wg.Wait()
	for _, s := range d.stops {
		lost += countLost(d, clients, s.entry, s.at)
	}
	return lost > 0
}

// countLost counts the requests at the stopped entry that break LOST around its SIGTERM.
func countLost(d *deployment, clients []*client, stopped *entry, term time.Time) int {
	atServer := make(map[string]bool)
	for _, e := range d.log.events {
		if e.what == "runs" {
			atServer[e.id] = true
		}
	}
	lost, statuses := 0, make(map[int]int)
	for _, c := range clients {
		for _, o := range c.outcomes {
			statuses[o.status]++
			if o.status != 0 || o.entry != stopped.frontend || o.endedAt.Before(term) || o.endedAt.After(term.Add(grace+time.Second)) {
				continue
			}
			took, sent := o.endedAt.Sub(o.sentAt), o.sentAt.Sub(term)
			verdict := "LOST"
			switch {
			case !atServer[o.id] && took <= lostSlack:
				verdict = "not counted: not passed on, ended within lost_slack_ms"
			case took >= routeTimeout:
				verdict = "not counted: the route's timeout was reached"
			case atServer[o.id] && sent <= 3*time.Second && o.endedAt.After(term.Add(grace-grace/6)):
				verdict = "not counted: sent no later than 3 s after SIGTERM, the server at work in the last sixth of grace_s"
			default:
				lost++
			}
			d.log.note("ended without an answer: %s, sent %.3f s after SIGTERM, ended after %.3f s, passed on to a server: %v: %s", o.id, sent.Seconds(), took.Seconds(), atServer[o.id], verdict)
		}
	}
	d.log.note("statuses %v", statuses)
	d.log.note("LOST %d", lost)
	fmt.Println("statuses", statuses, "LOST", lost)
	return lost
}
