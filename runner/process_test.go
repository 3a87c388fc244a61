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
	"poplarwind/keeper"
)

type memberStatus = announcer.Status

const ordersSettings = `{"slots": 3, "deadline": "2s", "routes": [{"match": "/orders", "methods": ["POST"], "class": "urgent", "key": true}],
	"probe": {"path": "/probe", "rate": 10, "bytes": 8192, "stale": "500ms"}}`

// kinds of the load in the tests of whole processes.
func kinds() []faker.LoadKind {
	return []faker.LoadKind{
		{Method: "GET", URI: "/t/s/lookup", Share: 6, Weight: 1, Deadline: 2 * time.Second, Idempotent: true},
		{Method: "POST", URI: "/t/s/orders", Share: 4, Weight: 5, Deadline: 2 * time.Second, Keyed: true},
	}
}

// ledger counts runs by the ledgers in a folder.
func ledger(t *testing.T, folder string) func(string) int {
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

// processServer starts a server as a process and puts it on the list.
func (b *bed) processServer(folder, name string) *process {
	b.t.Helper()
	p := startProcess(b.t, "server", name, filepath.Join(folder, name+".ledger"))
	b.platform.Enlist(keeper.Instance{Name: name, Domain: "a", Addr: p.Callers, Service: "/t/s"})
	return p
}

// processEntry starts an entry as a process and puts it on the list.
func (b *bed) processEntry(name, domain string) *process {
	b.t.Helper()
	p := startProcess(b.t, "entry", name, entrySettings(name, domain, b.addr))
	b.enlist(name, domain, p.started)
	return p
}

func (b *bed) awaitReady(ops ...string) {
	b.t.Helper()
	for _, o := range ops {
		eventually(b.t, "ready", settle, func() bool {
			s, err := statusOf(o)
			return err == nil && s.Ready && len(s.Services) > 0 && len(s.Services[0].Servers) > 0
		})
		for _, other := range ops {
			s, _ := statusOf(other)
			eventually(b.t, o+" sees "+s.Name, settle, func() bool { return sees(o, s.Name) })
		}
	}
}

// TestKillsAndPauses kills and pauses real entries and servers under load and
// judges by the servers' own ledgers.
func TestKillsAndPauses(t *testing.T) {
	folder := t.TempDir()
	b := newBed(t)
	b.apply("/t/s", ordersSettings)
	var servers, entries []*process
	for i := range 5 {
		servers = append(servers, b.processServer(folder, fmt.Sprintf("s%d", i)))
	}
	for i, d := range []string{"a", "b", "c", "a"} {
		entries = append(entries, b.processEntry(fmt.Sprintf("e%d", i), d))
	}
	b.awaitReady(entries[0].Ops, entries[1].Ops, entries[2].Ops, entries[3].Ops)
	caller := &faker.Caller{Entries: []string{entries[0].Callers, entries[1].Callers, entries[2].Callers, entries[3].Callers}, Tries: 4}
	load := faker.Load{Caller: caller, Kinds: kinds(), Rate: 250, For: 9 * time.Second, Seed: 7}
	done := make(chan *faker.LoadReport, 1)
	go func() { done <- load.Run() }()
	for _, step := range []func(){
		func() { entries[0].signal(syscall.SIGSTOP) },
		func() { servers[0].signal(syscall.SIGSTOP) },
		func() { entries[1].signal(syscall.SIGKILL) },
		func() { entries[0].signal(syscall.SIGCONT) },
		func() { servers[1].signal(syscall.SIGKILL) },
		func() { servers[0].signal(syscall.SIGCONT); b.platform.Set(faker.Trouble{Lose: 20}) },
		func() {
			entries[2].signal(syscall.SIGSTOP)
			b.platform.Set(faker.Trouble{Delay: 50 * time.Millisecond})
		},
		func() { entries[2].signal(syscall.SIGCONT) },
	} {
		time.Sleep(900 * time.Millisecond)
		step()
	}
	r := <-done
	time.Sleep(3 * time.Second)
	v := r.Judge(ledger(t, folder))
	if v != (faker.Verdict{}) || r.Bad > 0 {
		t.Errorf("got: %+v, %d bad answers want: none", v, r.Bad)
	}
	t.Logf("calls %d good %d late %d failed %d no %d unknown %d replayed %d", r.Calls, r.Good, r.Late, r.Failed, r.No, r.Unknown, r.Replayed)
	if r.Good == 0 {
		t.Error("no call was answered well")
	}
}

// TestRollingReplacement replaces every entry and every server in an orderly
// way under load. No call may fail or be cut off.
func TestRollingReplacement(t *testing.T) {
	folder := t.TempDir()
	b := newBed(t)
	b.apply("/t/s", ordersSettings)
	servers := make([]*process, 0, 8)
	for i := range 4 {
		servers = append(servers, b.processServer(folder, fmt.Sprintf("s%d", i)))
	}
	var seeds []string
	for i, d := range []string{"a", "b", "c"} {
		e := b.entry(fmt.Sprintf("e%d", i), d)
		seeds = append(seeds, e.Callers)
	}
	b.awaitReady(b.entries["e0"].Ops, b.entries["e1"].Ops, b.entries["e2"].Ops)
	spare := b.entry("e9", "a")
	b.awaitReady(b.entries["e0"].Ops, b.entries["e1"].Ops, b.entries["e2"].Ops, spare.Ops)
	load := faker.Load{Caller: &faker.Caller{Entries: append(seeds, spare.Callers)}, Kinds: kinds(), Rate: 250, For: 12 * time.Second, Seed: 11}
	done := make(chan *faker.LoadReport, 1)
	go func() { done <- load.Run() }()
	for i := range 3 {
		b.retire(fmt.Sprintf("e%d", i))
		e := b.entry(fmt.Sprintf("n%d", i), []string{"a", "b", "c"}[i])
		b.awaitReady(spare.Ops, e.Ops)
	}
	for i := range 4 {
		servers = append(servers, b.processServer(folder, fmt.Sprintf("r%d", i)))
		old := servers[i]
		b.platform.Enlist(keeper.Instance{Name: old.name, Domain: "a", Addr: old.Callers, Service: "/t/s", Leaving: true})
		// Every entry may have calls at the server, not just one of them.
		for _, name := range b.names() {
			ops := b.entries[name].Ops
			eventually(t, name+" drains "+old.name, settle, func() bool { return drained(ops, old.name) })
		}
		b.platform.Delist(old.name)
		time.Sleep(300 * time.Millisecond)
		t.Logf("%s %s at %s is killed", time.Now().Format("05.000"), old.name, old.Callers)
		old.signal(syscall.SIGKILL)
	}
	r := <-done
	v := r.Judge(ledger(t, folder))
	if v != (faker.Verdict{}) || r.Bad+r.Failed > 0 {
		t.Errorf("got: %+v, %d bad, %d failed want: none", v, r.Bad, r.Failed)
	}
	for _, f := range r.Failures {
		t.Log(f)
	}
	t.Logf("calls %d good %d late %d", r.Calls, r.Good, r.Late)
	b.close()
}

// drained reports whether an entry has the server as leaving with no call in
// flight, or gone.
func drained(ops, server string) bool {
	s, err := statusOf(ops)
	if err != nil || len(s.Services) == 0 {
		return false
	}
	for _, v := range s.Services[0].Servers {
		if v.Name == server {
			return v.Leaving && v.Flight == 0
		}
	}
	return true
}
