package tracker

import (
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"poplarwind/announcer"
)

// TestPositionsOfOtherBuilds exchanges positions with a build that does not know the evacuations, or
// does not replicate them: its messages must be as they were, those of either build must be read by the
// other, and a missing position must not change the replica.
func TestPositionsOfOtherBuilds(t *testing.T) {
	type earlierUpdate struct {
		From      string      `json:"from"`
		Positions [2]Position `json:"marks"`
	}
	u := Update{From: "a", Positions: Positions{Configs: {Era: 1, AsOf: 3, Age: 5}, Upstreams: {Era: 1, AsOf: 4, Age: 6}}}
	without, err := json.Marshal(u)
	if err != nil {
		t.Fatal(err)
	}
	if want := `{"from":"a","marks":[{"era":1,"asof":3,"age":5},{"era":1,"asof":4,"age":6}]}`; string(without) != want {
		t.Errorf("got: %s want: %s", without, want)
	}
	u.Positions[Evacuations] = Position{Era: 1, AsOf: 7, Age: 8}
	with, err := json.Marshal(u)
	if err != nil {
		t.Fatal(err)
	}
	var earlier earlierUpdate
	if err := json.Unmarshal(with, &earlier); err != nil || earlier.Positions[Upstreams].AsOf != 4 {
		t.Errorf("%s: got: %+v, %v want: read by the earlier build", with, earlier, err)
	}
	s := &State{}
	tr := New(s, nil, nil, "b", func() []announcer.Member { return nil }, slog.New(slog.DiscardHandler))
	tr.Replicate(Evacuations, 5*time.Second)
	if _, err := s.Apply(time.Now(), Delta{Kind: Evacuations, Era: 1, AsOf: 9, Snapshot: true, Changes: []Change{{Name: "d", Revision: 9}}}); err != nil {
		t.Fatal(err)
	}
	before := s.Position(time.Now(), Evacuations)
	var received Update
	if err := json.Unmarshal(without, &received); err != nil {
		t.Fatal(err)
	}
	tr.Receive(t.Context(), received)
	if got := s.Position(time.Now(), Evacuations); got.AsOf != before.AsOf || got.Age < before.Age || s.Len(Evacuations) != 1 {
		t.Errorf("got: %+v of %d objects want: %+v, not confirmed", got, s.Len(Evacuations), before)
	}
}

// TestWatchOfEvacuations checks that evacuations are known in time although the entry that watches dies just
// after an update and the first read then fails, and that their watch costs fewer calls than that of
// other kinds.
func TestWatchOfEvacuations(t *testing.T) {
	for _, limit := range []time.Duration{2500 * time.Millisecond, 5 * time.Second, 10 * time.Second, time.Hour} {
		tr := New(&State{}, nil, nil, "a", nil, slog.New(slog.DiscardHandler))
		tr.Replicate(Evacuations, limit)
		wait := tr.watchWaits[Evacuations]
		known := DetectionTime() + wait - watchWait + ResponseTimeout + 2*readBackoff
		if known > limit && limit > 2500*time.Millisecond || wait%watchWait != 0 || tr.staleAge(Configs) != staleAge {
			t.Errorf("%v: got: a wait of %v, known after %v want: known in time", limit, wait, known)
		}
		if limit == 5*time.Second && wait < 3*watchWait {
			t.Errorf("got: a wait of %v want: a third of the calls for other kinds", wait)
		}
	}
}
