package forwarder

import (
	"github.com/valyala/fasthttp"

	"poplarwind/router"
)

// identify determines the route and the customer of a request by a configuration. It returns
// errNoRoute, or errNoCustomer if the route needs the key of a customer and the request bears
// none, an unknown one or several.
func (x *exchange) identify(t *router.Table, host, uri string) error {
	x.version, x.hasCustomers, x.customer = t.Version(), t.HasCustomers(), nil
	if x.route = t.Find(host, uri); x.route == nil {
		return errNoRoute
	}
	if !x.hasCustomers {
		return nil
	}
	if key, count := x.forwarder.options.Dialect.Key(&x.call.Request.Header); count == 1 {
		x.customer = t.Customer(key)
	}
	if x.customer == nil && !x.route.Anonymous {
		return errNoCustomer
	}
	return nil
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
