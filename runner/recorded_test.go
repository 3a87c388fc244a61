package runner

import (
	"context"
	"encoding/json"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"poplarwind/announcer"
	"poplarwind/parser"
	"poplarwind/tracker"
)

// recordedMessages is where scripts/record.sh writes the messages of earlier builds.
const recordedMessages = "testdata/messages"

// newIdleGateway returns a gateway that does not run.
func newIdleGateway(t testing.TB) *Gateway {
	t.Helper()
	settings := `{"name":"e1","domain":"a","callers":"127.0.0.1:0","peers":"127.0.0.1:0","ops":"127.0.0.1:0","platform":"127.0.0.1:1","secret":"secret-of-the-tests",
		"gateway":{"resolve":"127.0.0.1:0","ready":"127.0.0.1:0","grace":"1s","probes":60}}`
	p, err := parser.ParseProcess("test", []byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	return newIdleGatewayOf(t, p)
}

// newIdleGatewayOf returns a gateway of the settings that does not run.
func newIdleGatewayOf(t testing.TB, p *parser.Process) *Gateway {
	t.Helper()
	g, err := NewGateway(p, slog.New(slog.DiscardHandler), func() int64 { return 0 })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = g.callersListener.Close()
		for _, l := range g.listeners {
			_ = l.Close()
		}
	})
	return g
}

// applyReply applies a recorded reply to a query for a replica, and returns the number of its objects
// that can be used.
func applyReply(t *testing.T, g *Gateway, text []byte) int {
	t.Helper()
	var r tracker.Reply
	if err := json.Unmarshal(text, &r); err != nil {
		t.Fatal(err)
	}
	if _, err := g.state.Apply(time.Now().Add(-r.Position.Age), r.Delta); err != nil || r.Delta.AsOf == 0 {
		t.Errorf("got: %v, as of %d want: applied", err, r.Delta.AsOf)
	}
	usable := 0
	for _, c := range g.state.All(r.Delta.Kind) {
		if c.Config != nil && c.Config.Version > 1 && len(c.Config.Routes) > 2 || c.Upstream != nil && c.Upstream.Slots == 60 {
			usable++
		}
	}
	return usable
}

// TestMessagesOfEarlierBuilds reads each message that the entries of earlier landings have sent.
func TestMessagesOfEarlierBuilds(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(recordedMessages, "*", "*"))
	if err != nil || len(files) == 0 {
		t.Fatalf("got: %d messages, %v want: some", len(files), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(filepath.Dir(file))+"/"+filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			g := newIdleGateway(t)
			switch name := filepath.Base(file); name {
			case "hello":
				if h, err := announcer.ParseHello(text); err != nil || h.From.Level > announcer.Level || len(h.Heartbeats) == 0 {
					t.Errorf("got: %+v, %v want: a sender and heartbeats", h, err)
				}
			case "reply-config":
				if got := applyReply(t, g, text); got != 1 {
					t.Errorf("got: %d configurations want: 1", got)
				}
			case "reply-upstreams":
				if got := applyReply(t, g, text); got != 4 {
					t.Errorf("got: %d upstreams want: 4", got)
				}
			case "news", "state", "limits", "leaving", "crashes", "reach":
				if _, err := g.servePeer(t.Context(), "/peer/"+name, text); err != nil {
					t.Errorf("got: %v want: understood", err)
				}
			default:
				t.Errorf("got: message %s want: one that this test reads", name)
			}
		})
	}
}

// FuzzPeerMessage serves arbitrary messages: none may end the process.
func FuzzPeerMessage(f *testing.F) {
	files, err := filepath.Glob(filepath.Join(recordedMessages, "*", "*"))
	if err != nil {
		f.Fatal(err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(filepath.Base(file), text)
	}
	f.Add("state", []byte(`{"kind":-1,"after":18446744073709551615}`))
	g := newIdleGateway(f)
	f.Fuzz(func(_ *testing.T, name string, text []byte) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		_, _ = announcer.ParseHello(text)
		_, _ = g.servePeer(ctx, "/peer/"+name, text)
		var r tracker.Reply
		if json.Unmarshal(text, &r) == nil {
			_, _ = g.state.Apply(time.Now(), r.Delta)
		}
		g.applyConfig()
		g.applyUpstreams()
	})
}
