// Package router finds the route of a request in the configuration in force:
// by host, then by the longest path prefix, then by the weights of the parts
// that the route splits its traffic between.
//
// A Table is immutable; the configuration changes by putting another one in
// its place.
package router
