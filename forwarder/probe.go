package forwarder

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"poplarwind/placer"
	"poplarwind/pooler"
)

const (
	// askedAtOnce is how many upstreams are asked for their load before a
	// send: a quarter of them may be slow at any moment, so that three are
	// rarely all slow, and more cost more than they find.
	askedAtOnce = 3
	// askWait is how long the first answer is waited for, and askMore how long
	// the others after it.
	askWait = 60 * time.Millisecond
	askMore = 8 * time.Millisecond
)

// asked is an upstream's answer to the question for its load, and the
// connection that it came on, nil if there was none.
type asked struct {
	upstream *placer.Upstream
	conn     *pooler.Conn
	// attempt is set for the one that was taken, err if it can't be reached.
	attempt *placer.Attempt
	err     error
}

// inquiry collects the answers of upstreams that are asked at once.
type inquiry struct {
	pool *pooler.Pool
	// answers has room for all of them.
	answers chan asked

	// silent is told of an upstream without an answer.
	silent func(*placer.Upstream)

	mu sync.Mutex
	// over says that later answers are of no use.
	over bool
	// asked and heard count upstreams, and mute holds those without an answer
	// that were not told of yet.
	asked, heard int
	mute         []*placer.Upstream
}

// judge takes in whether an upstream answered. That one is silent says something
// of it if another answers meanwhile, or if it alone was asked: where all of
// several are silent it is this entry that is late or cut off, and sound
// upstreams would be ejected for it. The lock must be held.
func (q *inquiry) judge(a asked) {
	if a.conn != nil {
		q.heard++
	} else {
		q.mute = append(q.mute, a.upstream)
	}
	if q.heard == 0 && q.asked > 1 {
		return
	}
	for _, u := range q.mute {
		q.silent(u)
	}
	q.mute = nil
}

// deliver hands in an answer. Connections that come too late go back to their
// pool.
func (q *inquiry) deliver(a asked) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.judge(a)
	if q.over {
		q.giveBack(a)
		return
	}
	q.answers <- a
}

func (q *inquiry) giveBack(a asked) {
	if a.conn != nil {
		q.pool.Put(a.conn)
	}
}

// end gives back all connections but the one kept.
func (q *inquiry) end(all []asked, kept *pooler.Conn) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.over = true
	for _, a := range all {
		if a.conn != kept {
			q.giveBack(a)
		}
	}
	for {
		select {
		case a := <-q.answers:
			q.giveBack(a)
		default:
			return
		}
	}
}

// choose takes the best upstream, which has its request counted then. One that
// told of its load just now is taken at once; otherwise a few are asked, near
// ones first, and ones of other failure domains if those could be better. It
// returns a nil attempt if none has room, or if it is better to wait. Waiting
// says that the request stood in the line.
func (x *exchange) choose(waiting bool) asked {
	s := x.service
	s.mu.Lock()
	now := time.Now()
	if u := s.fleet.Fresh(now, waiting, x.tried); u != nil {
		a := s.fleet.Start(now, u)
		s.mu.Unlock()
		return x.connect(a)
	}
	s.mu.Unlock()
	return x.inquire(waiting)
}

// connect finds a connection to an upstream that was taken without a question.
// One for a request that must not run twice is new or was used just now.
func (x *exchange) connect(a *placer.Attempt) asked {
	ctx, cancel := context.WithTimeout(context.Background(), askWait)
	defer cancel()
	u := a.Upstream()
	c, err := x.forwarder.pool.Get(ctx, u.Addr(), x.connLimit(), !x.path.Idempotent)
	if err != nil {
		x.forwarder.options.Log.Debug("upstream not reached", "upstream", u.ID(), "error", err.Error())
	}
	return asked{upstream: u, conn: c, attempt: a, err: err}
}

// inquire asks upstreams for their load and takes the best. A request that waits
// is sent without a question if none is left.
func (x *exchange) inquire(waiting bool) (won asked) {
	q := &inquiry{pool: x.forwarder.pool, answers: make(chan asked, 2*askedAtOnce), silent: x.silent}
	var all []asked
	questions := 0
	for _, scope := range []placer.Scope{placer.Near, placer.Far} {
		x.service.mu.Lock()
		list := x.service.fleet.Ask(nil, time.Now(), askedAtOnce, scope, x.tried)
		x.service.mu.Unlock()
		if questions += len(list); len(list) > 0 {
			all = x.collect(q, list, all)
		}
		if won = x.take(all, scope == placer.Far); won.attempt != nil {
			break
		}
	}
	q.end(all, won.conn)
	if won.attempt == nil && questions == 0 && waiting {
		return x.guess()
	}
	return won
}

// guess takes an upstream without a question.
func (x *exchange) guess() asked {
	s := x.service
	s.mu.Lock()
	now := time.Now()
	u := s.fleet.Guess(now, x.tried)
	if u == nil {
		s.mu.Unlock()
		return asked{}
	}
	a := s.fleet.Start(now, u)
	s.mu.Unlock()
	return x.connect(a)
}

// collect asks the upstreams of the list at once and appends their answers to
// all, those of earlier questions that come late among them. It returns when
// an answer can hardly be bettered, when all came, or when the others take too
// long.
func (x *exchange) collect(q *inquiry, list []*placer.Upstream, all []asked) []asked {
	q.mu.Lock()
	q.asked += len(list)
	q.mu.Unlock()
	for _, u := range list {
		go func() { q.deliver(x.ask(u)) }()
	}
	timer := time.NewTimer(askWait)
	defer timer.Stop()
	heard := false
	for range list {
		select {
		case a := <-q.answers:
			all = append(all, a)
			if a.conn != nil && !heard {
				heard = true
				timer.Reset(askMore)
			}
			if x.satisfied(a) {
				return all
			}
		case <-timer.C:
			return all
		}
	}
	return all
}

// satisfied reports whether no better answer than this one can come.
func (x *exchange) satisfied(a asked) bool {
	if a.conn == nil {
		return false
	}
	x.service.mu.Lock()
	defer x.service.mu.Unlock()
	return x.service.fleet.Ideal(time.Now(), a.upstream)
}

// take takes the best of the upstreams that answered, if it is good enough or
// the last that can be had, and if it is not better to wait for another.
func (x *exchange) take(all []asked, last bool) asked {
	var heard []*placer.Upstream
	for _, a := range all {
		if a.conn != nil {
			heard = append(heard, a.upstream)
		}
	}
	f := &x.service.fleet
	x.service.mu.Lock()
	defer x.service.mu.Unlock()
	now := time.Now()
	best := f.Best(now, heard)
	if best == nil || !last && !f.Enough(now, best) || !f.Worth(now, best, x.work, x.due) {
		return asked{}
	}
	for _, a := range all {
		if a.upstream == best {
			a.attempt = f.Start(now, best)
			return a
		}
	}
	return asked{}
}

// ask asks one upstream for its load.
func (x *exchange) ask(u *placer.Upstream) asked {
	ctx, cancel := context.WithTimeout(context.Background(), askWait)
	defer cancel()
	pool := x.forwarder.pool
	limit := x.connLimit()
	c, err := pool.Get(ctx, u.Addr(), limit, false)
	if err == nil && x.question(c, u) {
		return asked{upstream: u, conn: c}
	}
	if err == nil {
		pool.Drop(c)
		// The connection may have been at its end: a new one tells.
		if c, err = pool.New(ctx, u.Addr(), limit); err == nil {
			if x.question(c, u) {
				return asked{upstream: u, conn: c}
			}
			pool.Drop(c)
		}
	}
	return asked{upstream: u}
}

// silent takes in that an upstream did not answer a question for its load.
func (x *exchange) silent(u *placer.Upstream) {
	s := x.service
	s.mu.Lock()
	s.fleet.Silent(time.Now(), u)
	out := u.Ejected(time.Now())
	s.mu.Unlock()
	if out {
		x.forwarder.options.Log.Warn("upstream ejected", "upstream", u.ID(), "service", s.name, "cause", "no answer to a load query")
	}
}

// connLimit returns how many connections to one upstream this entry may have.
func (x *exchange) connLimit() int {
	if x.conns <= 0 {
		return defaultConns
	}
	all := x.forwarder.options.Entries(x.service.name).All
	return max(minConns, int(connShare*float64(x.conns)/float64(max(1, all))))
}

const (
	defaultConns = 64
	minConns     = 4
	// connShare is the part of an upstream's connections that entries use: it
	// takes fewer while its queue is long.
	connShare = 0.8
)

// question asks for the load on a connection and reports whether the
// upstream itself answered.
func (x *exchange) question(c *pooler.Conn, u *placer.Upstream) bool {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetNoDefaultContentType(true)
	req.Header.DisableNormalizing()
	req.Header.SetRequestURI(x.health)
	req.Header.SetHost(u.Addr())
	req.UseHostHeader = true
	c.Deadline(time.Now().Add(askWait))
	if err := c.Send(req); err != nil {
		return false
	}
	if err := c.Receive(resp, false, x.forwarder.options.Body); err != nil {
		return false
	}
	now := time.Now()
	facts := x.forwarder.options.Dialect.Read(&resp.Header, now)
	if resp.ConnectionClose() || len(facts.ID) > 0 || facts.Stamped || !c.Clean() {
		return false
	}
	s := x.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if facts.Instance != "" && facts.Instance != u.ID() {
		s.fleet.Disown(u)
		x.forwarder.options.Log.Warn("upstream replaced at its address", "upstream", u.ID(), "addr", u.Addr(), "now", facts.Instance)
		return false
	}
	if !facts.HasLoad {
		facts.Load = placer.Report{Slowness: 1, At: now}
	}
	s.fleet.Hear(u, facts.Load)
	return true
}
