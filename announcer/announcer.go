package announcer

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"log/slog"
	mathrand "math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"poplarwind/internal/sealer"
	"poplarwind/internal/sleeper"
	"poplarwind/keeper"
	"poplarwind/watcher"
)

const (
	// fanout is how many peers an entry speaks to each beat.
	fanout       = 2
	peerTimeout  = time.Second
	pullEvery    = 500 * time.Millisecond
	headerBytes  = 350
	controlBurst = 4
	pathHello    = "/peer/hello"
	pathPull     = "/peer/pull"
)

// errPeer reports that a peer gave no usable answer.
const errPeer = errors.ConstError("peer gave no usable answer")

// Options set an Announcer. All fields but Seeds must be set.
type Options struct {
	Secret []byte
	// Seeds are peers' addresses to speak to while no peer is known.
	Seeds   []string
	Beat    time.Duration
	Control int
	// Local says that entries speak mostly within their failure domain: the
	// first of each speaks for it to the others, which are dear to reach.
	Local bool
	Book  *watcher.Book
	// Instances returns the platform's list as last seen, and Learn takes in
	// a list that a peer saw.
	Instances func() []keeper.Instance
	Learn     func([]keeper.Instance)
	// Serve answers messages to paths that the announcer does not know, nil
	// for none.
	Serve func(ctx context.Context, path string, body []byte) (any, error)
	Log   *slog.Logger
}

// Announcer exchanges tables and settings with peers.
type Announcer struct {
	options Options
	table   *Table
	client  fasthttp.Client
	// budget pays for the bytes of messages that this entry starts.
	budget *rate.Limiter
	random *mathrand.Rand
	// beats counts heartbeats. Only Run touches it.
	beats int
	// sent, received, skipped and refused count bytes, bytes, exchanges that
	// the budget denied, and messages that were not let in.
	sent, received, skipped, refused atomic.Int64

	mu sync.Mutex
	// owed holds, for each peer, the members that it wants described.
	owed map[string][]string
	// pulled is when settings were last asked of a peer.
	pulled time.Time
}

// New returns an announcer of the table.
func New(t *Table, o Options) *Announcer {
	return &Announcer{
		options: o, table: t, owed: make(map[string][]string),
		budget: rate.NewLimiter(rate.Limit(o.Control/2), controlBurst*o.Control),
		random: mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64())),
		client: fasthttp.Client{
			MaxIdemponentCallAttempts: 1, MaxResponseBodySize: MaxMessage, NoDefaultUserAgentHeader: true,
			MaxIdleConnDuration: time.Minute, ReadTimeout: peerTimeout, WriteTimeout: peerTimeout,
		},
	}
}

// Traffic is the cost of peer messages since the start.
type Traffic struct {
	Sent     int64 `json:"sent"`
	Received int64 `json:"received"`
	Skipped  int64 `json:"skipped"`
	Refused  int64 `json:"refused"`
}

// Traffic returns the cost of peer messages since the start.
func (a *Announcer) Traffic() Traffic {
	return Traffic{a.sent.Load(), a.received.Load(), a.skipped.Load(), a.refused.Load()}
}

// Run sends a heartbeat to a few peers each beat, until ctx ends.
func (a *Announcer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		a.table.Tick(time.Now())
		peers := a.table.Peers(time.Now())
		if len(peers) == 0 {
			for _, s := range a.options.Seeds {
				peers = append(peers, Member{Peers: s})
			}
		}
		for _, p := range a.targets(peers) {
			go a.greet(ctx, p)
		}
		sleeper.Sleep(ctx, a.pause())
	}
	return nil
}

const (
	// quickBeats is how many heartbeats a process begins with that come
	// quickFactor times as often. Where all entries have started at once, a
	// hundred of them then know of each other within a second.
	quickBeats  = 12
	quickFactor = 4
)

// pause returns how long to wait for the next heartbeat.
func (a *Announcer) pause() time.Duration {
	if a.beats <= quickBeats {
		return a.options.Beat / quickFactor
	}
	return a.options.Beat
}

// farShare is how often an entry that does not speak for its failure domain
// speaks to another one all the same, so that domains that lost sight of each
// other's first entries find together again.
const farShare = 1.0 / 64

// farBeats is after how many beats the first entry of a failure domain speaks
// to another one.
const farBeats = 3

// targets returns the peers to speak to at one beat.
func (a *Announcer) targets(peers []Member) []Member {
	a.beats++
	a.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	if !a.options.Local {
		return peers[:min(fanout, len(peers))]
	}
	self, _ := a.table.Self()
	var near, far []Member
	for _, p := range peers {
		if p.Domain == self.Domain {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	out := near[:min(fanout, len(near))]
	turn := a.beats%farBeats == 0 && a.first(self)
	if len(far) > 0 && (turn || len(near) == 0 || a.random.Float64() < farShare) {
		out = append(out, far[0])
	}
	if n := len(a.options.Seeds); n > 0 && a.random.Float64() < farShare {
		out = append(out, Member{Peers: a.options.Seeds[a.random.IntN(n)]})
	}
	return out
}

// first reports whether this entry is the first live one of its failure
// domain.
func (a *Announcer) first(self Member) bool {
	for _, m := range a.table.Live(time.Now()) {
		if m.Domain == self.Domain {
			return m.Name == self.Name
		}
	}
	return true
}

// Farewell tells every peer at once that this entry is leaving.
func (a *Announcer) Farewell(ctx context.Context) {
	a.table.Leave()
	var wg sync.WaitGroup
	for _, p := range a.table.Peers(time.Now()) {
		wg.Go(func() { a.greet(ctx, p) })
	}
	wg.Wait()
}

// greet exchanges tables with one peer and pulls settings if they differ.
func (a *Announcer) greet(ctx context.Context, p Member) {
	h := a.hello(p.Name, nil)
	data, err := a.call(ctx, p, pathHello, h)
	if err != nil {
		return
	}
	back, err := ParseHello(data)
	if err != nil {
		a.refused.Add(1)
		return
	}
	a.accept(back)
	if back.From.Digest != a.options.Book.View().Digest() || a.options.Instances() == nil {
		a.pull(ctx, p)
	}
}

// hello describes this entry to a peer, with the news that the peer does not
// know already.
func (a *Announcer) hello(peer string, known []Brief) Hello {
	now := time.Now()
	self, _ := a.table.Self()
	a.mu.Lock()
	owed := a.owed[peer]
	delete(a.owed, peer)
	a.mu.Unlock()
	return Hello{From: self, News: fresh(a.table.News(now), known), Intro: a.table.Lookup(owed)}
}

// fresh returns the news that is newer than what is known.
func fresh(news, known []Brief) []Brief {
	have := make(map[string]Brief, len(known))
	for _, b := range known {
		have[b.Name] = b
	}
	kept := news[:0]
	for _, b := range news {
		if h, ok := have[b.Name]; !ok || h.older(b) {
			kept = append(kept, b)
		}
	}
	return kept
}

// accept takes in a peer's hello and returns the names that it left unclear.
func (a *Announcer) accept(h Hello) []string {
	now := time.Now()
	a.table.Introduce(now, false, h.Intro...)
	a.table.Introduce(now, true, h.From)
	want := a.table.Merge(now, h.News)
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(h.Want) > 0 {
		a.owed[h.From.Name] = h.Want
	}
	return want
}

// pull asks a peer for newer settings, at most once in a while.
func (a *Announcer) pull(ctx context.Context, p Member) {
	a.mu.Lock()
	if time.Since(a.pulled) < pullEvery {
		a.mu.Unlock()
		return
	}
	a.pulled = time.Now()
	a.mu.Unlock()
	q := Pull{List: a.options.Instances() == nil}
	for _, e := range a.options.Book.View().Entries() {
		if e.Version() > 0 {
			q.Have = append(q.Have, keeper.Stamp{Path: e.Object().Path, Version: e.Version()})
		}
	}
	data, err := a.call(ctx, p, pathPull, q)
	if err != nil {
		return
	}
	var got Haul
	if err := json.Unmarshal(data, &got); err != nil {
		a.refused.Add(1)
		return
	}
	for _, o := range got.Objects {
		if a.options.Book.Offer(o) {
			a.options.Log.Info("settings in force", "path", strings.TrimPrefix(o.Path, keeper.Prefix), "version", o.Version, "from", p.Name)
		}
	}
	if len(got.Instances) > 0 && a.options.Instances() == nil {
		a.options.Learn(got.Instances)
	}
}

// serve answers a message to another part of this entry.
func (a *Announcer) serve(path string, body []byte) (any, error) {
	if a.options.Serve == nil {
		return nil, errors.NotFoundf("path %q", path)
	}
	return a.options.Serve(context.Background(), path, body)
}

// Send sends a message to a path of the member and decodes its answer. It is
// not held back when the budget is spent: its sender bounds what it sends.
func (a *Announcer) Send(ctx context.Context, m Member, path string, message, answer any) error {
	body, err := pack(message)
	if err != nil {
		return err
	}
	data, err := a.exchange(ctx, m, path, body)
	if err != nil {
		return err
	}
	return errors.Trace(json.Unmarshal(data, answer))
}

// call sends one sealed message and returns the peer's sealed answer.
func (a *Announcer) call(ctx context.Context, p Member, path string, message any) ([]byte, error) {
	body, err := pack(message)
	if err != nil {
		return nil, err
	}
	if !a.budget.AllowN(time.Now(), min(a.budget.Burst(), len(body)+headerBytes)) {
		a.skipped.Add(1)
		return nil, errPeer
	}
	return a.exchange(ctx, p, path, body)
}

// exchange sends one sealed body and returns the peer's sealed answer.
func (a *Announcer) exchange(ctx context.Context, p Member, path string, body []byte) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	nonce := rand.Text()
	req.Header.SetMethod("POST")
	req.SetRequestURI("http://" + p.Peers + path)
	req.Header.Set(sealer.Nonce, nonce)
	req.Header.Set(sealer.Header, sealer.Seal(a.options.Secret, []byte(path), []byte(nonce), body))
	req.SetBody(body)
	a.sent.Add(int64(len(body) + headerBytes))
	deadline := time.Now().Add(peerTimeout)
	if err := a.client.DoDeadline(req, resp, deadline); err != nil {
		return nil, errors.WithType(err, errPeer)
	}
	a.received.Add(int64(len(resp.Body()) + headerBytes))
	if resp.StatusCode() != fasthttp.StatusOK || ctx.Err() != nil {
		return nil, errPeer
	}
	seal := string(resp.Header.Peek(sealer.Header))
	if !sealer.Verify(a.options.Secret, seal, []byte("answer"), []byte(nonce), resp.Body()) {
		a.refused.Add(1)
		return nil, errPeer
	}
	return unpack(resp.Body())
}

// Handle serves one message of a peer.
func (a *Announcer) Handle(ctx *fasthttp.RequestCtx) {
	body := ctx.PostBody()
	path, nonce := ctx.Path(), ctx.Request.Header.Peek(sealer.Nonce)
	seal := string(ctx.Request.Header.Peek(sealer.Header))
	a.received.Add(int64(len(body) + headerBytes))
	if !sealer.Verify(a.options.Secret, seal, path, nonce, body) {
		a.refused.Add(1)
		ctx.SetStatusCode(fasthttp.StatusForbidden)
		return
	}
	body, err := unpack(body)
	if err != nil {
		a.refused.Add(1)
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	var answer any
	switch string(path) {
	case pathHello:
		h, err := ParseHello(body)
		if err != nil {
			a.refused.Add(1)
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		want := a.accept(h)
		back := a.hello(h.From.Name, h.News)
		back.Want = want[:min(len(want), maxWants)]
		answer = back
	case pathPull:
		var q Pull
		if err := json.Unmarshal(body, &q); err != nil {
			a.refused.Add(1)
			ctx.Error(ErrMessage.Error(), fasthttp.StatusBadRequest)
			return
		}
		answer = a.haul(q)
	default:
		if answer, err = a.serve(string(path), body); err != nil {
			a.options.Log.Debug("message of a peer not served", "path", string(path), "error", err.Error())
			ctx.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
	}
	out, err := pack(answer)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	a.sent.Add(int64(len(out) + headerBytes))
	ctx.Response.Header.Set(sealer.Header, sealer.Seal(a.options.Secret, []byte("answer"), nonce, out))
	ctx.SetBody(out)
}

// haul collects accepted settings newer than the asker's, up to a bound. The
// asker comes again for the rest.
func (a *Announcer) haul(q Pull) Haul {
	have := make(map[string]uint64, len(q.Have))
	for _, s := range q.Have {
		have[s.Path] = s.Version
	}
	var out Haul
	size := 0
	for _, e := range a.options.Book.View().Entries() {
		o := e.Object()
		if o.Version <= have[o.Path] {
			continue
		}
		size += len(o.Data)
		if size > maxObjects && len(out.Objects) > 0 {
			break
		}
		out.Objects = append(out.Objects, o)
	}
	if q.List {
		out.Instances = a.options.Instances()
	}
	return out
}
