package faker

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/pooler"
)

// Overhead measures the latency that an entry adds: the same calls are sent to a
// server directly and through an entry, alternately, with Poisson arrivals.
type Overhead struct {
	// Server and Entry are addresses, URI is the URI requested from both.
	Server, Entry, URI string
	// Rate is the rate of each of the two paths, in calls per second.
	Rate float64
	For  time.Duration
}

// OverheadReport is the result of an Overhead measurement.
type OverheadReport struct {
	Direct, Through *hdrhistogram.Histogram
	Failed          int
}

// AtPercentile returns the latency of both paths at a percentile, and the
// difference between them, in milliseconds.
func (r *OverheadReport) AtPercentile(percentile float64) (direct, through, overhead float64) {
	direct = float64(r.Direct.ValueAtQuantile(percentile)) / 1000
	through = float64(r.Through.ValueAtQuantile(percentile)) / 1000
	return direct, through, through - direct
}

// Run sends the calls and waits for their responses.
func (o *Overhead) Run() *OverheadReport {
	r := &OverheadReport{Direct: hdrhistogram.New(1, maxLatencyMicros, 3), Through: hdrhistogram.New(1, maxLatencyMicros, 3)}
	var pool pooler.Pool
	var mu sync.Mutex
	var wg sync.WaitGroup
	random := rand.New(rand.NewPCG(1, 3))
	start := time.Now()
	arrival := time.Duration(0)
	for n := 0; arrival < o.For; n++ {
		arrival += time.Duration(random.ExpFloat64() / (2 * o.Rate) * float64(time.Second))
		time.Sleep(time.Until(start.Add(arrival)))
		addr, hist := o.Server, r.Direct
		if n%2 == 1 {
			addr, hist = o.Entry, r.Through
		}
		wg.Go(func() {
			sentAt := time.Now()
			err := o.send(&pool, addr)
			latency := time.Since(sentAt)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				r.Failed++
				return
			}
			_ = hist.RecordValue(latency.Microseconds())
		})
	}
	wg.Wait()
	return r
}

func (o *Overhead) send(pool *pooler.Pool, addr string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	c, err := pool.Get(ctx, addr, callerConns, false)
	if err != nil {
		return err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(o.URI)
	req.Header.SetHost(addr)
	req.Header.Set("Request-Id", "x")
	c.SetDeadline(time.Now().Add(time.Second))
	err = c.Send(req)
	if err == nil {
		err = c.Receive(resp, false, 1<<20)
	}
	if err == nil && resp.StatusCode() != fasthttp.StatusOK {
		err = errors.Errorf("status %d", resp.StatusCode())
	}
	if err != nil {
		pool.Discard(c)
		return err
	}
	pool.Put(c)
	return nil
}
