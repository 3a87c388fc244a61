package runner

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"poplarwind/announcer"
	"poplarwind/storer"
)

// unchangedLister returns a list that never changes.
type unchangedLister struct{}

func (unchangedLister) Instances(_ context.Context, tag string) ([]storer.Instance, string, error) {
	if tag == "1" {
		return nil, "", storer.ErrUnchanged
	}
	return []storer.Instance{{Name: "far", Peers: "127.0.0.1:1"}}, "1", nil
}

// TestUnchangedListRestoresPeers isolates an entry for an hour, after which its
// table has dropped its peers. An unchanged instance list must add them again.
func TestUnchangedListRestoresPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := announcer.NewTable(time.Now(), announcer.Member{Name: "self", Epoch: 1}, 10*time.Second)
		ss := &ServerSync{name: "self", lister: unchangedLister{}, table: table, log: slog.New(slog.DiscardHandler)}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- ss.Poll(ctx) }()
		for range 3600 {
			time.Sleep(time.Second)
			table.Tick(time.Now())
		}
		time.Sleep(2 * listPollInterval)
		if got := len(table.Peers(time.Now())); got != 1 {
			t.Errorf("peers after an hour: got: %d want: 1", got)
		}
		cancel()
		<-done
	})
}
