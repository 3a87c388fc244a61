// Package watcher maintains the accepted settings and updates them.
//
// Cache performs no I/O: it holds, for each path, the newest version whose
// document was accepted, and the newest rejected version with its error. The
// accepted version never decreases, whatever the source of an update. Follower
// updates a Cache from the store's watch and from periodic full comparisons;
// updates from peers go through Cache.Apply.
package watcher
