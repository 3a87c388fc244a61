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
	"poplarwind/keeper"
	"poplarwind/parser"
	"poplarwind/reporter"
)

const (
	roleVariable = "POPLARWIND_TEST_ROLE"
	hostVariable = "POPLARWIND_TEST_HOST"
	secret       = "a-secret-for-tests"
	// everywhere is the users' bound on a change coming into force.
	everywhere = 10 * time.Second
	// settle bounds waits for states that come within a few heartbeats.
	settle = 20 * time.Second
)

// testHost is this process's own loopback address. Entries and servers that
// stop give their ports back; were they shared with other runs of the tests,
// callers and peers could meet those of another run there.
var testHost = loopback(os.Getpid())

// loopback returns the loopback address of a process.
func loopback(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>16&0x7f, pid>>8&0xff, pid&0xff)
}

// TestMain lets the test's program play the daemon and the server, so that
// tests can kill and pause real processes.
func TestMain(m *testing.M) {
	switch os.Getenv(roleVariable) {
	case "entry":
		os.Exit(playEntry(os.Args[1]))
	case "server":
		os.Exit(playServer())
	}
	os.Exit(m.Run())
}

func playEntry(settings string) int {
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

func playServer() int {
	l, err := net.Listen("tcp", os.Getenv(hostVariable)+":0")
	if err != nil {
		panic(err)
	}
	_ = json.NewEncoder(os.Stdout).Encode(started{Callers: l.Addr().String()})
	w, err := os.OpenFile(os.Args[1], os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	s := &faker.Server{Slots: 3, Work: 3 * time.Millisecond, Ledger: w}
	_ = s.Serve(l)
	return 0
}

// started is the part that tests read of the first line of a process's log.
type started struct {
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
	Ops     string `json:"ops"`
}

// process is a daemon or server that runs as a process of its own.
type process struct {
	cmd  *exec.Cmd
	name string
	started
	done chan error
}

func startProcess(t *testing.T, role, name, arg string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(os.Args[0], arg), name: name, done: make(chan error, 1)}
	p.cmd.Env = append(os.Environ(), roleVariable+"="+role, hostVariable+"="+testHost)
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
	if err := json.Unmarshal(first, &p.started); err != nil {
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

// bed is a platform with entries and servers around it, for one test.
type bed struct {
	t        *testing.T
	platform *faker.Platform
	addr     string
	store    *keeper.Client

	mu      sync.Mutex
	entries map[string]*inside
}

// inside is an entry that runs within the test's process.
type inside struct {
	started
	runner *Runner
	stop   context.CancelFunc
	done   chan error
}

func newBed(t *testing.T) *bed {
	t.Helper()
	l, err := net.Listen("tcp", testHost+":0")
	if err != nil {
		t.Fatal(err)
	}
	b := &bed{t: t, platform: &faker.Platform{}, addr: l.Addr().String(), entries: make(map[string]*inside)}
	b.store = keeper.NewClient(b.addr, time.Second)
	go func() { _ = b.platform.Serve(l) }()
	t.Cleanup(func() { _ = b.platform.Close() })
	return b
}

// entry starts an entry within the test's process.
func (b *bed) entry(name, domain string) *inside {
	b.t.Helper()
	return b.entryWith(name, entrySettings(name, domain, b.addr))
}

// entryWith starts an entry with settings of its own.
func (b *bed) entryWith(name, settings string) *inside {
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
	e := &inside{runner: r, started: started{self.Callers, self.Peers, self.Ops}, stop: cancel, done: make(chan error, 1)}
	go func() { e.done <- r.Run(ctx) }()
	b.enlist(name, p.Domain(), e.started)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries[name] = e
	return e
}

func (b *bed) enlist(name, domain string, s started) {
	b.platform.Enlist(keeper.Instance{Name: name, Domain: domain, Addr: s.Callers, Peers: s.Peers, Ops: s.Ops})
}

// retire stops an entry in order and waits until it has.
func (b *bed) retire(name string) {
	b.mu.Lock()
	e := b.entries[name]
	delete(b.entries, name)
	b.mu.Unlock()
	e.stop()
	if err := <-e.done; err != nil {
		b.t.Errorf("%s: got: %v want: a clean stop", name, err)
	}
	b.platform.Delist(name)
}

func (b *bed) close() {
	for _, n := range b.names() {
		b.mu.Lock()
		e := b.entries[n]
		b.mu.Unlock()
		e.stop()
	}
}

func (b *bed) names() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for n := range b.entries {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// apply puts a document in force, whatever version is there.
func (b *bed) apply(path, doc string) uint64 {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), settle)
	defer cancel()
	var expect uint64
	if o, err := b.store.Get(ctx, keeper.Prefix+path); err == nil {
		expect = o.Version
	}
	v, err := keeper.Apply(ctx, b.store, path, keeper.Envelope{ID: keeper.NewID(), By: "test", Doc: doc}, expect)
	if err != nil {
		b.t.Fatalf("apply %s: %v", path, err)
	}
	return v
}

// statusOf asks an entry for its status.
func statusOf(ops string) (reporter.Status, error) {
	var s reporter.Status
	_, body, err := fasthttp.GetTimeout(nil, "http://"+ops+"/status", time.Second)
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(body, &s)
}

// eventually waits until f is true.
func eventually(t *testing.T, what string, within time.Duration, f func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !f() {
		if time.Since(start) > within {
			t.Fatalf("%s: got: not within %v", what, within)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}

// versionAt returns the version of a path in force at an entry, 0 if none is
// or the entry does not answer.
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

// sees reports whether an entry's status has the other as live.
func sees(ops, other string) bool {
	s, err := statusOf(ops)
	if err != nil {
		return false
	}
	return slices.ContainsFunc(s.Members, func(m memberStatus) bool { return m.Member.Name == other && m.Live && !m.Leaving })
}
