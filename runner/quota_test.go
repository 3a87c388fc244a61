package runner

import (
	"bytes"
	"fmt"
	"log/slog"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"poplarwind/announcer"
	"poplarwind/apportioner"
	"poplarwind/router"
)

// TestIsolationLogged guards against an entry that changes its portions without a log line, and against
// one line for each check of them.
func TestIsolationLogged(t *testing.T) {
	g := newIdleGateway(t)
	var log bytes.Buffer
	g.log = slog.New(slog.NewTextHandler(&log, nil))
	for _, v := range []struct {
		few  bool
		want string
	}{{false, ""}, {true, "quota portions reduced"}, {true, ""}, {false, "quota portions restored"}, {false, ""}} {
		log.Reset()
		g.quotas.table.SetMembership(time.Now(), apportioner.Membership{Few: v.few})
		g.logIsolation(2, 2)
		if got := log.String(); (got == "") != (v.want == "") || !strings.Contains(got, v.want) {
			t.Errorf("few: %v: got: %q want: %q", v.few, got, v.want)
		}
	}
}

// TestQuotasOfConfigurationInForce has a task apply a configuration while another one applies an older,
// large one. It guards against the quotas of the older one beside the keys of the one in force.
func TestQuotasOfConfigurationInForce(t *testing.T) {
	g := newIdleGateway(t)
	old := &router.Spec{Version: 1, Customers: []router.Customer{{Name: "acme", Rate: 1, Burst: 5}}}
	for i := range 50000 {
		old.Customers = append(old.Customers, router.Customer{Name: fmt.Sprint("c", i), Rate: 1})
	}
	var wg sync.WaitGroup
	wg.Go(func() { g.applySpec(old, 1) })
	for g.forwarder.Table() == nil {
		runtime.Gosched()
	}
	g.applySpec(&router.Spec{Version: 2, Customers: []router.Customer{{Name: "acme", Rate: 2, Burst: 5}}}, 2)
	wg.Wait()
	g.quotas.table.Admit(time.Now(), "acme")
	if got := g.quotas.table.Status(time.Now()); g.forwarder.Table().Version() != 2 || len(got) != 1 || got[0].Rate != 2 {
		t.Errorf("got: version %d, %+v want: version 2 with its rate", g.forwarder.Table().Version(), got)
	}
}

// TestFewEntries guards against an entry that takes a part of the others for all of them just after it
// was cut off, and against one that stays reduced after entries were removed for good.
func TestFewEntries(t *testing.T) {
	q, now := newQuotaExchange(apportioner.New(time.Now(), "e1", 1, 0)), time.Now()
	for _, v := range []struct {
		after time.Duration
		live  int
		want  bool
	}{{0, 3, false}, {time.Second, 9, false}, {time.Second, 5, false}, {time.Second, 4, true}, {peakTime - 3*time.Second, 4, true}, {2 * time.Second, 4, false}, {time.Second, 9, false}} {
		now = now.Add(v.after)
		if got := q.few(now, v.live); got != v.want {
			t.Errorf("%d live entries: got: %v want: %v", v.live, got, v.want)
		}
	}
}

// TestDueExchanges guards against two messages for each pair of entries and interval, against an entry
// that waits for ever for one that does not report, and against names that are kept.
func TestDueExchanges(t *testing.T) {
	q, now := newQuotaExchange(apportioner.New(time.Now(), "e5", 1, 0)), time.Now()
	others := []announcer.Member{{Name: "e1"}, {Name: "e9"}}
	if got := q.due(now, "e5", others, quotaInterval); len(got) != 2 {
		t.Errorf("at the start: got: %d want: 2", len(got))
	}
	now = now.Add(quotaInterval)
	if got := q.due(now, "e5", others, quotaInterval); len(got) != 1 || got[0].Name != "e9" {
		t.Errorf("after the interval: got: %v want: the entry with the higher name", got)
	}
	now = now.Add(quotaInterval / 2)
	if got := q.due(now, "e5", others, quotaInterval); len(got) != 1 || got[0].Name != "e1" {
		t.Errorf("without a report: got: %v want: the entry with the lower name", got)
	}
	q.due(now.Add(2*peakTime), "e5", nil, quotaInterval)
	if n := len(q.exchangedAt); n != 0 {
		t.Errorf("got: %d names of entries that are gone want: 0", n)
	}
}

// TestMalformedQuotas has another entry send reports that can't be used: they must have no effect, and the
// sender must learn it.
func TestMalformedQuotas(t *testing.T) {
	g := newIdleGateway(t)
	g.quotas.configure(time.Now(), &router.Spec{Customers: []router.Customer{{Name: "acme", Rate: 5, Burst: 5}, {Name: "free"}}})
	if !g.quotas.active() {
		t.Error("got: no quotas want: one")
	}
	for _, text := range []string{"", "x", "[]", `{}`, `{"from":""}`, `{"from":"e2","counts":[{"customer":"acme","demand":-1}]}`, `{"from":"e2","counts":[{"customer":"acme","admitted":-1}]}`, `{"from":"e2","counts":[{"customer":"acme","level":1e300}]}`} {
		if _, err := g.servePeer(t.Context(), pathQuotas, []byte(text)); err == nil {
			t.Errorf("%q: got: no error want: one", text)
		}
	}
	if got := g.quotas.table.Status(time.Now()); len(got) != 0 {
		t.Errorf("got: %+v want: no customer", got)
	}
	reply, err := g.servePeer(t.Context(), pathQuotas, []byte(`{"from":"e2","epoch":1,"counts":[{"customer":"acme","admitted":1,"demand":2,"level":3},{"customer":"gone"},{"customer":"free"}]}`))
	if m, ok := reply.(apportioner.Message); err != nil || !ok || m.From != "e1" {
		t.Errorf("got: %+v, %v want: the report of this entry", reply, err)
	}
	if got := g.quotas.table.Status(time.Now()); len(got) != 1 || got[0].Customer != "acme" {
		t.Errorf("got: %+v want: the customer that has a quota", got)
	}
	g.quotas.configure(time.Now(), &router.Spec{})
	if g.quotas.active() {
		t.Error("got: quotas without customers want: none")
	}
}
