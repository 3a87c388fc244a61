// Package router selects the route of a request from the active configuration
// by host and longest path prefix, and the service by the weights of the route's
// traffic split.
//
// The routes of a Table are immutable; a new configuration replaces the Table.
package router
