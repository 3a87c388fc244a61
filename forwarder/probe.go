package forwarder

import (
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/internal/guarder"
	"poplarwind/placer"
	"poplarwind/pooler"
)

const (
	// parallelProbes is the number of upstreams that are probed concurrently
	// before a request is sent. A quarter of the upstreams may be slow at any
	// moment, so three are rarely all slow, and the cost of more probes
	// exceeds their benefit.
	parallelProbes = 3
	// probeTimeout bounds the wait for the first probe response, and
	// stragglerTimeout the wait for the others after it.
	probeTimeout     = 60 * time.Millisecond
	stragglerTimeout = 8 * time.Millisecond
	// maxProbeBody is the maximum size of the body of a response to a load probe in
	// bytes. Nothing reads it.
	maxProbeBody = 16 << 10
)

// candidate is an upstream that the request may be sent to.
type candidate struct {
	upstream *placer.Upstream
	// conn is the connection to send the request over. A probed upstream has
	// responded to the probe on it. It is nil if the probe failed or no
	// connection could be obtained.
	conn *pooler.Conn
	// attempt is set for the selected candidate, and err if connecting to it
	// failed.
	attempt *placer.Attempt
	err     error
}

// responded reports whether the upstream responded to its load probe.
func (c *candidate) responded() bool { return c.conn != nil || errors.Is(c.err, errBarred) }

// probeRound collects the results of the load probes for one request.
type probeRound struct {
	pool *pooler.Pool
	// results has capacity for all probes.
	results chan candidate

	// onFailure is called for each upstream whose failed probe counts against
	// it, as described at recordResult.
	onFailure func(*placer.Upstream)

	mu sync.Mutex
	// closed reports whether the round has ended.
	closed bool
	// sent counts probes, and responded those with a response. failed holds
	// the upstreams with failed probes that onFailure was not called for yet.
	sent, responded int
	failed          []*placer.Upstream
}

// recordResult counts the result of a probe. A failed probe counts against its
// upstream if another upstream responds in the same round, or if it was the
// only one probed. If all of several probes fail, the likely cause is a delay
// or a lost connection of this entry, and counting the failures would eject
// healthy upstreams. Nor does a probe count that was not sent for want of resources of this
// machine. The lock must be held.
func (r *probeRound) recordResult(cand candidate) {
	switch {
	case cand.responded():
		r.responded++
	case !isLocal(cand.err):
		r.failed = append(r.failed, cand.upstream)
	}
	if r.responded == 0 && r.sent > 1 {
		return
	}
	for _, u := range r.failed {
		r.onFailure(u)
	}
	r.failed = nil
}

// deliver adds the result of a probe. The connection of a late result is
// returned to the pool.
func (r *probeRound) deliver(cand candidate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordResult(cand)
	if r.closed {
		r.releaseConn(cand)
		return
	}
	r.results <- cand
}

func (r *probeRound) releaseConn(cand candidate) {
	if cand.conn != nil {
		r.pool.Put(cand.conn)
	}
}

// close ends the round and returns all connections except kept to the pool.
func (r *probeRound) close(candidates []candidate, kept *pooler.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for _, cand := range candidates {
		if cand.conn != kept {
			r.releaseConn(cand)
		}
	}
	for {
		select {
		case cand := <-r.results:
			r.releaseConn(cand)
		default:
			return
		}
	}
}

// pick selects the best upstream and starts an attempt on it. An upstream with
// a fresh report is selected at once. Otherwise a few upstreams are probed,
// those of the entry's failure domain first, then those of other domains if
// one of them could be better. The candidate has no attempt if no upstream has
// a free slot or if it is better to wait. The parameter queued reports whether
// the request was queued.
func (x *exchange) pick(queued bool) candidate {
	s := x.service
	s.mu.Lock()
	now := time.Now()
	if u := s.fleet.SelectFresh(now, queued, x.tried); u != nil {
		a := s.fleet.Start(now, u)
		s.mu.Unlock()
		return x.connect(a)
	}
	s.mu.Unlock()
	return x.probeAndPick(queued)
}

// connect obtains a connection to an upstream that was selected without a
// probe. For a non-idempotent request the connection is new or was used
// recently, because an upstream may close an idle connection just as the
// request is written.
func (x *exchange) connect(a *placer.Attempt) candidate {
	ctx, cancel := x.service.dialContext(probeTimeout)
	defer cancel()
	u := a.Upstream()
	c, err := x.forwarder.pool.Get(ctx, u.Addr(), x.connLimit(), !x.route.Idempotent)
	if err != nil {
		x.forwarder.options.Log.Debug("cannot connect to upstream", "upstream", u.ID(), "error", err.Error())
	}
	return candidate{upstream: u, conn: c, attempt: a, err: err}
}

// probeAndPick probes upstreams and selects the best. If no probe may be sent,
// a request that was queued is sent without one.
func (x *exchange) probeAndPick(queued bool) (picked candidate) {
	r := &probeRound{pool: x.forwarder.pool, results: make(chan candidate, 2*parallelProbes), onFailure: x.recordProbeFailure}
	var candidates []candidate
	probes := 0
	for _, scope := range []placer.Scope{placer.ScopeLocal, placer.ScopeRemote} {
		x.service.mu.Lock()
		upstreams := x.service.fleet.SelectProbes(nil, time.Now(), parallelProbes, scope, x.tried)
		x.service.mu.Unlock()
		if probes += len(upstreams); len(upstreams) > 0 {
			candidates = x.collect(nil, r, upstreams, candidates)
		}
		if picked = x.startBest(candidates, scope == placer.ScopeRemote); picked.attempt != nil {
			break
		}
	}
	r.close(candidates, picked.conn)
	if picked.attempt == nil && probes == 0 && queued {
		return x.pickUnprobed()
	}
	return picked
}

// pickUnprobed selects an upstream without a probe, by its last report.
func (x *exchange) pickUnprobed() candidate {
	s := x.service
	s.mu.Lock()
	now := time.Now()
	u := s.fleet.SelectUnprobed(now, x.tried)
	if u == nil {
		s.mu.Unlock()
		return candidate{}
	}
	a := s.fleet.Start(now, u)
	s.mu.Unlock()
	return x.connect(a)
}

// collect probes the upstreams concurrently and appends the results to
// candidates, including late results of earlier probes in the round. It
// returns when a candidate is ideal, when there are as many results as
// upstreams, on a timeout, or when done, which may be nil, is closed.
func (x *exchange) collect(done <-chan struct{}, r *probeRound, upstreams []*placer.Upstream, candidates []candidate) []candidate {
	r.mu.Lock()
	r.sent += len(upstreams)
	r.mu.Unlock()
	for _, u := range upstreams {
		go func() {
			defer guarder.Contain(x.forwarder.options.Log, "load probe", nil)
			cand := x.probe(u)
			x.recordReach(cand)
			r.deliver(cand)
		}()
	}
	timer := time.NewTimer(probeTimeout)
	defer timer.Stop()
	responded := false
	for range upstreams {
		select {
		case cand := <-r.results:
			candidates = append(candidates, cand)
			if cand.conn != nil && !responded {
				responded = true
				timer.Reset(stragglerTimeout)
			}
			if x.ideal(cand, upstreams) {
				return candidates
			}
		case <-timer.C:
			return candidates
		case <-done:
			return candidates
		}
	}
	return candidates
}

// ideal reports whether the candidate responded and the other upstreams of its
// scope are unlikely to be better. While a request to a cold one of those probed is due, only that
// is: else a cold upstream that responds to probes later than others would get none.
func (x *exchange) ideal(cand candidate, probed []*placer.Upstream) bool {
	if cand.conn == nil {
		return false
	}
	x.service.mu.Lock()
	defer x.service.mu.Unlock()
	f, now := &x.service.fleet, time.Now()
	due := func(u *placer.Upstream) bool { return f.WarmupTrialDue(now, u) }
	return f.Ideal(now, cand.upstream) && (due(cand.upstream) || !slices.ContainsFunc(probed, due))
}

// startBest starts an attempt on the best upstream that responded. The
// candidate has no attempt if no upstream has a free slot, if another scope
// remains that could be better, or if it is better to wait for another
// upstream.
func (x *exchange) startBest(candidates []candidate, lastScope bool) candidate {
	var responsive []*placer.Upstream
	for _, cand := range candidates {
		if cand.conn != nil {
			responsive = append(responsive, cand.upstream)
		}
	}
	x.service.mu.Lock()
	defer x.service.mu.Unlock()
	now := time.Now()
	best := x.choose(now, responsive, lastScope)
	if best == nil {
		return candidate{}
	}
	for _, cand := range candidates {
		if cand.upstream == best {
			cand.attempt = x.service.fleet.Start(now, best)
			return cand
		}
	}
	return candidate{}
}

// choose returns the upstream among those probed that the request is sent to, nil if there is none,
// as described at startBest. The lock of the service must be held.
func (x *exchange) choose(now time.Time, probed []*placer.Upstream, lastScope bool) *placer.Upstream {
	f := &x.service.fleet
	best := f.SelectBest(now, probed)
	if best == nil || !lastScope && !f.LocalSuffices(now, best) || !f.ShouldSend(now, best, x.serviceTime, x.due) {
		return nil
	}
	return best
}

// probe sends a load probe to one upstream.
func (x *exchange) probe(u *placer.Upstream) candidate {
	ctx, cancel := x.service.dialContext(probeTimeout)
	defer cancel()
	pool := x.forwarder.pool
	limit := x.connLimit()
	c, err := pool.Get(ctx, u.Addr(), limit, false)
	if err == nil && x.probeConn(c, u) {
		return candidate{upstream: u, conn: c}
	}
	if err == nil {
		pool.Discard(c)
		if x.service.barred(u) {
			return candidate{upstream: u, err: errBarred}
		}
		// The pooled connection may have been stale: retry on a new one.
		if c, err = pool.NewConn(ctx, u.Addr(), limit); err == nil {
			if x.probeConn(c, u) {
				return candidate{upstream: u, conn: c}
			}
			pool.Discard(c)
		}
	}
	return candidate{upstream: u, err: err}
}

// recordProbeFailure records that a load probe to an upstream failed.
func (x *exchange) recordProbeFailure(u *placer.Upstream) {
	s := x.service
	s.mu.Lock()
	s.fleet.RecordProbeFailure(time.Now(), u)
	ejected := u.Ejected(time.Now())
	s.mu.Unlock()
	if ejected {
		x.forwarder.options.Log.Warn("upstream ejected", "upstream", u.ID(), "service", s.name, "cause", "no answer to a load query")
	}
}

// connLimit returns the maximum number of connections from this entry to one
// upstream.
func (x *exchange) connLimit() int {
	if x.maxConns <= 0 {
		return defaultConns
	}
	all := x.forwarder.options.Entries(x.service.name).Total
	return max(minConns, int(connFraction*float64(x.maxConns)/float64(max(1, all))))
}

const (
	defaultConns = 64
	minConns     = 4
	// connFraction is the fraction of an upstream's connection limit that
	// entries use, because an upstream accepts fewer connections while its
	// queue is long.
	connFraction = 0.8
)

// probeConn sends a load probe over a connection. It reports whether the
// expected upstream responded and the connection can be used again.
func (x *exchange) probeConn(c *pooler.Conn, u *placer.Upstream) bool {
	sentAt := time.Now()
	info, ok := x.queryLoad(c, u)
	if !ok {
		return false
	}
	if info.Instance != "" && info.Instance != u.ID() {
		x.excludeUpstream(u, info.Instance)
		return false
	}
	info.WarmupStated = info.Warmup > 0 || info.HasLoad && !info.NotRun && info.WarmupError == nil
	if !info.HasLoad {
		info.HasLoad, info.Load = true, placer.Report{Slowness: 1, At: time.Now()}
	}
	x.applyResponseInfo(u, info, sentAt, sourceProbe)
	return true
}

// queryLoad sends a load probe over a connection and returns what the response states. It
// returns false if there is no response to a probe, or if the connection can't be used
// again.
func (x *exchange) queryLoad(c *pooler.Conn, u *placer.Upstream) (ResponseInfo, bool) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetNoDefaultContentType(true)
	req.Header.DisableNormalizing()
	req.Header.SetRequestURI(x.healthURI)
	req.Header.SetHost(u.Addr())
	req.UseHostHeader = true
	c.SetDeadline(time.Now().Add(probeTimeout))
	if err := c.Send(req); err != nil {
		return ResponseInfo{}, false
	}
	if err := c.Receive(resp, false, maxProbeBody); err != nil {
		return ResponseInfo{}, false
	}
	info := x.parseResponse(u, resp, sourceProbe)
	usable := !resp.ConnectionClose() && !info.Leaving && len(info.ID) == 0 && !info.Stamped && c.Clean()
	if info.NotRun {
		c.SetRejected()
	}
	// The ID belongs to the response, which is released.
	info.ID = nil
	return info, usable
}

// excludeUpstream excludes an upstream at whose address another one has responded.
func (x *exchange) excludeUpstream(u *placer.Upstream, found string) {
	x.service.mu.Lock()
	defer x.service.mu.Unlock()
	x.service.fleet.Exclude(u)
	x.forwarder.options.Log.Warn("another upstream responded at this address", "upstream", u.ID(), "addr", u.Addr(), "now", found)
}
