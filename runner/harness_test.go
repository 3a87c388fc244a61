package runner

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"poplarwind/internal/faker"
	"poplarwind/parser"
	"poplarwind/reporter"
	"poplarwind/storer"
)

const (
	roleEnv = "POPLARWIND_TEST_ROLE"
	hostEnv = "POPLARWIND_TEST_HOST"
	secret  = "a-secret-for-tests"
	// propagationLimit is the users' limit on the time until a change is in force.
	propagationLimit = 10 * time.Second
	// settleTimeout bounds waits for states reached within a few heartbeats.
	settleTimeout = 20 * time.Second
)

// testHost is a loopback address of this process alone. Entries and servers that
// stop release their ports. On a shared address, callers and peers could then
// connect to entries or servers of another test run at the same port.
var testHost = loopback(os.Getpid())

// loopback returns the loopback address of a process.
func loopback(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>16&0x7f, pid>>8&0xff, pid&0xff)
}

// TestMain runs the test binary as a daemon or a server if the role variable is
// set, so that tests can kill and pause real processes.
func TestMain(m *testing.M) {
	switch os.Getenv(roleEnv) {
	case "entry":
		os.Exit(runEntry(os.Args[1]))
	case "server":
		os.Exit(runServer())
	case "gateway":
		os.Exit(runGatewayProcess(os.Args[1]))
	}
	os.Exit(m.Run())
}

func runEntry(settings string) int {
	p, err := parser.ParseProcess("", []byte(settings))
	if err != nil {
		panic(err)
	}
	r, err := New(p, slog.New(slog.NewJSONHandler(os.Stdout, nil)))
	if err != nil {
		panic(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	if r.Run(ctx) != nil {
		return 1
	}
	return 0
}

func runServer() int {
	l, err := net.Listen("tcp", os.Getenv(hostEnv)+":0")
	if err != nil {
		panic(err)
	}
	_ = json.NewEncoder(os.Stdout).Encode(listenAddrs{Callers: l.Addr().String()})
	w, err := os.OpenFile(os.Args[1], os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	s := &faker.Server{Slots: 3, Work: 3 * time.Millisecond, Ledger: w}
	_ = s.Serve(l)
	return 0
}

// listenAddrs holds the fields that tests read from the first log line of a
// process.
type listenAddrs struct {
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
	Ops     string `json:"ops"`
}

// process is a daemon or server that runs in a separate process.
type process struct {
	cmd  *exec.Cmd
	name string
	listenAddrs
	done chan error
}

func startProcess(t *testing.T, role, name, arg string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(os.Args[0], arg), name: name, done: make(chan error, 1)}
	p.cmd.Env = append(os.Environ(), roleEnv+"="+role, hostEnv+"="+testHost)
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.cmd.Process.Kill() })
	lines := bufio.NewReader(out)
	first, err := lines.ReadBytes('\n')
	if err != nil {
		t.Fatalf("%s did not start: %v", name, err)
	}
	if err := json.Unmarshal(first, &p.listenAddrs); err != nil {
		t.Fatal(err)
	}
	go func() {
		_, _ = io.Copy(io.Discard, lines)
		p.done <- p.cmd.Wait()
	}()
	return p
}

func (p *process) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

func entrySettings(name, domain, platform string) string {
	return fmt.Sprintf(`{"name": %q, "domain": %q, "callers": "%s:0", "peers": "%[3]s:0", "ops": "%[3]s:0",
		"platform": %[4]q, "secret": %[5]q, "beat": "100ms", "silence": "1s", "ttl": "500ms", "resync": "1s", "drain": "20s"}`,
		name, domain, testHost, platform, secret)
}

// testbed is the test environment of one test: a platform with entries and
// servers.
type testbed struct {
	t        *testing.T
	platform *faker.Platform
	addr     string
	store    *storer.Client

	mu      sync.Mutex
	entries map[string]*localEntry
}

// localEntry is an entry that runs in the test's process.
type localEntry struct {
	listenAddrs
	runner *Runner
	stop   context.CancelFunc
	done   chan error
}

func newTestbed(t *testing.T) *testbed {
	t.Helper()
	l, err := net.Listen("tcp", testHost+":0")
	if err != nil {
		t.Fatal(err)
	}
	b := &testbed{t: t, platform: &faker.Platform{}, addr: l.Addr().String(), entries: make(map[string]*localEntry)}
	b.store = storer.NewClient(b.addr, time.Second)
	go func() { _ = b.platform.Serve(l) }()
	t.Cleanup(func() { _ = b.platform.Close() })
	return b
}

// startEntry starts an entry in the test's process.
func (b *testbed) startEntry(name, domain string) *localEntry {
	b.t.Helper()
	return b.startEntryWith(name, entrySettings(name, domain, b.addr))
}

// startEntryWith starts an entry in the test's process with the given settings.
func (b *testbed) startEntryWith(name, settings string) *localEntry {
	b.t.Helper()
	p, err := parser.ParseProcess("", []byte(settings))
	if err != nil {
		b.t.Fatal(err)
	}
	r, err := New(p, slog.New(slog.DiscardHandler))
	if err != nil {
		b.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	self, _ := r.table.Self()
	e := &localEntry{runner: r, listenAddrs: listenAddrs{self.Callers, self.Peers, self.Ops}, stop: cancel, done: make(chan error, 1)}
	go func() { e.done <- r.Run(ctx) }()
	b.listEntry(name, p.Domain(), e.listenAddrs)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries[name] = e
	return e
}

func (b *testbed) listEntry(name, domain string, s listenAddrs) {
	b.platform.AddInstance(storer.Instance{Name: name, Domain: domain, Addr: s.Callers, Peers: s.Peers, Ops: s.Ops})
}

// stopEntry stops an entry gracefully and waits until it has stopped.
func (b *testbed) stopEntry(name string) {
	b.mu.Lock()
	e := b.entries[name]
	delete(b.entries, name)
	b.mu.Unlock()
	e.stop()
	if err := <-e.done; err != nil {
		b.t.Errorf("%s: got: %v want: a clean stop", name, err)
	}
	b.platform.RemoveInstance(name)
}

func (b *testbed) stopEntries() {
	for _, n := range b.entryNames() {
		b.mu.Lock()
		e := b.entries[n]
		b.mu.Unlock()
		e.stop()
	}
}

func (b *testbed) entryNames() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for n := range b.entries {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// applySettings writes a settings document over the current version, if any.
func (b *testbed) applySettings(path, doc string) uint64 {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	var expect uint64
	if o, err := b.store.Get(ctx, storer.Prefix+path); err == nil {
		expect = o.Version
	}
	v, err := storer.Apply(ctx, b.store, path, storer.Envelope{ID: storer.NewID(), Author: "test", Doc: doc}, expect)
	if err != nil {
		b.t.Fatalf("apply %s: %v", path, err)
	}
	return v
}

// statusOf requests the status of an entry.
func statusOf(ops string) (reporter.Status, error) {
	var s reporter.Status
	_, body, err := fasthttp.GetTimeout(nil, "http://"+ops+"/status", time.Second)
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(body, &s)
}

// eventually waits until condition is true and returns how long that took.
func eventually(t *testing.T, description string, within time.Duration, condition func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > within {
			t.Fatalf("%s: got: not within %v", description, within)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}

// versionAt returns the version of a path in force at an entry, 0 if there is none
// or the entry does not respond.
func versionAt(ops, path string) uint64 {
	s, err := statusOf(ops)
	if err != nil {
		return 0
	}
	for _, p := range s.Settings {
		if p.Path == path {
			return p.Version
		}
	}
	return 0
}

// seesLive reports whether an entry's status lists the other as live and not
// draining.
func seesLive(ops, other string) bool {
	s, err := statusOf(ops)
	if err != nil {
		return false
	}
	return slices.ContainsFunc(s.Members, func(m memberStatus) bool { return m.Member.Name == other && m.Live && !m.Draining })
}
