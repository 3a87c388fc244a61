package runner

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"poplarwind/announcer"
	"poplarwind/internal/faker"
	"poplarwind/storer"
)

type memberStatus = announcer.Status

const ordersSettings = `{"slots": 3, "deadline": "2s", "routes": [{"match": "/orders", "methods": ["POST"], "class": "urgent", "key": true}],
	"probe": {"path": "/probe", "rate": 10, "bytes": 8192, "stale": "500ms"}}`

// loadKinds returns the kinds of calls in the tests of whole processes.
func loadKinds() []faker.CallKind {
	return []faker.CallKind{
		{Method: "GET", URI: "/t/s/lookup", Frequency: 6, Weight: 1, Deadline: 2 * time.Second, Idempotent: true},
		{Method: "POST", URI: "/t/s/orders", Frequency: 4, Weight: 5, Deadline: 2 * time.Second, Keyed: true},
	}
}

// runCounter returns a function that counts the runs of a call in the servers'
// ledgers in a folder.
func runCounter(t *testing.T, folder string) func(string) int {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "*.ledger"))
	if err != nil {
		t.Fatal(err)
	}
	runs := make(map[string]int)
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		for id := range strings.FieldsSeq(string(text)) {
			runs[id]++
		}
	}
	return func(id string) int { return runs[id] }
}

// startServerProcess starts a server in a separate process and lists it.
func (b *testbed) startServerProcess(folder, name string) *process {
	b.t.Helper()
	p := startProcess(b.t, "server", name, filepath.Join(folder, name+".ledger"))
	b.platform.AddInstance(storer.Instance{Name: name, Domain: "a", Addr: p.Callers, Service: "/t/s"})
	return p
}

// startEntryProcess starts an entry in a separate process and lists it.
func (b *testbed) startEntryProcess(name, domain string) *process {
	b.t.Helper()
	p := startProcess(b.t, "entry", name, entrySettings(name, domain, b.addr))
	b.listEntry(name, domain, p.listenAddrs)
	return p
}

func (b *testbed) awaitReady(ops ...string) {
	b.t.Helper()
	for _, addr := range ops {
		eventually(b.t, "ready", settleTimeout, func() bool {
			s, err := statusOf(addr)
			return err == nil && s.Ready && len(s.Services) > 0 && len(s.Services[0].Servers) > 0
		})
		for _, other := range ops {
			s, _ := statusOf(other)
			eventually(b.t, addr+" sees "+s.Name, settleTimeout, func() bool { return seesLive(addr, s.Name) })
		}
	}
}

// TestKillsAndPauses kills and pauses entry and server processes under load and
// compares the callers' results with the servers' ledgers.
func TestKillsAndPauses(t *testing.T) {
	folder := t.TempDir()
	b := newTestbed(t)
	b.applySettings("/t/s", ordersSettings)
	var servers, entries []*process
	for i := range 5 {
		servers = append(servers, b.startServerProcess(folder, fmt.Sprintf("s%d", i)))
	}
	for i, d := range []string{"a", "b", "c", "a"} {
		entries = append(entries, b.startEntryProcess(fmt.Sprintf("e%d", i), d))
	}
	b.awaitReady(entries[0].Ops, entries[1].Ops, entries[2].Ops, entries[3].Ops)
	caller := &faker.Caller{Entries: []string{entries[0].Callers, entries[1].Callers, entries[2].Callers, entries[3].Callers}, MaxAttempts: 4}
	load := faker.Load{Caller: caller, Kinds: loadKinds(), Rate: 250, For: 9 * time.Second, Seed: 7}
	done := make(chan *faker.LoadReport, 1)
	go func() { done <- load.Run() }()
	for _, step := range []func(){
		func() { entries[0].signal(syscall.SIGSTOP) },
		func() { servers[0].signal(syscall.SIGSTOP) },
		func() { entries[1].signal(syscall.SIGKILL) },
		func() { entries[0].signal(syscall.SIGCONT) },
		func() { servers[1].signal(syscall.SIGKILL) },
		func() {
			servers[0].signal(syscall.SIGCONT)
			b.platform.SetFaults(faker.PlatformFaults{LoseResponses: 20})
		},
		func() {
			entries[2].signal(syscall.SIGSTOP)
			b.platform.SetFaults(faker.PlatformFaults{Delay: 50 * time.Millisecond})
		},
		func() { entries[2].signal(syscall.SIGCONT) },
	} {
		time.Sleep(900 * time.Millisecond)
		step()
	}
	r := <-done
	time.Sleep(3 * time.Second)
	v := r.Verify(runCounter(t, folder))
	if v != (faker.Violations{}) || r.Bad > 0 {
		t.Errorf("got: %+v, %d bad responses want: none", v, r.Bad)
	}
	t.Logf("calls %d good %d late %d failed %d no %d unknown %d replayed %d", r.Calls, r.Good, r.Late, r.Failed, r.No, r.Unknown, r.Replayed)
	if r.Good == 0 {
		t.Error("got: no good response want: some")
	}
}

// TestRollingReplacement replaces every entry and every server gracefully under
// load. No call may fail or be cut off.
func TestRollingReplacement(t *testing.T) {
	folder := t.TempDir()
	b := newTestbed(t)
	b.applySettings("/t/s", ordersSettings)
	servers := make([]*process, 0, 8)
	for i := range 4 {
		servers = append(servers, b.startServerProcess(folder, fmt.Sprintf("s%d", i)))
	}
	var seeds []string
	for i, d := range []string{"a", "b", "c"} {
		e := b.startEntry(fmt.Sprintf("e%d", i), d)
		seeds = append(seeds, e.Callers)
	}
	b.awaitReady(b.entries["e0"].Ops, b.entries["e1"].Ops, b.entries["e2"].Ops)
	spare := b.startEntry("e9", "a")
	b.awaitReady(b.entries["e0"].Ops, b.entries["e1"].Ops, b.entries["e2"].Ops, spare.Ops)
	load := faker.Load{Caller: &faker.Caller{Entries: append(seeds, spare.Callers)}, Kinds: loadKinds(), Rate: 250, For: 12 * time.Second, Seed: 11}
	done := make(chan *faker.LoadReport, 1)
	go func() { done <- load.Run() }()
	for i := range 3 {
		b.stopEntry(fmt.Sprintf("e%d", i))
		e := b.startEntry(fmt.Sprintf("n%d", i), []string{"a", "b", "c"}[i])
		b.awaitReady(spare.Ops, e.Ops)
	}
	for i := range 4 {
		servers = append(servers, b.startServerProcess(folder, fmt.Sprintf("r%d", i)))
		old := servers[i]
		b.platform.AddInstance(storer.Instance{Name: old.name, Domain: "a", Addr: old.Callers, Service: "/t/s", Draining: true})
		// Any entry may have calls in flight at the server, so all must drain it.
		for _, name := range b.entryNames() {
			ops := b.entries[name].Ops
			eventually(t, name+" drains "+old.name, settleTimeout, func() bool { return drained(ops, old.name) })
		}
		b.platform.RemoveInstance(old.name)
		time.Sleep(300 * time.Millisecond)
		t.Logf("%s %s at %s is killed", time.Now().Format("05.000"), old.name, old.Callers)
		old.signal(syscall.SIGKILL)
	}
	r := <-done
	v := r.Verify(runCounter(t, folder))
	if v != (faker.Violations{}) || r.Bad+r.Failed > 0 {
		t.Errorf("got: %+v, %d bad, %d failed want: none", v, r.Bad, r.Failed)
	}
	for _, f := range r.Failures {
		t.Log(f)
	}
	t.Logf("calls %d good %d late %d", r.Calls, r.Good, r.Late)
	b.stopEntries()
}

// drained reports whether an entry lists the server as draining with no call in
// flight, or does not list it.
func drained(ops, server string) bool {
	s, err := statusOf(ops)
	if err != nil || len(s.Services) == 0 {
		return false
	}
	for _, v := range s.Services[0].Servers {
		if v.Name == server {
			return v.Draining && v.InFlight == 0
		}
	}
	return true
}
