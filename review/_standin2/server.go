package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a stand-in for a server of a service: it runs slots requests at once and queues a few more.
type server struct {
	id, service, addr, zone string
	slots, queue            int
	// work returns how long a request runs.
	work func(r *http.Request) time.Duration
	log  *recorder

	mu               sync.Mutex
	running, waiting int
	leaving          bool
	free             chan struct{}
	http             *http.Server
	listener         net.Listener
}

func (s *server) start() error {
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.addr = l.Addr().String()
	s.listener = l
	s.free = make(chan struct{}, s.slots)
	for range s.slots {
		s.free <- struct{}{}
	}
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	return nil
}

// load returns the value of Server-Load.
func (s *server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", s.running, s.waiting, s.slots)
}

// count changes the number of requests that run and wait.
func (s *server) count(running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += running
	s.waiting += waiting
}

// full reports whether a further request finds no slot and no room in the queue; if not, it counts as waiting.
func (s *server) full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running+s.waiting >= s.slots+s.queue {
		return true
	}
	s.waiting++
	return false
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Keep-Alive", "timeout=10")
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	if leaving {
		h.Set("Server-Leaving", "1")
		h.Set("Connection", "close")
	}
	if r.URL.Path == "/healthz" {
		h.Set("Server-Load", s.load())
		h.Set("Instance-Id", s.id)
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	if target := r.Header.Get("Target-Instance"); target != "" && target != s.id {
		h.Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.log.add("arrived", id, s.id, 0)
	deadline := 10 * time.Second
	if ms, err := strconv.ParseFloat(r.Header.Get("Deadline-Ms"), 64); err == nil {
		deadline = time.Duration(ms * float64(time.Millisecond))
	}
	ctx, cancel := context.WithTimeout(r.Context(), deadline)
	defer cancel()
	if s.full() {
		h.Set("Server-Load", s.load())
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case <-s.free:
	case <-ctx.Done():
		s.count(0, -1)
		h.Set("Server-Load", s.load())
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.count(1, -1)
	s.log.add("runs", id, s.id, 0)
	status := http.StatusOK
	select {
	case <-time.After(s.work(r)):
	case <-ctx.Done():
		status = http.StatusGatewayTimeout
	}
	s.count(-1, 0)
	s.free <- struct{}{}
	if r.Context().Err() != nil {
		s.log.add("cut", id, s.id, 0)
		return
	}
	s.log.add("ends", id, s.id, status)
	h.Set("Server-Load", s.load())
	h.Set("Response-Stamp", "stamp-"+id)
	body := "body of " + id
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write([]byte(body))
}
