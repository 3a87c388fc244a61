// Package watcher keeps the accepted settings and advances them.
//
// Book is the pure part: it holds, for each path, the newest version whose
// document is accepted, and the newest refused one with its fault. Versions
// only rise, from whichever source they come. Follower feeds a Book from the
// store's watch and from full comparisons; peers feed it through Offer.
package watcher
