package announcer

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"log/slog"
	mathrand "math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"poplarwind/internal/signer"
	"poplarwind/internal/sleeper"
	"poplarwind/storer"
	"poplarwind/watcher"
)

const (
	// fanout is the number of peers that an entry contacts per heartbeat.
	fanout       = 2
	peerTimeout  = time.Second
	pullInterval = 500 * time.Millisecond
	// headerOverhead is the assumed size in bytes of the HTTP headers of one
	// message.
	headerOverhead = 350
	// burstSeconds is the capacity of the byte budget, in seconds of
	// Options.BytesPerSecond.
	burstSeconds = 4
	pathHello    = "/peer/hello"
	pathPull     = "/peer/pull"
)

// errPeer reports that no usable response was received from a peer, or that the
// budget denied the exchange.
const errPeer = errors.ConstError("no usable response from peer")

// Options configures an Announcer. All fields but Seeds and Handler must be set.
type Options struct {
	Secret []byte
	// Seeds holds the peer addresses to contact while the table holds no peer
	// and, if DomainLocal is set, occasionally afterwards.
	Seeds []string
	// HeartbeatInterval is the time between heartbeats.
	HeartbeatInterval time.Duration
	// BytesPerSecond is the bandwidth for control traffic, in bytes a second.
	BytesPerSecond int
	// DomainLocal restricts gossip mostly to the entry's own failure domain. One
	// entry of each domain represents it to the other domains, since traffic
	// between domains is expensive.
	DomainLocal bool
	Cache       *watcher.Cache
	// Instances returns the most recent copy of the platform's list, and
	// ApplyInstances applies a list received from a peer.
	Instances      func() []storer.Instance
	ApplyInstances func([]storer.Instance)
	// Handler handles messages to paths other than the announcer's own. It may
	// be nil.
	Handler func(ctx context.Context, path string, body []byte) (any, error)
	Log     *slog.Logger
}

// Announcer exchanges membership tables and settings with peers.
type Announcer struct {
	options Options
	table   *Table
	client  fasthttp.Client
	// budget limits the bytes of the messages that this entry initiates, at half of
	// Options.BytesPerSecond.
	budget *rate.Limiter
	random *mathrand.Rand
	// sent and received count bytes, throttled the exchanges that the budget
	// denied, and rejected the messages that failed verification or parsing.
	sent, received, throttled, rejected atomic.Int64

	mu sync.Mutex
	// requested holds, for each peer, the members whose descriptions it
	// requested.
	requested map[string][]ID
	// lastPull is when settings were last requested from a peer.
	lastPull time.Time
	// heartbeats counts heartbeat rounds.
	heartbeats int
}

// New returns an announcer for the table.
func New(t *Table, o Options) *Announcer {
	return &Announcer{
		options: o, table: t, requested: make(map[string][]ID),
		budget: rate.NewLimiter(rate.Limit(o.BytesPerSecond/2), burstSeconds*o.BytesPerSecond),
		random: mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64())),
		client: fasthttp.Client{
			MaxIdemponentCallAttempts: 1, MaxResponseBodySize: MaxMessage, NoDefaultUserAgentHeader: true,
			MaxIdleConnDuration: time.Minute, ReadTimeout: peerTimeout, WriteTimeout: peerTimeout,
		},
	}
}

// Traffic counts the control traffic between entries since the process started.
type Traffic struct {
	Sent      int64 `json:"sent"`
	Received  int64 `json:"received"`
	Throttled int64 `json:"skipped"`
	Rejected  int64 `json:"refused"`
}

// Traffic returns the totals of control traffic since the process started.
func (a *Announcer) Traffic() Traffic {
	return Traffic{a.sent.Load(), a.received.Load(), a.throttled.Load(), a.rejected.Load()}
}

// Run exchanges tables with a few peers every heartbeat interval until ctx is
// done.
func (a *Announcer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		a.table.Tick(time.Now())
		peers := a.table.Peers(time.Now())
		if len(peers) == 0 {
			for _, s := range a.options.Seeds {
				peers = append(peers, Member{Peers: s})
			}
		}
		for _, p := range a.selectPeers(peers) {
			go a.exchangeTables(ctx, p)
		}
		sleeper.Sleep(ctx, a.interval())
	}
	return nil
}

const (
	// startupHeartbeats is the number of heartbeats after the start of the
	// process whose interval is divided by startupFactor. When 100 entries
	// start at the same time, each then discovers all others within 1 s.
	startupHeartbeats = 12
	startupFactor     = 4
)

// interval returns the time until the next heartbeat.
func (a *Announcer) interval() time.Duration {
	if a.round() <= startupHeartbeats {
		return a.options.HeartbeatInterval / startupFactor
	}
	return a.options.HeartbeatInterval
}

// round returns the number of heartbeat rounds since the start.
func (a *Announcer) round() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.heartbeats
}

// remoteContactRatio is the fraction of heartbeats at which an entry that does
// not represent its failure domain contacts another domain. It reconnects
// domains that no longer know each other's representatives. A seed is contacted
// at the same rate.
const remoteContactRatio = 1.0 / 64

// remoteContactHeartbeats is the number of heartbeats between two contacts of a
// domain's representative with another failure domain.
const remoteContactHeartbeats = 3

// selectPeers returns the peers to contact in one heartbeat round.
func (a *Announcer) selectPeers(peers []Member) []Member {
	a.mu.Lock()
	a.heartbeats++
	a.mu.Unlock()
	a.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	if !a.options.DomainLocal {
		return peers[:min(fanout, len(peers))]
	}
	self, _ := a.table.Self()
	var local, remote []Member
	for _, p := range peers {
		if p.Domain == self.Domain {
			local = append(local, p)
		} else {
			remote = append(remote, p)
		}
	}
	out := local[:min(fanout, len(local))]
	due := a.round()%remoteContactHeartbeats == 0 && a.representsDomain(self)
	if len(remote) > 0 && (due || len(local) == 0 || a.random.Float64() < remoteContactRatio) {
		out = append(out, remote[0])
	}
	if n := len(a.options.Seeds); n > 0 && a.random.Float64() < remoteContactRatio {
		out = append(out, Member{Peers: a.options.Seeds[a.random.IntN(n)]})
	}
	return out
}

// representsDomain reports whether this entry is the first live one, by name,
// of its failure domain.
func (a *Announcer) representsDomain(self Member) bool {
	for _, m := range a.table.Live(time.Now()) {
		if m.Domain == self.Domain {
			return m.Name == self.Name
		}
	}
	return true
}

// AnnounceDrain marks this entry as draining and notifies all peers concurrently.
func (a *Announcer) AnnounceDrain(ctx context.Context) {
	a.table.SetDraining()
	var wg sync.WaitGroup
	for _, p := range a.table.Peers(time.Now()) {
		wg.Go(func() { a.exchangeTables(ctx, p) })
	}
	wg.Wait()
}

// exchangeTables exchanges tables with one peer. It pulls settings if those of
// the peer differ, or if the platform's list is still missing.
func (a *Announcer) exchangeTables(ctx context.Context, p Member) {
	h := a.newHello(p.Name, nil, false)
	data, err := a.sendThrottled(ctx, p, pathHello, h)
	if err != nil {
		return
	}
	reply, err := ParseHello(data)
	if err != nil {
		a.rejected.Add(1)
		return
	}
	a.applyHello(reply)
	if reply.From.Digest != a.options.Cache.Snapshot().Digest() || a.options.Instances() == nil {
		a.pullSettings(ctx, p)
	}
}

// recentHeartbeats is the age, in heartbeat intervals, up to which a heartbeat is
// passed on. In this time an entry exchanges tables with some peers, and each of
// them does so in turn, so that nearly all entries receive it.
const recentHeartbeats = 2

// newHello returns a message that describes this entry to a peer, with the recent
// heartbeats, or all of them, that are newer than those in seen, and the
// descriptions that the peer requested.
func (a *Announcer) newHello(peer string, seen []Heartbeat, all bool) Hello {
	self, _ := a.table.Self()
	a.mu.Lock()
	requested := a.requested[peer]
	delete(a.requested, peer)
	starting := a.heartbeats <= startupHeartbeats
	a.mu.Unlock()
	maxAge := recentHeartbeats * a.options.HeartbeatInterval
	if all {
		maxAge = 0
	}
	h := Hello{From: self, Full: starting, Descriptions: a.table.Lookup(requested)}
	known := make(map[ID]Heartbeat, len(seen))
	for _, b := range seen {
		known[b.ID] = b
	}
	h.Heartbeats = slices.DeleteFunc(a.table.Heartbeats(nil, time.Now(), maxAge), func(b Heartbeat) bool {
		old, ok := known[b.ID]
		return ok && !old.olderThan(b)
	})
	// A peer that restarted with a lower epoch must see the heartbeats of its earlier
	// process, whatever their age, in order to supersede them.
	if latest, ok := a.table.Heartbeat(IDOf(peer)); ok && known[latest.ID].Epoch < latest.Epoch {
		h.Heartbeats = append(h.Heartbeats, latest)
	}
	return h
}

// applyHello applies a peer's hello to the table. It returns the IDs of the members
// whose descriptions are missing.
func (a *Announcer) applyHello(h Hello) []ID {
	now := time.Now()
	a.table.MergeDescriptions(now, false, h.Descriptions...)
	a.table.MergeDescriptions(now, true, h.From)
	missing := a.table.MergeHeartbeats(now, h.Heartbeats)
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(h.Requested) > 0 {
		a.requested[h.From.Name] = h.Requested
	}
	return missing
}

// pullSettings requests newer settings from a peer, at most once per
// pullInterval.
func (a *Announcer) pullSettings(ctx context.Context, p Member) {
	a.mu.Lock()
	if time.Since(a.lastPull) < pullInterval {
		a.mu.Unlock()
		return
	}
	a.lastPull = time.Now()
	a.mu.Unlock()
	q := PullRequest{WithInstances: a.options.Instances() == nil}
	for _, state := range a.options.Cache.Snapshot().States() {
		if state.Version() > 0 {
			q.Have = append(q.Have, storer.VersionRef{Path: state.Object().Path, Version: state.Version()})
		}
	}
	data, err := a.sendThrottled(ctx, p, pathPull, q)
	if err != nil {
		return
	}
	var response PullResponse
	if err := json.Unmarshal(data, &response); err != nil {
		a.rejected.Add(1)
		return
	}
	for _, o := range response.Objects {
		if a.options.Cache.Apply(o) {
			a.options.Log.Info("settings in force", "path", strings.TrimPrefix(o.Path, storer.Prefix), "version", o.Version, "from", p.Name)
		}
	}
	if len(response.Instances) > 0 && a.options.Instances() == nil {
		a.options.ApplyInstances(response.Instances)
	}
}

// serveOther passes a message to Options.Handler.
func (a *Announcer) serveOther(path string, body []byte) (any, error) {
	if a.options.Handler == nil {
		return nil, errors.NotFoundf("path %q", path)
	}
	return a.options.Handler(context.Background(), path, body)
}

// Send sends a message to a path of the member and decodes the response. The
// byte budget does not apply: the caller limits its own traffic.
func (a *Announcer) Send(ctx context.Context, m Member, path string, message, response any) error {
	body, err := pack(message)
	if err != nil {
		return err
	}
	data, err := a.roundTrip(ctx, m, path, body)
	if err != nil {
		return err
	}
	return errors.Trace(json.Unmarshal(data, response))
}

// sendThrottled sends one message within the byte budget and returns the body
// of the verified response.
func (a *Announcer) sendThrottled(ctx context.Context, p Member, path string, message any) ([]byte, error) {
	body, err := pack(message)
	if err != nil {
		return nil, err
	}
	if !a.budget.AllowN(time.Now(), min(a.budget.Burst(), len(body)+headerOverhead)) {
		a.throttled.Add(1)
		return nil, errPeer
	}
	return a.roundTrip(ctx, p, path, body)
}

// roundTrip sends one sealed body, verifies the seal of the response and
// returns its unpacked body.
func (a *Announcer) roundTrip(ctx context.Context, p Member, path string, body []byte) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	nonce := rand.Text()
	req.Header.SetMethod("POST")
	req.SetRequestURI("http://" + p.Peers + path)
	req.Header.Set(signer.NonceHeader, nonce)
	req.Header.Set(signer.SignatureHeader, signer.Sign(a.options.Secret, []byte(path), []byte(nonce), body))
	req.SetBody(body)
	a.sent.Add(int64(len(body) + headerOverhead))
	deadline := time.Now().Add(peerTimeout)
	if limit, ok := ctx.Deadline(); ok && limit.Before(deadline) {
		deadline = limit
	}
	if err := a.client.DoDeadline(req, resp, deadline); err != nil {
		return nil, errors.WithType(err, errPeer)
	}
	a.received.Add(int64(len(resp.Body()) + headerOverhead))
	if resp.StatusCode() != fasthttp.StatusOK || ctx.Err() != nil {
		return nil, errPeer
	}
	signature := string(resp.Header.Peek(signer.SignatureHeader))
	if !signer.Verify(a.options.Secret, signature, []byte("answer"), []byte(nonce), resp.Body()) {
		a.rejected.Add(1)
		return nil, errPeer
	}
	return unpack(resp.Body())
}

// Handle serves one message from a peer.
func (a *Announcer) Handle(ctx *fasthttp.RequestCtx) {
	body := ctx.PostBody()
	path, nonce := ctx.Path(), ctx.Request.Header.Peek(signer.NonceHeader)
	signature := string(ctx.Request.Header.Peek(signer.SignatureHeader))
	a.received.Add(int64(len(body) + headerOverhead))
	if !signer.Verify(a.options.Secret, signature, path, nonce, body) {
		a.rejected.Add(1)
		ctx.SetStatusCode(fasthttp.StatusForbidden)
		return
	}
	body, err := unpack(body)
	if err != nil {
		a.rejected.Add(1)
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	var response any
	switch string(path) {
	case pathHello:
		h, err := ParseHello(body)
		if err != nil {
			a.rejected.Add(1)
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		missing := a.applyHello(h)
		reply := a.newHello(h.From.Name, h.Heartbeats, h.Full)
		reply.Requested = missing[:min(len(missing), maxRequested)]
		response = reply
	case pathPull:
		var q PullRequest
		if err := json.Unmarshal(body, &q); err != nil {
			a.rejected.Add(1)
			ctx.Error(ErrMalformed.Error(), fasthttp.StatusBadRequest)
			return
		}
		response = a.newerSettings(q)
	default:
		if response, err = a.serveOther(string(path), body); err != nil {
			a.options.Log.Debug("peer message not handled", "path", string(path), "error", err.Error())
			ctx.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
	}
	out, err := pack(response)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	a.sent.Add(int64(len(out) + headerOverhead))
	ctx.Response.Header.Set(signer.SignatureHeader, signer.Sign(a.options.Secret, []byte("answer"), nonce, out))
	ctx.SetBody(out)
}

// newerSettings collects the accepted settings that are newer than those of the
// requester, up to maxObjects bytes. The requester pulls the rest later.
func (a *Announcer) newerSettings(q PullRequest) PullResponse {
	have := make(map[string]uint64, len(q.Have))
	for _, ref := range q.Have {
		have[ref.Path] = ref.Version
	}
	var out PullResponse
	size := 0
	for _, state := range a.options.Cache.Snapshot().States() {
		o := state.Object()
		if o.Version <= have[o.Path] {
			continue
		}
		size += len(o.Data)
		if size > maxObjects && len(out.Objects) > 0 {
			break
		}
		out.Objects = append(out.Objects, o)
	}
	if q.WithInstances {
		out.Instances = a.options.Instances()
	}
	return out
}
