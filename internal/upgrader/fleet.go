package upgrader

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/platform/imitator"
	"poplarwind/reporter"
)

const (
	// settleTimeout bounds the wait until entries are ready, or know each other.
	settleTimeout = 20 * time.Second
	// stopTimeout bounds the wait for the exit of a process after SIGTERM. Its grace time
	// is stopGrace.
	stopTimeout = 10 * time.Second
	stopGrace   = 3 * time.Second
	// host is the host of all routes, and firstPort the lowest port of a listener. Ports
	// that the system chooses are higher.
	host      = "h.example"
	firstPort = 20000
	// readPath and orderPath are the paths of idempotent requests and of others.
	readPath, orderPath = "/read/", "/order/"
	// work is how long an upstream takes for a request.
	work = 10 * time.Millisecond
)

// Fleet is a set of entries in front of a store and upstreams.
type Fleet struct {
	// Store is the fake of the platform's store.
	Store *imitator.Store
	// Upstreams are the fake upstreams.
	Upstreams []*imitator.CountingUpstream

	folder, ip, storeAddr string
	// upstreamAddrs holds the addresses of the upstreams.
	upstreamAddrs  []string
	port           int
	entries        []*Entry
	version, loads int
	closers        []func()
}

// Entry is one entry, whose program may be replaced.
type Entry struct {
	// Callers, Ops and Peers are its addresses.
	Callers, Ops, Peers string
	name, settings      string
	cmd                 *exec.Cmd
	exited              chan error
}

// NewFleet starts a store and upstreams. Files are written to folder; the fleet listens at a
// loopback address of this process alone.
func NewFleet(folder string, upstreams int) (*Fleet, error) {
	pid := os.Getpid()
	f := &Fleet{Store: &imitator.Store{}, folder: folder, ip: fmt.Sprintf("127.%d.%d.%d", 128+pid>>16&0x7f, pid>>8&0xff, max(1, pid&0xff)), port: firstPort}
	var err error
	if f.storeAddr, err = f.serve(func(l net.Listener) { _ = f.Store.Serve(l) }); err != nil {
		return nil, err
	}
	f.Configure()
	for i := range upstreams {
		u := imitator.NewCountingUpstream(fmt.Sprint("i-", i), work)
		server := &fasthttp.Server{Handler: u.Handle}
		addr, err := f.serve(func(l net.Listener) { _ = server.Serve(l) })
		if err != nil {
			return nil, err
		}
		f.Upstreams = append(f.Upstreams, u)
		f.upstreamAddrs = append(f.upstreamAddrs, addr)
		f.Store.PutUpstream(u.ID(), "jobs", addr, domain(i))
	}
	return f, nil
}

// Interpose makes entries reach an upstream through another server, which interpose starts in front of
// its address.
func (f *Fleet) Interpose(i int, interpose func(target string) func(net.Listener)) error {
	addr, err := f.serve(interpose(f.upstreamAddrs[i]))
	if err == nil {
		f.Store.PutUpstream(f.Upstreams[i].ID(), "jobs", addr, domain(i))
	}
	return err
}

// serve accepts connections at a free address in the background until Close.
func (f *Fleet) serve(serve func(net.Listener)) (string, error) {
	l, err := net.Listen("tcp", f.address())
	if err != nil {
		return "", errors.Trace(err)
	}
	var done sync.WaitGroup
	done.Go(func() { serve(l) })
	f.closers = append(f.closers, func() {
		_ = l.Close()
		done.Wait()
	})
	return l.Addr().String(), nil
}

// address returns an address that no other one of the fleet has.
func (f *Fleet) address() string {
	f.port++
	return fmt.Sprintf("%s:%d", f.ip, f.port)
}

// domain returns the failure domain of the i-th entry or upstream.
func domain(i int) string { return string(rune('a' + i%3)) }

// Configure writes the next version of the configuration, which adds a route below the
// returned path.
func (f *Fleet) Configure() string {
	f.version++
	routes := []imitator.Route{{Path: readPath, Idempotent: true}, {Path: orderPath}}
	for v := range f.version {
		routes = append(routes, imitator.Route{Path: fmt.Sprintf("/added%d/", v), Idempotent: true})
	}
	f.Store.PutRoutes(f.version, host, "jobs", routes)
	return fmt.Sprintf("/added%d/", f.version-1)
}

// AddEntry adds an entry and starts it as a process of program.
func (f *Fleet) AddEntry(program string) (*Entry, error) {
	i := len(f.entries)
	e := &Entry{name: fmt.Sprint("e", i), Callers: f.address(), Ops: f.address(), Peers: f.address()}
	settings := fmt.Sprintf(`{"name":%q,"domain":%q,"callers":%q,"peers":%q,"ops":%q,"platform":%q,"secret":"secret-of-the-tests","beat":"200ms","silence":"1s","ttl":"1s",
		"gateway":{"resolve":%q,"ready":%q,"grace":%q,"probes":1000,"share":0.2,"extra":60,"window":"10s"}}`,
		e.name, domain(i), e.Callers, e.Peers, e.Ops, f.storeAddr, f.address(), f.address(), stopGrace)
	e.settings = filepath.Join(f.folder, e.name+".jsonc")
	if err := os.WriteFile(e.settings, []byte(settings), 0o600); err != nil {
		return nil, errors.Trace(err)
	}
	f.entries = append(f.entries, e)
	return e, e.start(f.folder, program)
}

// Entries returns the entries.
func (f *Fleet) Entries() []*Entry { return f.entries }

func (e *Entry) start(folder, program string) error {
	log, err := os.OpenFile(filepath.Join(folder, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Trace(err)
	}
	defer log.Close()
	e.cmd = exec.Command(program, "-settings", e.settings)
	e.cmd.Stdout, e.cmd.Stderr = log, log
	if err := e.cmd.Start(); err != nil {
		return errors.Trace(err)
	}
	e.exited = make(chan error, 1)
	go func(cmd *exec.Cmd, exited chan<- error) { exited <- cmd.Wait() }(e.cmd, e.exited)
	return nil
}

// Signal sends a signal to the process of the entry.
func (e *Entry) Signal(s syscall.Signal) error { return errors.Trace(e.cmd.Process.Signal(s)) }

// Replace ends the entry's process with a signal and starts program in its place. After
// SIGTERM the process must exit with status 0.
func (f *Fleet) Replace(e *Entry, s syscall.Signal, program string) error {
	if err := e.Signal(s); err != nil {
		return err
	}
	select {
	case err := <-e.exited:
		if s == syscall.SIGTERM && err != nil {
			return errors.Annotatef(err, "exit of %s", e.name)
		}
	case <-time.After(stopTimeout):
		return errors.Errorf("%s still runs %v after %v", e.name, stopTimeout, s)
	}
	return e.start(f.folder, program)
}

// status returns the status of an entry.
func (e *Entry) status() (reporter.GatewayStatus, error) {
	var out reporter.GatewayStatus
	_, body, err := fasthttp.GetTimeout(nil, "http://"+e.Ops+"/status", time.Second)
	if err == nil {
		err = json.Unmarshal(body, &out)
	}
	return out, errors.Trace(err)
}

// Await waits until all entries are ready and see each other.
func (f *Fleet) Await() error {
	var last error
	for start := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		complete := 0
		for _, e := range f.entries {
			s, err := e.status()
			live := 0
			for _, m := range s.Members {
				if m.Live {
					live++
				}
			}
			if err != nil {
				last = errors.Annotatef(err, "status of %s", e.name)
			}
			if err == nil && s.Ready && live == len(f.entries) {
				complete++
			}
		}
		if complete == len(f.entries) {
			return nil
		}
		if time.Since(start) > settleTimeout {
			return errors.Errorf("%d of %d entries are ready and see all others; last error: %v; logs in %s", complete, len(f.entries), last, f.folder)
		}
	}
}

// Close ends all processes and servers of the fleet.
func (f *Fleet) Close() {
	for _, e := range f.entries {
		_ = e.cmd.Process.Kill()
		<-e.exited
	}
	_ = f.Store.Close()
	for _, c := range f.closers {
		c()
	}
}
