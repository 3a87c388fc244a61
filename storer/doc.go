// Package storer provides access to the platform: its object store with
// versions, conditional updates and watches, and its list of instances.
//
// Client is the only adapter for the platform's wire protocol. The rest of the
// system uses the interfaces Store and Lister.
package storer
