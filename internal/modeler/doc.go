// Package modeler plays upstreams whose load shifts in milliseconds, in virtual
// time, against the production decisions of placer and limiter.
//
// Upstreams work several times slower in phases of a fraction of a second, and
// how slow one is when a request starts holds for the whole request, as it was
// measured on the users' upstreams. Several entries see them through questions
// and answers that take their time. A run is a function of its settings and its
// seed alone.
package modeler
