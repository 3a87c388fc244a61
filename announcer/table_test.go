package announcer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "poplarwind/internal/seeder"
	"poplarwind/keeper"
)

const (
	testBeat    = 500 * time.Millisecond
	testSilence = 3 * time.Second
)

// crowd is a set of tables that exchange news, some of which can't.
type crowd struct {
	now    time.Time
	random *rand.Rand
	tables []*Table
	// dead and paused entries neither speak nor answer.
	dead, paused []bool
	// cut[i][j] loses what i sends to j.
	cut [][]bool
	// loss is the part of exchanges that is lost.
	loss float64
}

func name(i int) string { return fmt.Sprintf("e%02d", i) }

func newCrowd(n int, seed uint64) *crowd {
	c := &crowd{now: time.Unix(1e6, 0), random: rand.New(rand.NewPCG(seed, 2)), dead: make([]bool, n), paused: make([]bool, n)}
	var list []keeper.Instance
	for i := range n {
		list = append(list, keeper.Instance{Name: name(i), Peers: "127.0.0.1:1"})
	}
	for i := range n {
		t := NewTable(c.now, Member{Name: name(i), Epoch: 1}, testSilence)
		t.Seed(c.now, list)
		c.tables = append(c.tables, t)
		c.cut = append(c.cut, make([]bool, n))
	}
	return c
}

// beat passes one heartbeat's time: each entry speaks to a few others.
func (c *crowd) beat() {
	c.now = c.now.Add(testBeat)
	for i, t := range c.tables {
		if c.dead[i] || c.paused[i] {
			continue
		}
		t.Tick(c.now)
		for range fanout {
			j := c.random.IntN(len(c.tables))
			if j == i || c.dead[j] || c.paused[j] || c.cut[i][j] || c.random.Float64() < c.loss {
				continue
			}
			self, _ := t.Self()
			c.tables[j].Introduce(c.now, true, self)
			c.tables[j].Merge(c.now, t.News(c.now))
			if !c.cut[j][i] {
				t.Merge(c.now, c.tables[j].News(c.now))
			}
		}
	}
}

func (c *crowd) beats(d time.Duration) {
	for range int(d / testBeat) {
		c.beat()
	}
}

// wrong returns a view that is not the set of entries up, or "".
func (c *crowd) wrong() string {
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

// TestMembership draws deaths, pauses, cuts one way and both, and lost
// messages. Once these end, and within seconds of a death, all views agree
// with who is up.
func TestMembership(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 19).Draw(t, "entries")
		c := newCrowd(n, rapid.Uint64().Draw(t, "seed"))
		c.beats(10 * time.Second)
		for range rapid.IntRange(1, 6).Draw(t, "faults") {
			i := rapid.IntRange(0, n-1).Draw(t, "entry")
			j := rapid.IntRange(0, n-1).Draw(t, "other")
			switch rapid.SampledFrom([]string{"die", "pause", "cut", "part", "loss"}).Draw(t, "fault") {
			case "die":
				c.dead[i] = true
			case "pause":
				c.paused[i] = true
			case "cut":
				c.cut[i][j] = true
			case "part":
				for k := range n {
					for l := range n {
						c.cut[k][l] = c.cut[k][l] || (k <= i) != (l <= i)
					}
				}
			case "loss":
				c.loss = 0.3
			}
			c.beats(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
		}
		c.loss = 0
		for k := range n {
			c.paused[k] = false
			clear(c.cut[k])
		}
		c.beats(10 * time.Second)
		if w := c.wrong(); w != "" {
			t.Fatal(w)
		}
	})
}

// TestNoFalseDeath runs whole crowds for ten minutes with a twentieth of the
// messages lost: nobody is taken for dead.
func TestNoFalseDeath(t *testing.T) {
	for _, n := range []int{3, 19, 60} {
		c := newCrowd(n, 1)
		c.loss = 0.05
		c.beats(10 * time.Second)
		for range 1200 {
			c.beat()
			if w := c.wrong(); w != "" {
				t.Fatalf("%d entries: %s", n, w)
			}
		}
	}
}

// TestDeathIsNoticed measures in heartbeats how long the dead stay in
// answers. The bound is "within seconds": ten.
func TestDeathIsNoticed(t *testing.T) {
	c := newCrowd(19, 3)
	c.beats(10 * time.Second)
	c.dead[4] = true
	start := c.now
	for c.wrong() != "" {
		c.beat()
		if c.now.Sub(start) > 10*time.Second {
			t.Fatalf("a dead entry: got: live after %v want: not", c.now.Sub(start))
		}
	}
}

// TestReplacedUnderOneName restarts an entry under its name with a clock that
// went back: its news counts again.
func TestReplacedUnderOneName(t *testing.T) {
	c := newCrowd(5, 4)
	c.beats(10 * time.Second)
	c.dead[2] = true
	c.beats(time.Second)
	c.dead[2] = false
	c.tables[2] = NewTable(c.now, Member{Name: name(2), Epoch: -5}, testSilence)
	c.tables[2].Seed(c.now, []keeper.Instance{{Name: name(0), Peers: "127.0.0.1:1"}})
	c.beats(10 * time.Second)
	if w := c.wrong(); w != "" {
		t.Error(w)
	}
}

func FuzzHello(f *testing.F) {
	f.Add([]byte(`{"from":{"name":"a","epoch":1},"news":[{"n":"a","e":1,"b":2}]}`))
	f.Add([]byte(`{"from":{"name":""},"news":[{"n":""}]}`))
	f.Add([]byte(`{"news":null,"want":["x"],"intro":[{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		h, err := ParseHello(data)
		if err != nil {
			return
		}
		now := time.Unix(1e6, 0)
		table := NewTable(now, Member{Name: "self", Epoch: 1}, testSilence)
		table.Introduce(now, true, h.From)
		table.Introduce(now, false, h.Intro...)
		table.Merge(now, h.News)
		table.Tick(now.Add(time.Second))
		if _, b := table.Self(); b.Beat == 0 || b.Leaving {
			t.Fatalf("self: got: %+v want: beating and not leaving", b)
		}
	})
}

// TestPauseIsOwn pauses an entry for longer than the silence: on waking it
// takes nobody for dead, though it first hears from others and then ticks.
func TestPauseIsOwn(t *testing.T) {
	c := newCrowd(6, 5)
	c.beats(10 * time.Second)
	c.paused[1] = true
	c.beats(4 * testSilence)
	c.paused[1] = false
	c.tables[1].Merge(c.now, c.tables[0].News(c.now)[:1])
	c.tables[1].Tick(c.now)
	if got := len(c.tables[1].Live(c.now)); got != 6 {
		t.Errorf("live on waking: got: %d want: 6", got)
	}
	c.dead[0] = true
	c.beats(10 * time.Second)
	if w := c.wrong(); w != "" {
		t.Error(w)
	}
}
