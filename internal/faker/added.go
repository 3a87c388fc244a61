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

// Added measures the time that an entry adds: the same calls are sent to a
// server directly and through an entry, in turn, at a steady rate each.
type Added struct {
	// Server and Entry are addresses, URI is what both are asked for.
	Server, Entry, URI string
	// Rate is in calls a second, for each of the two ways.
	Rate float64
	For  time.Duration
}

// AddedReport is the result of an Added.
type AddedReport struct {
	Direct, Through *hdrhistogram.Histogram
	Failed          int
}

// At returns the quantile of both ways and what the entry adds, in
// milliseconds.
func (r *AddedReport) At(quantile float64) (direct, through, added float64) {
	direct = float64(r.Direct.ValueAtQuantile(quantile)) / 1000
	through = float64(r.Through.ValueAtQuantile(quantile)) / 1000
	return direct, through, through - direct
}

// Run sends the calls and waits for their answers.
func (a *Added) Run() *AddedReport {
	r := &AddedReport{Direct: hdrhistogram.New(1, histMax, 3), Through: hdrhistogram.New(1, histMax, 3)}
	var pool pooler.Pool
	var mu sync.Mutex
	var wg sync.WaitGroup
	random := rand.New(rand.NewPCG(1, 3))
	start := time.Now()
	due := time.Duration(0)
	for n := 0; due < a.For; n++ {
		due += time.Duration(random.ExpFloat64() / (2 * a.Rate) * float64(time.Second))
		time.Sleep(time.Until(start.Add(due)))
		addr, hist := a.Server, r.Direct
		if n%2 == 1 {
			addr, hist = a.Entry, r.Through
		}
		wg.Go(func() {
			begin := time.Now()
			err := a.one(&pool, addr)
			took := time.Since(begin)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				r.Failed++
				return
			}
			_ = hist.RecordValue(took.Microseconds())
		})
	}
	wg.Wait()
	return r
}

func (a *Added) one(pool *pooler.Pool, addr string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	c, err := pool.Get(ctx, addr, callerConns, false)
	if err != nil {
		return err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(a.URI)
	req.Header.SetHost(addr)
	req.Header.Set("Request-Id", "x")
	c.Deadline(time.Now().Add(time.Second))
	err = c.Send(req)
	if err == nil {
		err = c.Receive(resp, false, 1<<20)
	}
	if err == nil && resp.StatusCode() != fasthttp.StatusOK {
		err = errors.Errorf("status %d", resp.StatusCode())
	}
	if err != nil {
		pool.Drop(c)
		return err
	}
	pool.Put(c)
	return nil
}
