package forwarder

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/apportioner"
	"poplarwind/internal/sanitizer"
	"poplarwind/placer"
)

// statusByCause maps the cause of a missing upstream response to the status
// that the caller gets if certainly no upstream ran the request. Other causes
// get 503.
var statusByCause = []struct {
	cause  error
	status int
}{
	{errNoRoute, fasthttp.StatusNotFound},
	{errNoCustomer, fasthttp.StatusUnauthorized},
	{errNoKey, fasthttp.StatusUnauthorized},
	{errOverQuota, fasthttp.StatusTooManyRequests},
	{errBodyTooLarge, fasthttp.StatusRequestEntityTooLarge},
}

// status returns the status of a request that has no upstream response. A
// request that may have run gets 502 or 504, which do not state whether it
// ran.
func (x *exchange) status(err error) int {
	if x.mayHaveRun {
		if !time.Now().Before(x.deadline) {
			return fasthttp.StatusGatewayTimeout
		}
		return fasthttp.StatusBadGateway
	}
	for _, s := range statusByCause {
		if errors.Is(err, s.cause) {
			return s.status
		}
	}
	return fasthttp.StatusServiceUnavailable
}

// respond sets the response to the caller.
func (x *exchange) respond(res result) {
	if res.resp != nil {
		x.useResponse(res.resp)
		return
	}
	status := x.status(res.err)
	resp := x.call.Response
	resp.SetStatusCode(status)
	if x.relayed && len(x.attempted) > 0 {
		resp.Header.Set(headerAttempts, strconv.Itoa(len(x.attempted)))
	}
	if status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests {
		x.setRetryAfter(res.err)
		resp.Header.Set("Retry-After", strconv.FormatFloat(x.retryAfter.Seconds(), 'f', 3, 64))
	}
	body, err := json.Marshal(struct {
		Error string `json:"error"`
	}{res.err.Error()})
	if err != nil {
		body = nil
	}
	resp.Header.SetContentType("application/json")
	resp.SetBody(body)
}

// useResponse makes an upstream's response, without its hop-by-hop headers, the
// response to the caller.
func (x *exchange) useResponse(resp *fasthttp.Response) {
	sanitizer.StripHopByHop(&resp.Header)
	resp.Header.ResetConnectionClose()
	fasthttp.ReleaseResponse(x.call.Response)
	x.call.Response = resp
}

// Record is the outcome of a request.
type Record struct {
	ID, Route, Service string
	// Upstreams are the IDs of the upstreams that the request was sent to, in
	// order.
	Upstreams []string
	Status    int
	// Cause is the reason for a missing upstream response, empty if there is a
	// response.
	Cause string
	// Version is the version of the configuration that the request was routed
	// with.
	Version int64
	// QueueTime is the time from arrival until the request last left the admission
	// queue, 0 if it was not queued. Duration is the time from arrival
	// to the response, and TimeLeft the time that remained until the deadline.
	QueueTime, Duration, TimeLeft time.Duration
	RetryAfter                    time.Duration
	Rank                          int
	// Estimate is the estimate by which no upstream has a slot in time, nil if that is not the cause.
	Estimate *WaitEstimate
	// Customer is the name of the customer, empty if there is none, and Quota the decision by
	// which the request is beyond its quota, nil if it is not.
	Customer string
	Quota    *apportioner.Decision
	// Hedge describes the hedge of the request, nil if there was none.
	Hedge *HedgeRecord
	// RelayedTo are the addresses of the entries that the request was relayed to.
	RelayedTo []string
	// Fingerprint identifies the copies of a request in quarantine, empty for others.
	Fingerprint string
	// Loads are the last reported loads of Upstreams at the time of the
	// response.
	Loads []Load
}

// Load is the last known load of an upstream.
type Load struct {
	// InFlight counts the requests of this entry at the upstream, Running and
	// Waiting those of all entries in the last report.
	InFlight int     `json:"own"`
	Running  int     `json:"running"`
	Waiting  int     `json:"waiting"`
	Slowness float64 `json:"slowness"`
	// Age is the age of the report, negative if there was none.
	Age time.Duration `json:"age_ns"`
}

func loadOf(u *placer.Upstream, now time.Time) Load {
	r := u.Report()
	l := Load{InFlight: u.InFlight(), Running: r.Running, Waiting: r.Waiting, Slowness: r.Slowness, Age: -1}
	if !r.At.IsZero() {
		l.Age = now.Sub(r.At)
	}
	return l
}

func (x *exchange) record(res result) *Record {
	now := time.Now()
	r := &Record{ID: x.id, Status: x.call.Response.StatusCode(), Version: x.version, QueueTime: x.queueTime, Duration: now.Sub(x.call.ArrivedAt)}
	if res.err != nil {
		r.Cause = res.err.Error()
	}
	if errors.Is(res.err, errQuarantined) {
		r.Fingerprint = x.fingerprint().String()
	}
	if x.route == nil {
		return r
	}
	if x.customer != nil {
		r.Customer, r.Quota = x.customer.Name, x.quota
	}
	r.Route, r.Rank, r.RetryAfter = x.route.Name, x.rank(), x.retryAfter
	// A request that was rejected before has no deadline.
	if x.service == nil {
		return r
	}
	r.TimeLeft = x.deadline.Sub(now)
	r.Service, r.RelayedTo, r.Hedge = x.service.name, x.relayedTo, x.hedged
	if errors.Is(res.err, errNoSlot) {
		r.Estimate = &x.estimate
	}
	x.service.mu.Lock()
	defer x.service.mu.Unlock()
	for _, u := range x.attempted {
		r.Upstreams = append(r.Upstreams, u.ID())
		r.Loads = append(r.Loads, loadOf(u, now))
	}
	return r
}
