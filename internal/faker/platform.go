package faker

import (
	"encoding/json"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"poplarwind/keeper"
)

// Trouble is what goes wrong with a platform. Its zero value is health.
type Trouble struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// Delay is added to every answer.
	Delay time.Duration `json:"delay"`
	// Lose makes the next so many writes take effect and lose their answer.
	Lose int `json:"lose"`
	// Stale makes reads leave out the writes of this last while.
	Stale time.Duration `json:"stale"`
	// Deaf makes watches see nothing.
	Deaf bool `json:"deaf"`
}

type version struct {
	object keeper.Object
	at     time.Time
}

// Platform is a stand-in for the platform's object store and its list of
// instances. Its zero value is empty and healthy.
type Platform struct {
	mu sync.Mutex
	// last is the version of the newest write.
	last    uint64
	objects map[string][]version
	// log holds every write in order of version.
	log       []keeper.Stamp
	instances map[string]keeper.Instance
	// listed counts changes of instances.
	listed  int
	trouble Trouble
	calls   int
	writes  int
	wake    chan struct{}
	closed  chan struct{}
	server  fasthttp.Server
}

// Serve answers on l until Close.
func (p *Platform) Serve(l net.Listener) error {
	p.mu.Lock()
	p.closed = make(chan struct{})
	p.mu.Unlock()
	p.server.Handler = p.handle
	p.server.MaxRequestBodySize = 2 << 20
	p.server.ReadBufferSize = 64 << 10
	p.server.CloseOnShutdown = true
	return p.server.Serve(l)
}

// Close stops answering.
func (p *Platform) Close() error {
	p.mu.Lock()
	if p.closed != nil {
		close(p.closed)
		p.closed = nil
	}
	p.mu.Unlock()
	return p.server.Shutdown()
}

// Set changes what goes wrong.
func (p *Platform) Set(t Trouble) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trouble = t
}

// Enlist puts an instance on the list, or replaces it there.
func (p *Platform) Enlist(i keeper.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.instances == nil {
		p.instances = make(map[string]keeper.Instance)
	}
	p.instances[i.Name] = i
	p.listed++
}

// Delist takes an instance off the list.
func (p *Platform) Delist(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.instances, name)
	p.listed++
}

// Load returns how many calls and how many writes were served.
func (p *Platform) Load() (calls, writes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls, p.writes
}

func (p *Platform) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if strings.HasPrefix(path, "/fake/") {
		p.control(ctx, strings.TrimPrefix(path, "/fake/"))
		return
	}
	p.mu.Lock()
	t := p.trouble
	p.calls++
	p.mu.Unlock()
	time.Sleep(t.Delay)
	if t.Down {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	arg := func(name string) string { return string(ctx.QueryArgs().Peek(name)) }
	switch {
	case path == "/v1/object" && ctx.IsPut():
		p.put(ctx, arg("path"), arg("expect"))
	case path == "/v1/object":
		p.get(ctx, arg("path"), arg("version"))
	case path == "/v1/versions":
		p.versions(ctx, arg("path"))
	case path == "/v1/list":
		p.list(ctx, arg("prefix"))
	case path == "/v1/watch":
		p.watch(ctx, arg("prefix"), arg("after"), arg("wait"))
	case path == "/v1/instances":
		p.enlisted(ctx, arg("known"))
	default:
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
	}
}

// control changes the stand-in itself.
func (p *Platform) control(ctx *fasthttp.RequestCtx, what string) {
	var err error
	switch what {
	case "trouble":
		var t Trouble
		if err = json.Unmarshal(ctx.PostBody(), &t); err == nil {
			p.Set(t)
		}
	case "instance":
		var i keeper.Instance
		if err = json.Unmarshal(ctx.PostBody(), &i); err == nil {
			p.Enlist(i)
		}
	case "delist":
		p.Delist(string(ctx.PostBody()))
	}
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
	}
}

func (p *Platform) put(ctx *fasthttp.RequestCtx, path, expect string) {
	want, err := strconv.ParseUint(expect, 10, 64)
	if err != nil || !strings.HasPrefix(path, "/") || len(ctx.PostBody()) > 1<<20 {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes++
	kept := p.objects[path]
	var now uint64
	if len(kept) > 0 {
		now = kept[len(kept)-1].object.Version
	}
	if now != want {
		ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
		return
	}
	p.last++
	if p.objects == nil {
		p.objects = make(map[string][]version)
	}
	o := keeper.Object{Path: path, Version: p.last, Data: slices.Clone(ctx.PostBody())}
	p.objects[path] = append(kept, version{object: o, at: time.Now()})
	p.log = append(p.log, keeper.Stamp{Path: path, Version: p.last})
	if p.wake != nil {
		close(p.wake)
		p.wake = nil
	}
	if p.trouble.Lose > 0 {
		p.trouble.Lose--
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
		return
	}
	answer(ctx, keeper.Stamp{Path: path, Version: p.last})
}

// visible returns the versions of a path that reads see, oldest first.
func (p *Platform) visible(path string) []version {
	v := p.objects[path]
	for len(v) > 0 && time.Since(v[len(v)-1].at) < p.trouble.Stale {
		v = v[:len(v)-1]
	}
	return v
}

func (p *Platform) get(ctx *fasthttp.RequestCtx, path, wanted string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.visible(path)
	for i := len(v) - 1; i >= 0; i-- {
		if wanted == "" || strconv.FormatUint(v[i].object.Version, 10) == wanted {
			answer(ctx, v[i].object)
			return
		}
	}
	ctx.SetStatusCode(fasthttp.StatusNotFound)
}

func (p *Platform) versions(ctx *fasthttp.RequestCtx, path string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []keeper.Stamp{}
	for _, v := range slices.Backward(p.visible(path)) {
		out = append(out, keeper.Stamp{Path: path, Version: v.object.Version})
	}
	answer(ctx, out)
}

func (p *Platform) list(ctx *fasthttp.RequestCtx, prefix string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []keeper.Stamp{}
	for path := range p.objects {
		if v := p.visible(path); strings.HasPrefix(path, prefix) && len(v) > 0 {
			out = append(out, keeper.Stamp{Path: path, Version: v[len(v)-1].object.Version})
		}
	}
	slices.SortFunc(out, func(a, b keeper.Stamp) int { return strings.Compare(a.Path, b.Path) })
	answer(ctx, out)
}

func (p *Platform) watch(ctx *fasthttp.RequestCtx, prefix, after, wait string) {
	from, _ := strconv.ParseUint(after, 10, 64)
	d, _ := time.ParseDuration(wait)
	end := time.NewTimer(d)
	defer end.Stop()
	for {
		p.mu.Lock()
		b := p.since(prefix, from)
		if p.wake == nil {
			p.wake = make(chan struct{})
		}
		wake, closed := p.wake, p.closed
		p.mu.Unlock()
		if len(b.Changes) > 0 {
			answer(ctx, b)
			return
		}
		select {
		case <-wake:
		case <-closed:
			answer(ctx, b)
			return
		case <-end.C:
			answer(ctx, b)
			return
		}
	}
}

// since returns the newest write of each path under prefix past from.
func (p *Platform) since(prefix string, from uint64) keeper.Batch {
	b := keeper.Batch{After: from}
	if p.trouble.Deaf {
		return b
	}
	seen := make(map[string]bool)
	for _, s := range slices.Backward(p.log) {
		if s.Version <= from {
			break
		}
		if v := p.visible(s.Path); len(v) == 0 || v[len(v)-1].object.Version < s.Version {
			continue
		}
		b.After = max(b.After, s.Version)
		if strings.HasPrefix(s.Path, prefix) && !seen[s.Path] {
			seen[s.Path] = true
			b.Changes = append(b.Changes, s)
		}
	}
	slices.Reverse(b.Changes)
	return b
}

func (p *Platform) enlisted(ctx *fasthttp.RequestCtx, known string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	tag := strconv.Itoa(p.listed)
	if tag == known {
		ctx.SetStatusCode(fasthttp.StatusNotModified)
		return
	}
	out := []keeper.Instance{}
	for _, i := range p.instances {
		out = append(out, i)
	}
	slices.SortFunc(out, func(a, b keeper.Instance) int { return strings.Compare(a.Name, b.Name) })
	answer(ctx, struct {
		Tag  string            `json:"tag"`
		List []keeper.Instance `json:"list"`
	}{tag, out})
}

func answer(ctx *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// Post sends a body to a path of a stand-in that runs elsewhere.
func Post(addr, path string, body []byte) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod("POST")
	req.SetRequestURI("http://" + addr + path)
	req.SetBody(body)
	return fasthttp.DoTimeout(req, resp, 5*time.Second)
}
