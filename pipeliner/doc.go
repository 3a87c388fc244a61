// Package pipeliner serves callers' HTTP/1.1 connections with pipelining.
//
// It reads the requests of a connection as they arrive and runs idempotent ones
// concurrently, so that a request does not wait for the responses to those ahead
// of it. Responses are written in the order of the requests. A request that must
// not run concurrently with others starts when all requests ahead of it have been
// answered, and those behind it wait for its response.
//
// Requests and responses are encoded by fasthttp. Its server is not used, since it
// reads a request only after it has answered the one before.
package pipeliner
