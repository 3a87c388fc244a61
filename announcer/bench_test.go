package announcer

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"poplarwind/watcher"
)

// fleet returns the announcers of n members that know each other, n at most 1024.
func fleet(n int) []*Announcer {
	now := time.Now()
	members := make([]Member, n)
	heartbeats := make([]Heartbeat, n)
	for i := range members {
		name := fmt.Sprintf("edge-bc-west-%c-%d", 'a'+i%5, i/5)
		members[i] = Member{Name: name, Domain: fmt.Sprint("bc-west-", i%5), Region: "bc-west", Callers: fmt.Sprintf("10.%d.0.%d:8381", i%5, i/5), Peers: fmt.Sprintf("10.%d.0.%d:8382", i%5, i/5), Ops: fmt.Sprintf("10.%d.0.%d:9464", i%5, i/5), Epoch: now.UnixNano() + int64(i), Capacity: 48}
		heartbeats[i] = Heartbeat{ID: IDOf(name), Epoch: members[i].Epoch, Sequence: 100, Ready: true, Load: float64(i % 7)}
	}
	out := make([]*Announcer, n)
	for i, m := range members {
		t := NewTable(now, m, 2500*time.Millisecond)
		t.MergeDescriptions(now, false, members...)
		t.MergeHeartbeats(now, heartbeats)
		out[i] = New(t, Options{Secret: []byte("s"), BytesPerSecond: 1 << 30, DomainLocal: true, HeartbeatInterval: 500 * time.Millisecond, Cache: &watcher.Cache{}, Log: slog.New(slog.DiscardHandler)})
	}
	return out
}

// BenchmarkExchange measures one exchange of heartbeats, both sides together,
// by the number of members, all of whose heartbeats are new to the receiver.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{16, 100, 312} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := fleet(n)
			sent := 0
			for b.Loop() {
				f[0].table.Tick(time.Now())
				sent += exchange(b, f[0], f[1])
			}
			b.ReportMetric(float64(sent)/float64(b.N), "B/exchange")
		})
	}
}

// exchange sends the heartbeats of one announcer to another and its reply back, and
// returns the size of both messages in bytes.
func exchange(t testing.TB, from, to *Announcer) int {
	parse := func(body []byte) Hello {
		text, err := Packed(body).Unpack()
		if err != nil {
			t.Fatal(err)
		}
		h, err := ParseHello(text)
		if err != nil {
			t.Fatal(err)
		}
		return h
	}
	encode := func(h Hello) []byte {
		body, err := pack(h)
		if err != nil {
			t.Fatal(err)
		}
		return body
	}
	request := encode(from.newHello(to.table.self.member.Name, nil, false))
	h := parse(request)
	to.applyHello(h)
	reply := encode(to.newHello(h.From.Name, h.Heartbeats, h.Full))
	from.applyHello(parse(reply))
	return len(request) + len(reply)
}
