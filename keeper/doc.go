// Package keeper speaks to the platform: its object store with versions,
// conditional updates and watches, and its list of instances.
//
// Client is the one adapter that knows the platform's wire interface. The
// rest of the system uses the interfaces Store and Lister.
package keeper
