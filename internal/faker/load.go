package faker

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"
)

// LoadKind is one kind of call in a load.
type LoadKind struct {
	Method, URI string
	// Share is how often the kind is sent, among the shares of all.
	Share float64
	// Weight is how much an answer in time counts.
	Weight float64
	// Work is the time a server takes, empty for the server's own.
	Work string
	// Keyed sends an idempotency key; Idempotent allows repeated sendings.
	Keyed, Idempotent bool
	Deadline          time.Duration
}

// ParseKind reads a kind such as
// "POST,/team/service/rest,share=2,weight=5,work=4ms,deadline=1s,keyed".
func ParseKind(text string) (LoadKind, error) {
	parts := strings.Split(text, ",")
	if len(parts) < 2 || !strings.HasPrefix(parts[1], "/") {
		return LoadKind{}, errors.Errorf("kind: got: %q want: METHOD,/path and name=value, by comma", text)
	}
	k := LoadKind{Method: parts[0], URI: parts[1], Share: 1, Weight: 1, Deadline: time.Second}
	k.Idempotent = k.Method == "GET" || k.Method == "HEAD"
	for _, p := range parts[2:] {
		name, value, _ := strings.Cut(p, "=")
		var err error
		switch name {
		case "share":
			k.Share, err = strconv.ParseFloat(value, 64)
		case "weight":
			k.Weight, err = strconv.ParseFloat(value, 64)
		case "deadline":
			k.Deadline, err = time.ParseDuration(value)
		case "work":
			k.Work = value
			_, err = time.ParseDuration(value)
		case "keyed":
			k.Keyed = true
		default:
			err = errors.New("unknown name")
		}
		if err != nil {
			return k, errors.Annotatef(err, "kind: %s", p)
		}
	}
	return k, nil
}

func (k LoadKind) service() string {
	parts := strings.SplitN(strings.TrimPrefix(k.URI, "/"), "/", 3)
	if len(parts) < 2 {
		return k.URI
	}
	return "/" + parts[0] + "/" + parts[1]
}

// Load sends calls at a steady rate whatever the answers, so that a slow
// answer does not hold back the next arrival.
type Load struct {
	Caller *Caller
	Kinds  []LoadKind
	// Rate is in calls a second.
	Rate float64
	For  time.Duration
	Seed uint64
}

// Told is what the caller of one call was told.
type Told struct {
	ID, Ran    string
	Idempotent bool
}

// Failure is one call without an answer of a server.
type Failure struct {
	ID, URI string
	// At is when the call was due, and Took how long it took.
	At     time.Time
	Took   time.Duration
	Answer Answer
}

// String returns the failure on one line.
func (f Failure) String() string {
	a := f.Answer
	return fmt.Sprintf("%s %s due %s took %v at %s after %d sendings: status %d ran %q error %v body %q",
		f.ID, f.URI, f.At.Format("05.000"), f.Took.Round(time.Millisecond), a.Entry, a.Sent, a.Status, a.Ran, a.Err, a.Body)
}

// maxFailures bounds the failures that a report describes.
const maxFailures = 20

// LoadReport is the result of a load.
type LoadReport struct {
	Calls int `json:"calls"`
	// Good counts whole answers in time, Late those after the deadline, Bad
	// answers that are not the call's own or not whole.
	Good int `json:"good"`
	Late int `json:"late"`
	Bad  int `json:"bad"`
	// Failed counts calls without an answer of a server, No and Unknown those
	// among all calls that were told so.
	Failed   int `json:"failed"`
	No       int `json:"no"`
	Unknown  int `json:"unknown"`
	Replayed int `json:"replayed"`
	// OnTime is the weighted share of calls answered well and in time.
	OnTime float64 `json:"ontime"`
	// P50 to Max are latencies in milliseconds.
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
	// Hist holds latencies in microseconds.
	Hist *hdrhistogram.Histogram `json:"-"`
	// Told is what each caller was told in the end.
	Told []Told `json:"-"`
	// Failures says how the first calls that failed ended, at most
	// maxFailures.
	Failures []Failure `json:"-"`

	wanted, got float64
}

const histMax = int64(time.Minute / time.Microsecond)

// Run sends the load and waits for all answers.
func (l *Load) Run() *LoadReport {
	r := &LoadReport{Hist: hdrhistogram.New(1, histMax, 3)}
	random := rand.New(rand.NewPCG(l.Seed, 1))
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	due := time.Duration(0)
	for {
		due += time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second))
		if due > l.For {
			break
		}
		k := l.kind(random)
		time.Sleep(time.Until(start.Add(due)))
		at := start.Add(due)
		wg.Go(func() {
			q := l.request(k)
			a := l.Caller.Do(q)
			took := time.Since(at)
			mu.Lock()
			defer mu.Unlock()
			r.take(k, q, a, at, took)
		})
	}
	wg.Wait()
	r.close()
	return r
}

func (l *Load) kind(random *rand.Rand) LoadKind {
	sum := 0.0
	for _, k := range l.Kinds {
		sum += k.Share
	}
	x := random.Float64() * sum
	for _, k := range l.Kinds {
		if x -= k.Share; x < 0 {
			return k
		}
	}
	return l.Kinds[len(l.Kinds)-1]
}

func (l *Load) request(k LoadKind) Request {
	q := Request{
		Method: k.Method, URI: k.URI, Service: k.service(), ID: NewRequestID(),
		Idempotent: k.Idempotent, Deadline: k.Deadline, Header: map[string]string{},
	}
	if k.Keyed {
		q.Key = q.ID
	}
	if k.Work != "" {
		q.Header["Work"] = k.Work
	}
	if !k.Idempotent {
		q.Body = []byte("order " + q.ID)
	}
	return q
}

// take takes in the end of one call.
func (r *LoadReport) take(k LoadKind, q Request, a Answer, at time.Time, took time.Duration) {
	r.Calls++
	r.wanted += k.Weight
	r.Told = append(r.Told, Told{ID: q.ID, Ran: a.Ran, Idempotent: q.Idempotent})
	_ = r.Hist.RecordValue(min(histMax, took.Microseconds()))
	switch a.Ran {
	case "no":
		r.No++
	case "unknown":
		r.Unknown++
	}
	if a.Replay {
		r.Replayed++
	}
	want := "answer to " + q.ID + " of " + strconv.Itoa(len(q.Body)) + " bytes\n"
	switch {
	case a.Ran != "yes" || a.Status >= 500:
		r.Failed++
		if len(r.Failures) < maxFailures {
			r.Failures = append(r.Failures, Failure{ID: q.ID, URI: q.URI, At: at, Took: took, Answer: a})
		}
	case a.Body != want:
		r.Bad++
	case took > k.Deadline:
		r.Late++
	default:
		r.Good++
		r.got += k.Weight
	}
}

func (r *LoadReport) close() {
	if r.wanted > 0 {
		r.OnTime = r.got / r.wanted
	}
	at := func(q float64) float64 { return float64(r.Hist.ValueAtQuantile(q)) / 1000 }
	r.P50, r.P99, r.P999, r.Max = at(50), at(99), at(99.9), float64(r.Hist.Max())/1000
}

// Verdict compares what callers were told with what servers ran.
type Verdict struct {
	// Doubled counts calls that must not run twice and did.
	Doubled int `json:"doubled"`
	// FalseNo counts calls that were said not to have run and did.
	FalseNo int `json:"falseno"`
	// Lost counts calls that were answered and that no server ran.
	Lost int `json:"lost"`
}

// Judge counts broken promises, given how often each call ran.
func (r *LoadReport) Judge(runs func(id string) int) Verdict {
	var v Verdict
	for _, t := range r.Told {
		n := runs(t.ID)
		if !t.Idempotent && n > 1 {
			v.Doubled++
		}
		if t.Ran == "no" && n > 0 {
			v.FalseNo++
		}
		if t.Ran == "yes" && n == 0 {
			v.Lost++
		}
	}
	return v
}
