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

// Mood is how a server behaves. Its zero value is health.
type Mood struct {
	// Fail answers status 500 at once, without running the call.
	Fail bool `json:"fail"`
	// Shed refuses calls past the slots with 503 and a shed marker.
	Shed bool `json:"shed"`
	// Drain marks answers with the leaving header.
	Drain bool `json:"drain"`
	// Freeze holds every answer back until the mood changes.
	Freeze bool `json:"freeze"`
	// Truncate closes the connection in the middle of each answer.
	Truncate bool `json:"truncate"`
	// Lie reports no load whatever it is.
	Lie bool `json:"lie"`
	// Slow multiplies the time of every call, 0 meaning 1.
	Slow float64 `json:"slow"`
	// Every and For slow calls by Noise for a while, time and again.
	Every time.Duration `json:"every"`
	For   time.Duration `json:"for"`
	Noise float64       `json:"noise"`
	// Cold slows the calls of a server's first while by Noise.
	Cold time.Duration `json:"cold"`
}

// Server is a stand-in for a server. Set its fields before
// Serve. It answers a call by echoing its Request-Id and a digest of its body.
type Server struct {
	// Slots is how many calls run at once, Work how long each takes unless
	// the caller's Work header says otherwise.
	Slots int
	Work  time.Duration
	// Ledger is told the id of each call as it runs, one a line, so that a
	// record outlives a server that is killed. It may be nil.
	Ledger io.Writer

	mu    sync.Mutex
	mood  Mood
	runs  map[string]int
	slots chan struct{}
	busy  atomic.Int64
	// probes counts probes answered.
	probes atomic.Int64
	start  time.Time
	http   fasthttp.Server
}

// Serve answers on l until Close.
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

// Close stops answering.
func (s *Server) Close() error { return s.http.Shutdown() }

// Set changes the mood.
func (s *Server) Set(m Mood) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mood = m
}

// Runs returns how often the call with the id ran.
func (s *Server) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// Probes returns how many probes were answered.
func (s *Server) Probes() int64 { return s.probes.Load() }

func (s *Server) now() Mood {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mood
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case path == "/fake/mood":
		var m Mood
		if err := json.Unmarshal(ctx.PostBody(), &m); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		s.Set(m)
	case strings.HasPrefix(path, "/probe"):
		s.probes.Add(1)
		s.mark(ctx, s.now())
	default:
		s.run(ctx)
	}
}

// mark adds what a server tells of itself to its answer.
func (s *Server) mark(ctx *fasthttp.RequestCtx, m Mood) {
	load := s.busy.Load()
	if m.Lie {
		load = 0
	}
	ctx.Response.Header.Set("Server-Load", strconv.FormatInt(load, 10))
	if m.Drain {
		ctx.Response.Header.Set("Server-Leaving", "1")
	}
}

func (s *Server) run(ctx *fasthttp.RequestCtx) {
	m := s.now()
	if m.Fail {
		s.mark(ctx, m)
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	s.busy.Add(1)
	defer s.busy.Add(-1)
	if m.Shed && s.busy.Load() > int64(s.Slots) {
		s.mark(ctx, m)
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
	s.work(string(ctx.Request.Header.Peek("Work")))
	<-s.slots
	for s.now().Freeze {
		time.Sleep(5 * time.Millisecond)
	}
	s.mark(ctx, s.now())
	ctx.Response.Header.Set("Request-Id", id)
	ctx.SetBodyString("answer to " + id + " of " + strconv.Itoa(len(ctx.PostBody())) + " bytes\n")
	if m.Truncate {
		s.truncate(ctx)
	}
}

// truncate answers with a longer length than it sends, then hangs up.
func (s *Server) truncate(ctx *fasthttp.RequestCtx) {
	body := string(ctx.Response.Body())
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)+10) + "\r\n\r\n" + body))
	})
}

// work takes the time of one call, looking at the noise each millisecond.
func (s *Server) work(wanted string) {
	left := s.Work
	if d, err := time.ParseDuration(wanted); err == nil {
		left = min(d, 10*time.Second)
	}
	const step = time.Millisecond
	for left > 0 {
		f := s.now().factor(time.Since(s.start))
		d := min(step, time.Duration(float64(left)*f))
		begin := time.Now()
		time.Sleep(d)
		left -= time.Duration(float64(time.Since(begin)) / f)
	}
}

// factor returns by how much a call is slowed at the age of its server.
func (m Mood) factor(age time.Duration) float64 {
	f := 1.0
	if m.Slow > 0 {
		f = m.Slow
	}
	noisy := m.Every > 0 && age%m.Every < m.For
	if noisy || age < m.Cold {
		f *= max(1, m.Noise)
	}
	return f
}
