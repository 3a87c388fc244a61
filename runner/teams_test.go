package runner

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"poplarwind/internal/faker"
	"poplarwind/storer"
)

// startServer starts a server in the test's process and lists it.
func (b *testbed) startServer(name, service string, s *faker.Server) {
	b.t.Helper()
	l, err := net.Listen("tcp", testHost+":0")
	if err != nil {
		b.t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	b.platform.AddInstance(storer.Instance{Name: name, Domain: "a", Addr: l.Addr().String(), Service: service})
}

// TestTeamIsolation freezes one team's server under a flood of its own calls and
// makes its settings invalid. All calls of another team must still be good.
func TestTeamIsolation(t *testing.T) {
	b := newTestbed(t)
	b.applySettings("/noisy/s", `{"slots": 3, "deadline": "3s", "queue": 65536}`)
	b.applySettings("/quiet/s", `{"slots": 3, "deadline": "2s"}`)
	frozen := &faker.Server{Slots: 3}
	frozen.SetBehavior(faker.Behavior{Freeze: true})
	b.startServer("n1", "/noisy/s", frozen)
	for i := range 3 {
		b.startServer(fmt.Sprint("q", i), "/quiet/s", &faker.Server{Slots: 3, Work: 3 * time.Millisecond})
	}
	settings := strings.Replace(entrySettings("e1", "a", b.addr), "{", `{"calls": 200, `, 1)
	e := b.startEntryWith("e1", settings)
	defer b.stopEntries()
	eventually(t, "ready", settleTimeout, func() bool {
		s, err := statusOf(e.Ops)
		return err == nil && len(s.Services) == 2 && len(s.Services[1].Servers) == 3
	})
	flood := faker.Load{
		Caller: &faker.Caller{Entries: []string{e.Callers}, MaxAttempts: 1}, Rate: 400, For: 3 * time.Second, Seed: 1,
		Kinds: []faker.CallKind{{Method: "GET", URI: "/noisy/s/x", Frequency: 1, Deadline: 3 * time.Second, Idempotent: true}},
	}
	steady := faker.Load{
		Caller: &faker.Caller{Entries: []string{e.Callers}}, Rate: 100, For: 3 * time.Second, Seed: 2,
		Kinds: []faker.CallKind{{Method: "GET", URI: "/quiet/s/x", Frequency: 1, Deadline: 2 * time.Second, Idempotent: true}},
	}
	done := make(chan *faker.LoadReport, 1)
	go func() { done <- flood.Run() }()
	b.applySettings("/noisy/s", `{"slots": "broken"}`)
	r := steady.Run()
	flooded := <-done
	if r.Good != r.Calls || r.Calls == 0 {
		t.Errorf("quiet team: got: %d good of %d want: all", r.Good, r.Calls)
	}
	if flooded.Good > 0 || flooded.Calls == 0 {
		t.Errorf("noisy team: got: %d good of %d want: none of some", flooded.Good, flooded.Calls)
	}
	frozen.SetBehavior(faker.Behavior{})
}

// TestProbesStayInBudget starts three entries that cannot reach each other,
// because their secrets differ, while servers fail. Their probes together must
// stay within the service's budget.
func TestProbesStayInBudget(t *testing.T) {
	b := newTestbed(t)
	const rate, span = 4, 5 * time.Second
	b.applySettings("/t/s", fmt.Sprintf(`{"slots": 3, "probe": {"path": "/probe", "rate": %d, "bytes": 65536, "stale": "10ms"}}`, rate))
	servers := make([]*faker.Server, 4)
	for i := range servers {
		servers[i] = &faker.Server{Slots: 3}
		servers[i].SetBehavior(faker.Behavior{Freeze: i == 0, Fail: i == 1})
		b.startServer(fmt.Sprint("s", i), "/t/s", servers[i])
	}
	for i, d := range []string{"a", "b", "c"} {
		settings := entrySettings(fmt.Sprint("e", i), d, b.addr)
		b.startEntryWith(fmt.Sprint("e", i), strings.Replace(settings, secret, secret+d, 1))
	}
	defer b.stopEntries()
	for _, o := range b.opsAddrs() {
		eventually(t, "ready", settleTimeout, func() bool { s, err := statusOf(o); return err == nil && s.Ready })
	}
	probes := func() (n int64) {
		for _, s := range servers {
			n += s.Probes()
		}
		return n
	}
	time.Sleep(time.Second)
	before := probes()
	start := time.Now()
	time.Sleep(span)
	got, limit := float64(probes()-before), rate*time.Since(start).Seconds()+3
	if got > limit {
		t.Errorf("probes: got: %.0f want: at most %.1f", got, limit)
	}
	if got == 0 {
		t.Error("probes: got: none want: some")
	}
}
