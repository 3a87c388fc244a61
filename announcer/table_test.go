package announcer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	_ "poplarwind/internal/seeder"
	"poplarwind/storer"
)

const (
	testInterval = 500 * time.Millisecond
	testTimeout  = 3 * time.Second
)

// cluster simulates entries that exchange tables, with faults.
type cluster struct {
	now    time.Time
	random *rand.Rand
	tables []*Table
	// dead and paused mark entries that neither send nor respond.
	dead, paused []bool
	// blocked[i][j] is set if messages from i to j are dropped.
	blocked [][]bool
	// loss is the probability that an exchange is lost.
	loss float64
}

func name(i int) string { return fmt.Sprintf("e%02d", i) }

func newCluster(n int, seed uint64) *cluster {
	c := &cluster{now: time.Unix(1e6, 0), random: rand.New(rand.NewPCG(seed, 2)), dead: make([]bool, n), paused: make([]bool, n)}
	var list []storer.Instance
	for i := range n {
		list = append(list, storer.Instance{Name: name(i), Peers: "127.0.0.1:1"})
	}
	for i := range n {
		t := NewTable(c.now, Member{Name: name(i), Epoch: 1}, testTimeout)
		t.Seed(c.now, list)
		c.tables = append(c.tables, t)
		c.blocked = append(c.blocked, make([]bool, n))
	}
	return c
}

// step advances the time by one heartbeat interval, in which each entry
// exchanges tables with a few others.
func (c *cluster) step() {
	c.now = c.now.Add(testInterval)
	for i, t := range c.tables {
		if c.dead[i] || c.paused[i] {
			continue
		}
		t.Tick(c.now)
		for range fanout {
			j := c.random.IntN(len(c.tables))
			if j == i || c.dead[j] || c.paused[j] || c.blocked[i][j] || c.random.Float64() < c.loss {
				continue
			}
			self, _ := t.Self()
			c.tables[j].MergeDescriptions(c.now, true, self)
			c.tables[j].MergeHeartbeats(c.now, t.Heartbeats(nil, c.now, recentHeartbeats*testInterval))
			if !c.blocked[j][i] {
				reply := c.tables[j].Heartbeats(nil, c.now, recentHeartbeats*testInterval)
				if latest, ok := c.tables[j].Heartbeat(IDOf(name(i))); ok {
					reply = append(reply, latest)
				}
				t.MergeHeartbeats(c.now, reply)
			}
		}
	}
}

func (c *cluster) run(d time.Duration) {
	for range int(d / testInterval) {
		c.step()
	}
}

// mismatch describes a membership view that differs from the set of running
// entries. It returns "" if there is none.
func (c *cluster) mismatch() string {
	for i, t := range c.tables {
		if c.dead[i] || c.paused[i] {
			continue
		}
		live := make(map[string]bool)
		for _, m := range t.Live(c.now) {
			live[m.Name] = true
		}
		for j := range c.tables {
			if up := !c.dead[j] && !c.paused[j]; live[name(j)] != up {
				return fmt.Sprintf("%s has %s live: got: %v want: %v", name(i), name(j), live[name(j)], up)
			}
		}
	}
	return ""
}

// TestMembershipConverges injects crashes, pauses, one-way and two-way network
// partitions and message loss. After pauses, partitions and loss have ended, all
// views must match the set of running entries within 10 s.
func TestMembershipConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 19).Draw(t, "entries")
		c := newCluster(n, rapid.Uint64().Draw(t, "seed"))
		c.run(10 * time.Second)
		for range rapid.IntRange(1, 6).Draw(t, "faults") {
			i := rapid.IntRange(0, n-1).Draw(t, "entry")
			j := rapid.IntRange(0, n-1).Draw(t, "other")
			switch rapid.SampledFrom([]string{"crash", "pause", "block", "partition", "loss"}).Draw(t, "fault") {
			case "crash":
				c.dead[i] = true
			case "pause":
				c.paused[i] = true
			case "block":
				c.blocked[i][j] = true
			case "partition":
				for k := range n {
					for l := range n {
						c.blocked[k][l] = c.blocked[k][l] || (k <= i) != (l <= i)
					}
				}
			case "loss":
				c.loss = 0.3
			}
			c.run(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
		}
		c.loss = 0
		for k := range n {
			c.paused[k] = false
			clear(c.blocked[k])
		}
		c.run(10 * time.Second)
		if w := c.mismatch(); w != "" {
			t.Fatal(w)
		}
	})
}

// TestNoFalsePositives runs clusters for 10 minutes at a message loss of 1/20
// and checks after each heartbeat interval that no entry is considered dead.
func TestNoFalsePositives(t *testing.T) {
	for _, n := range []int{3, 19, 60} {
		c := newCluster(n, 1)
		c.loss = 0.05
		c.run(10 * time.Second)
		for range 1200 {
			c.step()
			if w := c.mismatch(); w != "" {
				t.Fatalf("%d entries: %s", n, w)
			}
		}
	}
}

// TestCrashDetectionTime checks that the other entries detect a crash within
// 10 s, the bound set for detection "within seconds".
func TestCrashDetectionTime(t *testing.T) {
	c := newCluster(19, 3)
	c.run(10 * time.Second)
	c.dead[4] = true
	start := c.now
	for c.mismatch() != "" {
		c.step()
		if c.now.Sub(start) > 10*time.Second {
			t.Fatalf("crashed entry: got: live after %v want: not live", c.now.Sub(start))
		}
	}
}

// TestRestartWithLowerEpoch restarts an entry under the same name with a lower
// epoch, as after its clock was set back. Peers must accept its heartbeats
// again.
func TestRestartWithLowerEpoch(t *testing.T) {
	c := newCluster(5, 4)
	c.run(10 * time.Second)
	c.dead[2] = true
	c.run(time.Second)
	c.dead[2] = false
	c.tables[2] = NewTable(c.now, Member{Name: name(2), Epoch: -5}, testTimeout)
	c.tables[2].Seed(c.now, []storer.Instance{{Name: name(0), Peers: "127.0.0.1:1"}})
	c.run(10 * time.Second)
	if w := c.mismatch(); w != "" {
		t.Error(w)
	}
}

func FuzzHello(f *testing.F) {
	f.Add(appendHeartbeat([]byte(`{"from":{"name":"a","epoch":1}}`+"\n"), Heartbeat{ID: IDOf("self"), Epoch: 2, Sequence: 3, Ready: true, Load: 70000}))
	f.Add([]byte(`{"from":{"name":"a","epoch":1}}` + "\nAAAA"))
	f.Add([]byte(`{"from":{"name":"a"}}`))
	f.Add([]byte(`{"want":["x"],"intro":[{}]}`))
	f.Add([]byte(`{"from":{"name":"a"},"want":[18446744073709551615],"intro":[{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		h, err := ParseHello(data)
		if err != nil {
			return
		}
		now := time.Unix(1e6, 0)
		table := NewTable(now, Member{Name: "self", Epoch: 1}, testTimeout)
		table.MergeDescriptions(now, true, h.From)
		table.MergeDescriptions(now, false, h.Descriptions...)
		table.MergeHeartbeats(now, h.Heartbeats)
		table.Tick(now.Add(time.Second))
		if _, h := table.Self(); h.Sequence == 0 || h.Draining {
			t.Fatalf("self: got: %+v want: heartbeats sent and not draining", h)
		}
	})
}

// TestResumeAfterPause pauses an entry for longer than the heartbeat timeout. On
// resuming it must not consider other entries dead, even if it receives
// heartbeats before its next tick.
func TestResumeAfterPause(t *testing.T) {
	c := newCluster(6, 5)
	c.run(10 * time.Second)
	c.paused[1] = true
	c.run(4 * testTimeout)
	c.paused[1] = false
	c.tables[1].MergeHeartbeats(c.now, c.tables[0].Heartbeats(nil, c.now, 0)[:1])
	c.tables[1].Tick(c.now)
	if got := len(c.tables[1].Live(c.now)); got != 6 {
		t.Errorf("live entries on resuming: got: %d want: 6", got)
	}
	c.dead[0] = true
	c.run(10 * time.Second)
	if w := c.mismatch(); w != "" {
		t.Error(w)
	}
}

// TestHeartbeatEncoding encodes heartbeats and decodes them again. A load beyond
// the range of its field is limited to it.
func TestHeartbeatEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var want []Heartbeat
		var data []byte
		for range rapid.IntRange(0, 5).Draw(t, "rows") {
			h := Heartbeat{
				ID: ID(rapid.Uint64Range(0, 1<<idBits-1).Draw(t, "id")), Epoch: rapid.Int64().Draw(t, "epoch"), Sequence: rapid.Uint32().Draw(t, "sequence"),
				Draining: rapid.Bool().Draw(t, "draining"), Ready: rapid.Bool().Draw(t, "ready"), Load: float64(rapid.IntRange(-5, 70000).Draw(t, "load")),
			}
			data = appendHeartbeat(data, h)
			h.Load = min(max(h.Load, 0), 65535)
			want = append(want, h)
		}
		got, err := decodeHeartbeats(data)
		if err != nil || len(got) != len(want) || !slices.Equal(got, want) {
			t.Errorf("got: %v, %v want: %v", got, err, want)
		}
	})
	for _, n := range []int{1, heartbeatSize - 1, heartbeatSize + 1, (maxHeartbeats + 1) * heartbeatSize} {
		if _, err := decodeHeartbeats(make([]byte, n)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%d bytes: got: %v want: %v", n, err, ErrMalformed)
		}
	}
}

// TestExchangeSize bounds the heartbeats that an entry of 312 sends, where those of
// its own failure domain are recent and half of the others, to the bandwidth that
// control may use: 28 KB a second in four exchanges.
func TestExchangeSize(t *testing.T) {
	f := fleet(312)
	now := time.Now()
	for i, r := range f[0].table.order {
		if r.member.Domain != f[0].table.self.member.Domain && i%2 == 0 {
			r.lastHeartbeat = now.Add(-1200 * time.Millisecond)
		}
	}
	f[0].heartbeats = startupHeartbeats + 1
	if got := 4 * exchange(t, f[0], f[5]); got > 28_000 {
		t.Errorf("got: %d bytes a second want: at most 28000", got)
	}
}
