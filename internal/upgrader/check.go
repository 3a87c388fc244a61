package upgrader

import (
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/platform/imitator"
)

// ErrBroken reports an outcome that breaks a promise.
const ErrBroken = errors.ConstError("promise broken")

// Check checks one outcome: a request that is not idempotent ran at most once, one that was rejected
// did not run, a success is the whole response to the request, and its route exists. Its error
// satisfies errors.Is(err, ErrBroken).
func (f *Fleet) Check(r Request) error {
	runs := 0
	for _, u := range f.Upstreams {
		runs += u.Runs(r.ID)
	}
	switch {
	case !r.Idempotent && runs > 1:
		return errors.Annotatef(ErrBroken, "%s: got: %d runs want: at most 1", r.ID, runs)
	case !r.Idempotent && r.Status == fasthttp.StatusServiceUnavailable && runs > 0:
		return errors.Annotatef(ErrBroken, "%s: got: 503 and %d runs want: none", r.ID, runs)
	case r.Status == fasthttp.StatusOK && (runs == 0 || r.Body != imitator.Body(r.ID)):
		return errors.Annotatef(ErrBroken, "%s: got: %q after %d runs want: the whole response", r.ID, r.Body, runs)
	case r.Status == fasthttp.StatusNotFound:
		return errors.Annotatef(ErrBroken, "%s: got: 404 want: a route", r.ID)
	}
	return nil
}
