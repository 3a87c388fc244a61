package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const healthPath = "/healthz"

// server is a stand-in of a server, as the pages describe a sound one: it answers one
// request at a time on a connection, runs slots at once and queues a few more.
type server struct {
	site                *site
	id, service, zone   string
	address             string
	slots, queue, bytes int
	born                int64
	// work is how long a request takes.
	work func(path string) time.Duration
	// trouble, if set, writes the answer to a request that the server has run, and reports
	// whether the connection can be used again.
	trouble atomic.Pointer[func(*server, net.Conn, *http.Request) bool]
	// idle is how long the server keeps an idle connection open, 0 if it never closes one.
	idle time.Duration
	// ran is called with the ID of each request that begins to run.
	ran func(v *server, id, path string)

	listener net.Listener
	room     chan struct{}
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	running  int
	waiting  int
	closed   bool
	sequence int
}

// addServer starts a server.
func (s *site) addServer(service, zone string, slots int, work func(string) time.Duration) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	v := &server{
		site: s, id: fmt.Sprintf("i-%s-%d", service, len(s.servers)+1), service: service, zone: zone, address: l.Addr().String(),
		slots: slots, queue: 4 * slots, bytes: 5000, born: time.Now().UnixMilli(), work: work,
		listener: l, room: make(chan struct{}, slots), conns: make(map[net.Conn]struct{}),
	}
	s.servers = append(s.servers, v)
	go v.serve(l)
	return v, nil
}

// register writes the server's entry to the store.
func (v *server) register(phase string) {
	v.mu.Lock()
	v.sequence++
	n := v.sequence
	v.mu.Unlock()
	v.site.store.Put("servers", v.id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":%q,"version":"v1","capacity":%d,"phase":%q,"warmup_left_ms":0,"sequence":%d,"born":%d}`,
		v.service, v.address, v.zone, v.slots, phase, n, v.born))
}

// beat registers the server again and again, until stop is closed.
func (v *server) beat(stop <-chan struct{}) {
	for {
		v.register("ready")
		select {
		case <-stop:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

// refuse makes the server refuse new connections. Those that are open live on.
func (v *server) refuse() { v.listener.Close() }

// accept ends refuse.
func (v *server) accept() error {
	l, err := net.Listen("tcp", v.address)
	if err != nil {
		return err
	}
	v.listener = l
	go v.serve(l)
	return nil
}

func (v *server) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		v.mu.Lock()
		v.conns[c] = struct{}{}
		closed := v.closed
		v.mu.Unlock()
		if closed {
			c.Close()
			return
		}
		go v.serveConn(c)
	}
}

// stop ends the server: it closes all connections.
func (v *server) stop() {
	v.listener.Close()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.closed = true
	for c := range v.conns {
		c.Close()
	}
}

func (v *server) serveConn(c net.Conn) {
	defer func() {
		c.Close()
		v.mu.Lock()
		delete(v.conns, c)
		v.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		if v.idle > 0 {
			_ = c.SetReadDeadline(time.Now().Add(v.idle))
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !v.answer(c, req) {
			return
		}
	}
}

// reset resets the connections for which of returns true.
func (v *server) reset(of func(net.Addr) bool) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0
	for c := range v.conns {
		if of(c.RemoteAddr()) {
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
			n++
		}
	}
	return n
}

// load returns the value of the header Server-Load.
func (v *server) load() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", v.running, v.waiting, v.slots)
}

// answer answers one request and reports whether the connection can be used again.
func (v *server) answer(c net.Conn, req *http.Request) bool {
	if req.URL.Path == healthPath {
		return v.write(c, 200, "Instance-Id: "+v.id+"\r\n", nil)
	}
	id := req.Header.Get("Request-Id")
	echo := "Request-Id: " + id + "\r\n"
	if t := req.Header.Get("Target-Instance"); t != "" && t != v.id {
		return v.write(c, 421, echo+"Instance-Id: "+v.id+"\r\n", nil)
	}
	left, _ := strconv.Atoi(req.Header.Get("Deadline-Ms"))
	if !v.enter(time.Duration(left) * time.Millisecond) {
		return v.write(c, 503, echo+"Not-Executed: 1\r\n", nil)
	}
	defer v.leave()
	if v.ran != nil {
		v.ran(v, id, req.URL.Path)
	}
	if t := v.trouble.Load(); t != nil {
		return (*t)(v, c, req)
	}
	time.Sleep(v.work(req.URL.Path))
	v.mu.Lock()
	closed := v.closed
	v.mu.Unlock()
	if closed {
		return false
	}
	return v.write(c, 200, echo+"Response-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n", make([]byte, v.bytes))
}

// enter waits for a slot. It reports false if there is none.
func (v *server) enter(limit time.Duration) bool {
	v.mu.Lock()
	if v.running+v.waiting >= v.slots+v.queue {
		v.mu.Unlock()
		return false
	}
	v.waiting++
	v.mu.Unlock()
	ok := false
	select {
	case v.room <- struct{}{}:
		ok = true
	case <-time.After(limit):
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.waiting--
	if ok {
		v.running++
	}
	return ok
}

func (v *server) leave() {
	<-v.room
	v.mu.Lock()
	defer v.mu.Unlock()
	v.running--
}

func (v *server) write(c net.Conn, status int, header string, body []byte) bool {
	if v.idle > 0 {
		header += fmt.Sprintf("Keep-Alive: timeout=%d\r\n", int(v.idle.Seconds()))
	}
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%sServer-Load: %s\r\nContent-Length: %d\r\n\r\n", status, http.StatusText(status), header, v.load(), len(body))
	_, err := c.Write(append([]byte(head), body...))
	return err == nil
}
