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

	"poplarwind/storer"
)

// PlatformFaults holds the faults to inject into a platform. Its zero value is
// none.
type PlatformFaults struct {
	// Down answers every request with status 503.
	Down bool `json:"down"`
	// Delay is added to the time of every response.
	Delay time.Duration `json:"delay"`
	// LoseResponses is the number of subsequent writes that take effect but whose
	// response is lost: they get status 504.
	LoseResponses int `json:"lose"`
	// Staleness makes reads and watches omit writes that are younger than this.
	Staleness time.Duration `json:"stale"`
	// DropWatches makes watches report no changes.
	DropWatches bool `json:"deaf"`
}

type version struct {
	object storer.Object
	at     time.Time
}

func (v *version) ref() storer.VersionRef {
	return storer.VersionRef{Path: v.object.Path, Version: v.object.Version, Era: v.object.Era}
}

// Platform is a fake of the platform's object store and its list of instances.
// Its zero value is empty and without faults.
type Platform struct {
	mu sync.Mutex
	// lastVersion is the version of the newest write, and era the number of times
	// that the platform was restored.
	lastVersion, era uint64
	objects          map[string][]version
	// writeLog holds every write in order of version.
	writeLog  []storer.VersionRef
	instances map[string]storer.Instance
	// instancesRevision counts changes to instances.
	instancesRevision int
	faults            PlatformFaults
	calls             int
	writes            int
	changed           chan struct{}
	closed            chan struct{}
	server            fasthttp.Server
}

// Serve serves requests on l until Close.
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

// Close stops serving.
func (p *Platform) Close() error {
	p.mu.Lock()
	if p.closed != nil {
		close(p.closed)
		p.closed = nil
	}
	p.mu.Unlock()
	return p.server.Shutdown()
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

// Restore replaces the objects by a backup that lacks the last writes. Their versions
// are given out again, in a new era.
func (p *Platform) Restore(writes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.writeLog[:max(0, len(p.writeLog)-writes)]
	for _, lost := range p.writeLog[len(kept):] {
		stored := p.objects[lost.Path]
		p.objects[lost.Path] = stored[:len(stored)-1]
	}
	p.writeLog, p.lastVersion = slices.Clone(kept), 0
	if len(kept) > 0 {
		p.lastVersion = kept[len(kept)-1].Version
	}
	p.era++
	p.notify()
}

// notify wakes the watches. The lock must be held.
func (p *Platform) notify() {
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

// AddInstance adds an instance to the list, or replaces the one of the same name.
func (p *Platform) AddInstance(i storer.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.instances == nil {
		p.instances = make(map[string]storer.Instance)
	}
	p.instances[i.Name] = i
	p.instancesRevision++
}

// RemoveInstance removes an instance from the list.
func (p *Platform) RemoveInstance(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.instances, name)
	p.instancesRevision++
}

// RequestCounts returns the number of requests received and the number of writes
// handled.
func (p *Platform) RequestCounts() (calls, writes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls, p.writes
}

func (p *Platform) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if strings.HasPrefix(path, "/fake/") {
		p.handleControl(ctx, strings.TrimPrefix(path, "/fake/"))
		return
	}
	p.mu.Lock()
	faults := p.faults
	p.calls++
	p.mu.Unlock()
	time.Sleep(faults.Delay)
	if faults.Down {
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
		p.watch(ctx, arg("prefix"), arg("after"), arg("era"), arg("wait"))
	case path == "/v1/instances":
		p.listInstances(ctx, arg("known"))
	default:
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
	}
}

// handleControl serves the requests that configure the fake.
func (p *Platform) handleControl(ctx *fasthttp.RequestCtx, operation string) {
	var err error
	switch operation {
	case "trouble":
		var faults PlatformFaults
		if err = json.Unmarshal(ctx.PostBody(), &faults); err == nil {
			p.SetFaults(faults)
		}
	case "instance":
		var i storer.Instance
		if err = json.Unmarshal(ctx.PostBody(), &i); err == nil {
			p.AddInstance(i)
		}
	case "delist":
		p.RemoveInstance(string(ctx.PostBody()))
	}
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
	}
}

func (p *Platform) put(ctx *fasthttp.RequestCtx, path, expect string) {
	expected, err := strconv.ParseUint(expect, 10, 64)
	if err != nil || !strings.HasPrefix(path, "/") || len(ctx.PostBody()) > 1<<20 {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes++
	stored := p.objects[path]
	var current uint64
	if len(stored) > 0 {
		current = stored[len(stored)-1].object.Version
	}
	if current != expected {
		ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
		return
	}
	p.lastVersion++
	if p.objects == nil {
		p.objects = make(map[string][]version)
	}
	o := storer.Object{Path: path, Version: p.lastVersion, Era: p.era, Data: slices.Clone(ctx.PostBody())}
	p.objects[path] = append(stored, version{object: o, at: time.Now()})
	p.writeLog = append(p.writeLog, storer.VersionRef{Path: path, Version: p.lastVersion, Era: p.era})
	p.notify()
	if p.faults.LoseResponses > 0 {
		p.faults.LoseResponses--
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
		return
	}
	writeJSON(ctx, storer.VersionRef{Path: path, Version: p.lastVersion, Era: p.era})
}

// visibleVersions returns the versions of a path that reads return, oldest
// first.
func (p *Platform) visibleVersions(path string) []version {
	v := p.objects[path]
	for len(v) > 0 && time.Since(v[len(v)-1].at) < p.faults.Staleness {
		v = v[:len(v)-1]
	}
	return v
}

func (p *Platform) get(ctx *fasthttp.RequestCtx, path, requested string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.visibleVersions(path)
	for i := len(v) - 1; i >= 0; i-- {
		if requested == "" || strconv.FormatUint(v[i].object.Version, 10) == requested {
			writeJSON(ctx, v[i].object)
			return
		}
	}
	ctx.SetStatusCode(fasthttp.StatusNotFound)
}

func (p *Platform) versions(ctx *fasthttp.RequestCtx, path string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []storer.VersionRef{}
	for _, v := range slices.Backward(p.visibleVersions(path)) {
		out = append(out, v.ref())
	}
	writeJSON(ctx, out)
}

func (p *Platform) list(ctx *fasthttp.RequestCtx, prefix string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []storer.VersionRef{}
	for path := range p.objects {
		if v := p.visibleVersions(path); strings.HasPrefix(path, prefix) && len(v) > 0 {
			out = append(out, v[len(v)-1].ref())
		}
	}
	slices.SortFunc(out, func(a, b storer.VersionRef) int { return strings.Compare(a.Path, b.Path) })
	writeJSON(ctx, out)
}

func (p *Platform) watch(ctx *fasthttp.RequestCtx, prefix, after, era, wait string) {
	from, _ := strconv.ParseUint(after, 10, 64)
	known, _ := strconv.ParseUint(era, 10, 64)
	d, _ := time.ParseDuration(wait)
	end := time.NewTimer(d)
	defer end.Stop()
	for {
		p.mu.Lock()
		b := p.changesSince(prefix, from)
		restored := p.era != known
		if restored {
			b.Changes = nil
		}
		if p.changed == nil {
			p.changed = make(chan struct{})
		}
		changed, closed := p.changed, p.closed
		p.mu.Unlock()
		if len(b.Changes) > 0 || restored {
			writeJSON(ctx, b)
			return
		}
		select {
		case <-changed:
		case <-closed:
			writeJSON(ctx, b)
			return
		case <-end.C:
			writeJSON(ctx, b)
			return
		}
	}
}

// changesSince returns the newest write of each path under prefix after version
// from.
func (p *Platform) changesSince(prefix string, from uint64) storer.Batch {
	b := storer.Batch{After: from, Era: p.era}
	if p.faults.DropWatches {
		return b
	}
	seen := make(map[string]bool)
	for _, ref := range slices.Backward(p.writeLog) {
		if ref.Version <= from {
			break
		}
		if v := p.visibleVersions(ref.Path); len(v) == 0 || v[len(v)-1].object.Version < ref.Version {
			continue
		}
		b.After = max(b.After, ref.Version)
		if strings.HasPrefix(ref.Path, prefix) && !seen[ref.Path] {
			seen[ref.Path] = true
			b.Changes = append(b.Changes, ref)
		}
	}
	slices.Reverse(b.Changes)
	return b
}

func (p *Platform) listInstances(ctx *fasthttp.RequestCtx, knownTag string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	tag := strconv.Itoa(p.instancesRevision)
	if tag == knownTag {
		ctx.SetStatusCode(fasthttp.StatusNotModified)
		return
	}
	out := []storer.Instance{}
	for _, i := range p.instances {
		out = append(out, i)
	}
	slices.SortFunc(out, func(a, b storer.Instance) int { return strings.Compare(a.Name, b.Name) })
	writeJSON(ctx, struct {
		Tag  string            `json:"tag"`
		List []storer.Instance `json:"list"`
	}{tag, out})
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// Post sends a body to a path of the fake at addr.
func Post(addr, path string, body []byte) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod("POST")
	req.SetRequestURI("http://" + addr + path)
	req.SetBody(body)
	return fasthttp.DoTimeout(req, resp, 5*time.Second)
}
