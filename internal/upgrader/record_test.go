package upgrader

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"log/slog"
	"net"
	"os"
	"path"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/announcer"
	"poplarwind/storer"
	"poplarwind/tracker"
	"poplarwind/watcher"
)

var recordFolder = flag.String("record", "", "`folder` for the messages of the old program that TestRecordMessages records")

// observer is a member of a fleet that records the messages that it receives.
type observer struct {
	announcer *announcer.Announcer
	table     *announcer.Table

	mu sync.Mutex
	// messages holds the largest message of each name, as JSON text.
	messages map[string][]byte
}

// newObserver returns an observer that listens at an address, and knows some entries.
func newObserver(addr string, entries []*Entry) *observer {
	now := time.Now()
	o := &observer{messages: make(map[string][]byte)}
	o.table = announcer.NewTable(now, announcer.Member{Name: "observer", Domain: domain(0), Callers: addr, Peers: addr, Ops: addr, Epoch: now.UnixNano()}, time.Second)
	// Statements of upstreams are sent to entries that serve requests.
	o.table.SetLoad(true, 0)
	var seeds []string
	for _, e := range entries {
		seeds = append(seeds, e.Peers)
	}
	o.announcer = announcer.New(o.table, announcer.Options{
		Secret: []byte("secret-of-the-tests"), Seeds: seeds, HeartbeatInterval: 200 * time.Millisecond, BytesPerSecond: 1 << 20, Cache: &watcher.Cache{},
		Instances: func() []storer.Instance { return nil }, ApplyInstances: func([]storer.Instance) {}, DomainLocal: true,
		Handler: func(context.Context, string, []byte) (any, error) { return struct{}{}, nil }, Log: slog.New(slog.DiscardHandler),
	})
	return o
}

// record keeps a message if it is the largest of its name.
func (o *observer) record(name string, text []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(text) > len(o.messages[name]) {
		o.messages[name] = bytes.Clone(text)
	}
}

// handle records a message and passes it to the announcer.
func (o *observer) handle(ctx *fasthttp.RequestCtx) {
	body := bytes.Clone(ctx.PostBody())
	if text, err := announcer.Packed(body).Unpack(); err == nil {
		o.record(path.Base(string(ctx.Path())), text)
	}
	ctx.Request.SetBodyStream(bytes.NewReader(body), len(body))
	o.announcer.Handle(ctx)
}

// query records the replies of a live entry to queries for its replicas.
func (o *observer) query(ctx context.Context) error {
	for _, m := range o.table.Live(time.Now()) {
		if m.Name == "observer" {
			continue
		}
		// Builds from before the later kinds answer queries for them with errors.
		for _, k := range []tracker.Kind{tracker.Configs, tracker.Upstreams} {
			var reply json.RawMessage
			if err := o.announcer.Send(ctx, m, tracker.PathState, tracker.Query{Kind: k}, &reply); err != nil {
				return errors.Annotatef(err, "query to %s", m.Name)
			}
			o.record("reply-"+k.String(), reply)
		}
	}
	return nil
}

// TestRecordMessages runs entries of the old program with an observer among them, and writes a file
// with each message that it received, and with the replies to its queries. It is skipped without a
// folder; scripts/record.sh passes one.
func TestRecordMessages(t *testing.T) {
	if *oldProgram == "" || *recordFolder == "" {
		t.Skip("needs a program and a folder; make record passes them")
	}
	u := startUpgrade(t, 1, *oldProgram)
	var o *observer
	ready := make(chan struct{})
	addr, err := u.fleet.serve(func(l net.Listener) {
		o = newObserver(l.Addr().String(), u.fleet.Entries())
		close(ready)
		_ = (&fasthttp.Server{Handler: o.handle}).Serve(l)
	})
	u.must(err)
	<-ready
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- o.announcer.Run(ctx) }()
	load := NewLoad(u.fleet, rate)
	time.Sleep(2 * time.Second)
	u.fleet.Upstreams[0].SetLimit(5)
	u.fleet.Upstreams[1].SetLeaving(true)
	u.configure()
	time.Sleep(3 * time.Second)
	load.Stop()
	u.must(o.query(ctx))
	cancel()
	<-done
	u.must(os.MkdirAll(*recordFolder, 0o755))
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, text := range o.messages {
		t.Logf("%s: %d bytes, observer at %s", name, len(text), addr)
		u.must(os.WriteFile(filepath.Join(*recordFolder, name), text, 0o644))
	}
}
