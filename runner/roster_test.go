package runner

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"poplarwind/announcer"
	"poplarwind/keeper"
)

// steady is a list that never changes.
type steady struct{}

func (steady) Instances(_ context.Context, known string) ([]keeper.Instance, string, error) {
	if known == "1" {
		return nil, "", keeper.ErrUnchanged
	}
	return []keeper.Instance{{Name: "far", Peers: "127.0.0.1:1"}}, "1", nil
}

// TestLongPartingHeals cuts an entry off for an hour, in which it forgets its
// peers: an unchanged list makes them known again.
func TestLongPartingHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := announcer.NewTable(time.Now(), announcer.Member{Name: "self", Epoch: 1}, 10*time.Second)
		r := &Roster{name: "self", lister: steady{}, table: table, log: slog.New(slog.DiscardHandler)}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- r.Follow(ctx) }()
		for range 3600 {
			time.Sleep(time.Second)
			table.Tick(time.Now())
		}
		time.Sleep(2 * listEvery)
		if got := len(table.Peers(time.Now())); got != 1 {
			t.Errorf("peers after an hour: got: %d want: 1", got)
		}
		cancel()
		<-done
	})
}
