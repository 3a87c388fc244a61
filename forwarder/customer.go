package forwarder

import (
	"time"

	"github.com/valyala/fasthttp"

	"poplarwind/router"
)

// identify determines the route and the customer of a request by a configuration. It returns
// errNoRoute, or if the route needs the key of a customer, errNoKey if the request bears none or
// several, and errNoCustomer if it bears an unknown one.
func (x *exchange) identify(t *router.Table, host, uri string) error {
	if err := x.findRoute(t, host, uri); err != nil || !x.hasCustomers {
		return err
	}
	key, count := x.forwarder.options.Dialect.Key(&x.call.Request.Header)
	hasKey := count == 1 && len(key) > 0
	if hasKey {
		x.customer = t.Customer(key)
	}
	return x.checkCustomer(hasKey)
}

// findRoute determines the route of a request by a configuration.
func (x *exchange) findRoute(t *router.Table, host, uri string) error {
	x.version, x.hasCustomers, x.customer = t.Version(), t.HasCustomers(), nil
	if x.route = t.Find(host, uri); x.route == nil {
		return errNoRoute
	}
	return nil
}

// checkCustomer returns an error if the route needs the key of a customer and the request has no valid one.
func (x *exchange) checkCustomer(hasKey bool) error {
	switch {
	case x.customer != nil || x.route.Anonymous:
		return nil
	case hasKey:
		return errNoCustomer
	}
	return errNoKey
}

// rank returns the rank of the request: that of its customer, or of its route if the customer has
// none.
func (x *exchange) rank() int {
	if x.customer != nil && x.customer.Rank != nil {
		return *x.customer.Rank
	}
	return x.route.Rank
}

// setCustomer replaces what a request to an upstream states of the customer and its key by the
// name of the customer. Without customers in the configuration the headers stay as they are.
func (x *exchange) setCustomer(h *fasthttp.RequestHeader) {
	if !x.hasCustomers {
		return
	}
	name := ""
	if x.customer != nil {
		name = x.customer.Name
	}
	x.forwarder.options.Dialect.SetCustomer(h, name)
}

// setKey makes a request to another entry bear the key of the caller's request once, if that does: a
// caller may name the header as one of its connection, or have it in a trailer too, and the other
// entry would reject the request. Without customers in the configuration the headers stay as they are.
func (x *exchange) setKey(h *fasthttp.RequestHeader) {
	if !x.hasCustomers {
		return
	}
	key, count := x.forwarder.options.Dialect.Key(&x.call.Request.Header)
	if count != 1 {
		key = nil
	}
	x.forwarder.options.Dialect.SetKey(h, key)
}

// countQuota admits the request to the quota of its customer, once. A request that another entry
// serves is counted there. It returns errOverQuota if the quota is used up.
func (x *exchange) countQuota() error {
	if !x.hasQuota() || !x.countedAt.IsZero() {
		return nil
	}
	now := time.Now()
	d := x.forwarder.options.Quota.Admit(now, x.customer.Name)
	if !d.Admitted {
		x.retryAfter, x.quota = d.RetryAfter, &d
		return errOverQuota
	}
	x.countedAt = now
	return nil
}

// hasQuota reports whether the request counts for the quota of its customer.
func (x *exchange) hasQuota() bool {
	return x.forwarder.options.Quota != nil && x.customer != nil && x.customer.Limited()
}

// lateForQuota reports whether the request, which this entry has not sent yet, was admitted to the quota so long
// ago that it must not be sent any more.
func (x *exchange) lateForQuota() bool {
	if x.countedAt.IsZero() || len(x.attempted) > 0 {
		return false
	}
	now := time.Now()
	d := x.forwarder.options.Quota.Send(now, x.customer.Name, now.Sub(x.countedAt))
	if !d.Admitted {
		x.retryAfter, x.quota = d.RetryAfter, &d
	}
	return !d.Admitted
}

// returnUnusedQuota returns the admission to the quota if the request was sent to no upstream, unless it
// was rejected as late.
func (x *exchange) returnUnusedQuota() {
	if !x.countedAt.IsZero() && len(x.attempted) == 0 && x.quota == nil {
		x.forwarder.options.Quota.Return(time.Now(), x.customer.Name)
	}
}
