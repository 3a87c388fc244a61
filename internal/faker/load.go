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

// CallKind is one kind of call in a load.
type CallKind struct {
	Method, URI string
	// Frequency is the relative frequency of the kind, among the frequencies of
	// all kinds.
	Frequency float64
	// Weight is the weight of a call of the kind in LoadReport.OnTime.
	Weight float64
	// Work is the processing time at the server, empty for the server's default.
	Work string
	// Keyed sends an idempotency key; Idempotent allows retries without one.
	Keyed, Idempotent bool
	Deadline          time.Duration
}

// ParseKind parses a kind such as
// "POST,/team/service/rest,share=2,weight=5,work=4ms,deadline=1s,keyed".
func ParseKind(text string) (CallKind, error) {
	parts := strings.Split(text, ",")
	if len(parts) < 2 || !strings.HasPrefix(parts[1], "/") {
		return CallKind{}, errors.Errorf("kind: got: %q want: METHOD,/path and name=value, by comma", text)
	}
	k := CallKind{Method: parts[0], URI: parts[1], Frequency: 1, Weight: 1, Deadline: time.Second}
	k.Idempotent = k.Method == "GET" || k.Method == "HEAD"
	for _, field := range parts[2:] {
		name, value, _ := strings.Cut(field, "=")
		var err error
		switch name {
		case "share":
			k.Frequency, err = strconv.ParseFloat(value, 64)
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
			return k, errors.Annotatef(err, "kind: %s", field)
		}
	}
	return k, nil
}

func (k CallKind) service() string {
	parts := strings.SplitN(strings.TrimPrefix(k.URI, "/"), "/", 3)
	if len(parts) < 2 {
		return k.URI
	}
	return "/" + parts[0] + "/" + parts[1]
}

// Load generates calls in an open loop, with Poisson arrivals: the times of the
// calls do not depend on responses, so that a slow response does not delay the
// next call.
type Load struct {
	Caller *Caller
	Kinds  []CallKind
	// Rate is in calls per second.
	Rate float64
	For  time.Duration
	Seed uint64
}

// CallOutcome is the outcome of one call as reported to its caller.
type CallOutcome struct {
	ID, Ran    string
	Idempotent bool
}

// Failure is one failed call: it was not reported as run, or its status was 500
// or above.
type Failure struct {
	ID, URI string
	// DueAt is the time at which the call was due, and Latency the time from
	// then to the outcome.
	DueAt   time.Time
	Latency time.Duration
	Outcome Outcome
}

// String returns the failure on one line.
func (f Failure) String() string {
	outcome := f.Outcome
	return fmt.Sprintf("%s %s due %s took %v at %s after %d attempts: status %d ran %q error %v body %q",
		f.ID, f.URI, f.DueAt.Format("05.000"), f.Latency.Round(time.Millisecond), outcome.Entry, outcome.Attempts, outcome.Status, outcome.Ran, outcome.Err, outcome.Body)
}

// maxFailures is the greatest number of failures that a report describes.
const maxFailures = 20

// LoadReport is the result of a load.
type LoadReport struct {
	Calls int `json:"calls"`
	// Good counts complete responses before the deadline, Late those after it,
	// Bad responses that belong to another call or are incomplete.
	Good int `json:"good"`
	Late int `json:"late"`
	Bad  int `json:"bad"`
	// Failed counts calls that were not reported as run, or got status 500 or
	// above. No and Unknown count those among all calls that were reported as
	// not run and as possibly run.
	Failed   int `json:"failed"`
	No       int `json:"no"`
	Unknown  int `json:"unknown"`
	Replayed int `json:"replayed"`
	// OnTime is the weighted fraction of calls counted as Good.
	OnTime float64 `json:"ontime"`
	// P50 to Max are latencies in milliseconds.
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
	// Hist holds latencies in microseconds.
	Hist *hdrhistogram.Histogram `json:"-"`
	// Outcomes holds the final outcome of each call.
	Outcomes []CallOutcome `json:"-"`
	// Failures describes the first failed calls, at most maxFailures.
	Failures []Failure `json:"-"`

	totalWeight, onTimeWeight float64
}

const maxLatencyMicros = int64(time.Minute / time.Microsecond)

// Run sends the load and waits for all outcomes.
func (l *Load) Run() *LoadReport {
	r := &LoadReport{Hist: hdrhistogram.New(1, maxLatencyMicros, 3)}
	random := rand.New(rand.NewPCG(l.Seed, 1))
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	arrival := time.Duration(0)
	for {
		arrival += time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second))
		if arrival > l.For {
			break
		}
		k := l.pickKind(random)
		time.Sleep(time.Until(start.Add(arrival)))
		dueAt := start.Add(arrival)
		wg.Go(func() {
			req := l.request(k)
			outcome := l.Caller.Do(req)
			latency := time.Since(dueAt)
			mu.Lock()
			defer mu.Unlock()
			r.record(k, req, outcome, dueAt, latency)
		})
	}
	wg.Wait()
	r.finalize()
	return r
}

// pickKind draws a kind at random, by the frequencies of the kinds.
func (l *Load) pickKind(random *rand.Rand) CallKind {
	total := 0.0
	for _, k := range l.Kinds {
		total += k.Frequency
	}
	x := random.Float64() * total
	for _, k := range l.Kinds {
		if x -= k.Frequency; x < 0 {
			return k
		}
	}
	return l.Kinds[len(l.Kinds)-1]
}

func (l *Load) request(k CallKind) Request {
	req := Request{
		Method: k.Method, URI: k.URI, Service: k.service(), ID: NewRequestID(),
		Idempotent: k.Idempotent, Deadline: k.Deadline, Header: map[string]string{},
	}
	if k.Keyed {
		req.Key = req.ID
	}
	if k.Work != "" {
		req.Header["Work"] = k.Work
	}
	if !k.Idempotent {
		req.Body = []byte("order " + req.ID)
	}
	return req
}

// record adds the outcome of one call to the report.
func (r *LoadReport) record(k CallKind, req Request, outcome Outcome, dueAt time.Time, latency time.Duration) {
	r.Calls++
	r.totalWeight += k.Weight
	r.Outcomes = append(r.Outcomes, CallOutcome{ID: req.ID, Ran: outcome.Ran, Idempotent: req.Idempotent})
	_ = r.Hist.RecordValue(min(maxLatencyMicros, latency.Microseconds()))
	switch outcome.Ran {
	case "no":
		r.No++
	case "unknown":
		r.Unknown++
	}
	if outcome.Replay {
		r.Replayed++
	}
	expectedBody := "answer to " + req.ID + " of " + strconv.Itoa(len(req.Body)) + " bytes\n"
	switch {
	case outcome.Ran != "yes" || outcome.Status >= 500:
		r.Failed++
		if len(r.Failures) < maxFailures {
			r.Failures = append(r.Failures, Failure{ID: req.ID, URI: req.URI, DueAt: dueAt, Latency: latency, Outcome: outcome})
		}
	case outcome.Body != expectedBody:
		r.Bad++
	case latency > k.Deadline:
		r.Late++
	default:
		r.Good++
		r.onTimeWeight += k.Weight
	}
}

// finalize computes OnTime and the percentiles.
func (r *LoadReport) finalize() {
	if r.totalWeight > 0 {
		r.OnTime = r.onTimeWeight / r.totalWeight
	}
	latencyAt := func(percentile float64) float64 { return float64(r.Hist.ValueAtQuantile(percentile)) / 1000 }
	r.P50, r.P99, r.P999, r.Max = latencyAt(50), latencyAt(99), latencyAt(99.9), float64(r.Hist.Max())/1000
}

// Violations counts the calls whose reported outcome contradicts the servers'
// record of the calls that ran.
type Violations struct {
	// Doubled counts calls that are not idempotent and ran more than once.
	Doubled int `json:"doubled"`
	// FalseNo counts calls that were reported as not run and did run.
	FalseNo int `json:"falseno"`
	// Lost counts calls that were reported as run and that no server ran.
	Lost int `json:"lost"`
}

// Verify compares the outcomes with runs, which returns how often a call ran.
func (r *LoadReport) Verify(runs func(id string) int) Violations {
	var v Violations
	for _, o := range r.Outcomes {
		n := runs(o.ID)
		if !o.Idempotent && n > 1 {
			v.Doubled++
		}
		if o.Ran == "no" && n > 0 {
			v.FalseNo++
		}
		if o.Ran == "yes" && n == 0 {
			v.Lost++
		}
	}
	return v
}
