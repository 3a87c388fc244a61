// Command standin2 plays one case of the review: it starts the platform's store, servers and clients as
// stand-ins, and entries as processes of the project's own program.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"poplarwind/platform/imitator"
)

// recorder writes what is seen to a file and keeps it.
type recorder struct {
	mu     sync.Mutex
	start  time.Time
	file   *os.File
	events []event
}

// event is one line of the record.
type event struct {
	at           time.Time
	what, id, by string
	status       int
}

func (l *recorder) add(what, id, by string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := event{at: time.Now(), what: what, id: id, by: by, status: status}
	l.events = append(l.events, e)
	fmt.Fprintf(l.file, "%9.3f s  %-10s %-22s %s %d\n", e.at.Sub(l.start).Seconds(), what, id, by, status)
}

func (l *recorder) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.file, "%9.3f s  %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, args...))
}

// entry is a process of the project's program.
type entry struct {
	name, frontend, ready, directory, path string
	cmd                                    *exec.Cmd
	done                                   chan struct{}
	// later writes the settings of a start that is not the first of the whole system.
	later func()
}

// stopped is an entry that got SIGTERM at a time.
type stopped struct {
	entry *entry
	at    time.Time
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	folder, program string
	log             *recorder
	store           *imitator.Store
	storeAddr       string
	entries         []*entry
	seeds           []string
	// grace is grace_s of the bounds.
	grace time.Duration
	stops []stopped
}

func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// fail ends the program because the case could not run.
func fail(err error) {
	fmt.Fprintln(os.Stderr, "case could not run:", err)
	killAll()
	os.Exit(2)
}

var (
	startedMu sync.Mutex
	started   []*exec.Cmd
)

// killAll ends all processes that were started.
func killAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, c := range started {
		_ = c.Process.Kill()
	}
}

func (d *deployment) startStore() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail(err)
	}
	d.store, d.storeAddr = &imitator.Store{}, l.Addr().String()
	go func() { _ = d.store.Serve(l) }()
}

// settings is the settings of a process as the template of the deploy file gives them, with the bounds of a
// small deployment.
func (d *deployment) settings(e *entry, peers, ops, zone string, memory int, first bool) string {
	m := map[string]any{
		"name": e.name, "domain": zone, "region": "r", "callers": e.frontend, "peers": peers, "ops": ops, "platform": d.storeAddr,
		"secret": "change-for-each-deployment", "seeds": d.seeds, "header": 20480, "body": 67108864, "beat": "500ms", "silence": "2500ms", "ttl": "2s",
		"gateway": map[string]any{
			"resolve": e.directory, "ready": e.ready, "grace": d.grace.String(), "probes": 60, "share": 0.2, "extra": 430, "window": "10s", "drain": "3000ms",
			"memory": memory, "cores": 0.32, "link": 1000, "first": first,
		},
	}
	text, err := json.MarshalIndent(m, "", "  ")
	if err != nil {
		fail(err)
	}
	return string(text)
}

// startEntries starts n entries in zones a, b, c and waits until all are ready.
func (d *deployment) startEntries(n, memory int) {
	peers := make([]string, n)
	for i := range n {
		peers[i] = freeAddr()
	}
	d.seeds = peers[:min(3, n)]
	for i := range n {
		e := &entry{name: "edge-" + strconv.Itoa(i+1), frontend: freeAddr(), ready: freeAddr(), directory: freeAddr()}
		path := filepath.Join(d.folder, e.name+".jsonc")
		zone, ops := string(rune('a'+i%3)), freeAddr()
		write := func(first bool) {
			if err := os.WriteFile(path, []byte(d.settings(e, peers[i], ops, zone, memory, first)), 0o600); err != nil {
				fail(err)
			}
		}
		write(true)
		e.path, e.later = path, func() { write(false) }
		d.launch(e)
		d.entries = append(d.entries, e)
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, e := range d.entries {
		for get(e.ready, imitator.ReadyPath) != 200 {
			if time.Now().After(deadline) {
				fail(fmt.Errorf("%s is not ready", e.name))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// The membership settles.
	time.Sleep(4 * time.Second)
}

// launch starts the process of an entry.
func (d *deployment) launch(e *entry) {
	out, err := os.OpenFile(filepath.Join(d.folder, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail(err)
	}
	cmd := exec.Command(d.program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "POPLARWIND_CONFIG=" + e.path}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		fail(err)
	}
	startedMu.Lock()
	started = append(started, cmd)
	startedMu.Unlock()
	done := make(chan struct{})
	e.cmd, e.done = cmd, done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
}

func (d *deployment) signal(e *entry, s syscall.Signal) {
	d.log.note("%s gets %s", e.name, s)
	_ = e.cmd.Process.Signal(s)
}

// put writes the entry of a server.
func (d *deployment) put(s *server, phase string) {
	s.mu.Lock()
	s.leaving = phase == "draining"
	s.mu.Unlock()
	d.store.Put("servers", s.id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","capacity":%d,"phase":%q,"warmup_left_ms":0,"sequence":1,"born":1700000000000}`, s.service, s.addr, s.zone, s.slots, phase))
	d.log.note("server %s at %s is %s", s.id, s.addr, phase)
}

// get returns the status of a GET request, 0 if there is no answer.
func get(addr, path string) int {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", path)
	var status int
	_, _ = fmt.Fscanf(c, "HTTP/1.1 %d", &status)
	return status
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(2)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fail(err)
	}
	folder, err := os.MkdirTemp("", "case")
	if err != nil {
		fail(err)
	}
	defer os.RemoveAll(folder)
	program := os.Getenv("PROGRAM")
	if program == "" {
		program = "target/poplarwind"
	}
	if program, err = filepath.Abs(program); err != nil {
		fail(err)
	}
	d := &deployment{folder: folder, program: program, log: &recorder{start: time.Now(), file: file}}
	cases := map[string]func(*deployment, bool) bool{"grace": requestsAtStop}
	play := cases[os.Args[1]]
	if play == nil {
		fail(fmt.Errorf("no case %q", os.Args[1]))
	}
	broken := play(d, os.Getenv("TROUBLE") != "0")
	killAll()
	if keep := os.Getenv("KEEP"); keep != "" {
		for _, e := range d.entries {
			text, _ := os.ReadFile(filepath.Join(folder, e.name+".log"))
			_ = os.WriteFile(filepath.Join(keep, e.name+".log"), text, 0o600)
		}
	}
	_ = os.RemoveAll(folder)
	if broken {
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
