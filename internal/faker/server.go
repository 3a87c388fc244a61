package faker

import (
	"encoding/json"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Behavior configures the faults and the slowdown of a server. Its zero value
// configures none.
type Behavior struct {
	// Fail responds with status 500 at once, without running the call.
	Fail bool `json:"fail"`
	// Shed rejects calls beyond the slots with status 503 and the Server-Shed
	// header.
	Shed bool `json:"shed"`
	// Drain sets the Server-Leaving header on responses.
	Drain bool `json:"drain"`
	// Freeze delays every response until Freeze is cleared.
	Freeze bool `json:"freeze"`
	// Truncate closes the connection in the middle of each response.
	Truncate bool `json:"truncate"`
	// ReportZeroLoad reports a load of 0 instead of the actual load.
	ReportZeroLoad bool `json:"lie"`
	// Slow is the factor on the processing time of every call, 0 meaning 1.
	Slow float64 `json:"slow"`
	// Once in every NoisePeriod, calls are slowed by the factor Noise for
	// NoiseDuration.
	NoisePeriod   time.Duration `json:"every"`
	NoiseDuration time.Duration `json:"for"`
	Noise         float64       `json:"noise"`
	// WarmUp is the warm-up time after the start, in which calls are slowed by the
	// factor Noise.
	WarmUp time.Duration `json:"cold"`
}

// Server is a fake server. Set its exported fields before Serve. Its response
// to a call holds the Request-Id and the length of the request's body.
type Server struct {
	// Slots is the number of calls that run at once. Work is the processing time
	// of each, unless the request's Work header sets another.
	Slots int
	Work  time.Duration
	// Ledger receives the id of each call as it runs, one per line, so that the
	// record survives if the server is killed. It may be nil.
	Ledger io.Writer

	mu       sync.Mutex
	behavior Behavior
	runs     map[string]int
	slots    chan struct{}
	inFlight atomic.Int64
	// probes counts the load probes that were answered.
	probes atomic.Int64
	start  time.Time
	http   fasthttp.Server
}

// Serve serves requests on l until Close.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.slots = make(chan struct{}, max(1, s.Slots))
	s.runs = make(map[string]int)
	s.start = time.Now()
	s.mu.Unlock()
	s.http.Handler = s.handle
	s.http.MaxRequestBodySize = 8 << 20
	s.http.CloseOnShutdown = true
	return s.http.Serve(l)
}

// Close stops serving.
func (s *Server) Close() error { return s.http.Shutdown() }

// SetBehavior replaces the server's behavior.
func (s *Server) SetBehavior(b Behavior) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behavior = b
}

// Runs returns the number of times that the call with the id ran.
func (s *Server) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// Probes returns the number of load probes that were answered.
func (s *Server) Probes() int64 { return s.probes.Load() }

func (s *Server) currentBehavior() Behavior {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behavior
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case path == "/fake/mood":
		var b Behavior
		if err := json.Unmarshal(ctx.PostBody(), &b); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		s.SetBehavior(b)
	case strings.HasPrefix(path, "/probe"):
		s.probes.Add(1)
		s.setLoadHeaders(ctx, s.currentBehavior())
	default:
		s.execute(ctx)
	}
}

// setLoadHeaders adds the reported load and the draining state to a response.
func (s *Server) setLoadHeaders(ctx *fasthttp.RequestCtx, b Behavior) {
	load := s.inFlight.Load()
	if b.ReportZeroLoad {
		load = 0
	}
	ctx.Response.Header.Set("Server-Load", strconv.FormatInt(load, 10))
	if b.Drain {
		ctx.Response.Header.Set("Server-Leaving", "1")
	}
}

// execute runs one call.
func (s *Server) execute(ctx *fasthttp.RequestCtx) {
	b := s.currentBehavior()
	if b.Fail {
		s.setLoadHeaders(ctx, b)
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if b.Shed && s.inFlight.Load() > int64(s.Slots) {
		s.setLoadHeaders(ctx, b)
		ctx.Response.Header.Set("Server-Shed", "1")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	id := string(ctx.Request.Header.Peek("Request-Id"))
	s.slots <- struct{}{}
	s.mu.Lock()
	s.runs[id]++
	if s.Ledger != nil {
		_, _ = io.WriteString(s.Ledger, id+"\n")
	}
	s.mu.Unlock()
	s.simulateWork(string(ctx.Request.Header.Peek("Work")))
	<-s.slots
	for s.currentBehavior().Freeze {
		time.Sleep(5 * time.Millisecond)
	}
	s.setLoadHeaders(ctx, s.currentBehavior())
	ctx.Response.Header.Set("Request-Id", id)
	ctx.SetBodyString("answer to " + id + " of " + strconv.Itoa(len(ctx.PostBody())) + " bytes\n")
	if b.Truncate {
		s.truncate(ctx)
	}
}

// truncate sends a response that is 10 bytes shorter than its Content-Length,
// then closes the connection.
func (s *Server) truncate(ctx *fasthttp.RequestCtx) {
	body := string(ctx.Response.Body())
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)+10) + "\r\n\r\n" + body))
	})
}

// simulateWork sleeps for the processing time of one call. It looks up the
// slowdown every 1 ms, because it may change meanwhile.
func (s *Server) simulateWork(requested string) {
	remaining := s.Work
	if d, err := time.ParseDuration(requested); err == nil {
		remaining = min(d, 10*time.Second)
	}
	const step = time.Millisecond
	for remaining > 0 {
		factor := s.currentBehavior().slowdown(time.Since(s.start))
		d := min(step, time.Duration(float64(remaining)*factor))
		begin := time.Now()
		time.Sleep(d)
		remaining -= time.Duration(float64(time.Since(begin)) / factor)
	}
}

// slowdown returns the factor on the processing time for a server of the given
// age.
func (b Behavior) slowdown(age time.Duration) float64 {
	factor := 1.0
	if b.Slow > 0 {
		factor = b.Slow
	}
	noisy := b.NoisePeriod > 0 && age%b.NoisePeriod < b.NoiseDuration
	if noisy || age < b.WarmUp {
		factor *= max(1, b.Noise)
	}
	return factor
}
