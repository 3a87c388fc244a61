package storer

import (
	"cmp"
	"context"
	"time"

	"github.com/juju/errors"
)

const (
	// ErrConflict reports that an object is not at the expected version.
	ErrConflict = errors.ConstError("object is at another version")
	// ErrNotFound reports that an object or version does not exist.
	ErrNotFound = errors.ConstError("no such object")
	// ErrUnchanged reports that a list has not changed since it was last read.
	ErrUnchanged = errors.ConstError("list is unchanged")
	// ErrUnavailable reports that the platform did not respond in time, or
	// responded with a server error or an undecodable body. A write that fails
	// with it may have taken effect, or may still take effect.
	ErrUnavailable = errors.ConstError("platform gave no answer")
	// ErrRejected reports that the platform rejected the request as invalid.
	ErrRejected = errors.ConstError("platform refused the call")
)

// Revision orders the versions of an object. A store that was restored from a backup,
// and has lost its last writes, gives out their versions again in a later era.
type Revision struct {
	// Era is the era in which the version was written.
	Era     uint64
	Version uint64
}

// Compare returns -1, 0 or 1 if r is older than, equal to or newer than other.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Version, other.Version))
}

// Object is one version of an object.
type Object struct {
	// Path starts with a slash.
	Path string `json:"path"`
	// Version is above 0 and increases with each write to any path of the same era.
	Version uint64 `json:"version"`
	// Era is the era in which the version was written.
	Era uint64 `json:"era,omitempty"`
	// Data holds at most one megabyte.
	Data []byte `json:"data"`
}

// Revision returns the position of the object among the versions of its path.
func (o *Object) Revision() Revision { return Revision{Era: o.Era, Version: o.Version} }

// VersionRef identifies a version of an object, without its data.
type VersionRef struct {
	Path    string `json:"path"`
	Version uint64 `json:"version"`
	Era     uint64 `json:"era,omitempty"`
}

// Revision returns the position of the version among those of its path.
func (r VersionRef) Revision() Revision { return Revision{Era: r.Era, Version: r.Version} }

// Batch is the result of one watch request.
type Batch struct {
	// After is the version to pass to the next watch.
	After uint64 `json:"after"`
	// Era is the current era of the store.
	Era uint64 `json:"era,omitempty"`
	// Changes are sorted by version.
	Changes []VersionRef `json:"changes"`
}

// Instance is one element of the platform's list of instances. The list may be
// out of date.
type Instance struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	// Addr is the IP address and port that callers of an entry, or entries in
	// the case of a server, connect to.
	Addr string `json:"addr"`
	// Peers and Ops are the listen addresses for other entries and for operators.
	// They are set for entries only.
	Peers string `json:"peers,omitempty"`
	Ops   string `json:"ops,omitempty"`
	// Service is the settings path of a server's service, empty for entries.
	Service  string `json:"service,omitempty"`
	Draining bool   `json:"leaving,omitempty"`
}

// Reader reads objects.
type Reader interface {
	// Get returns the newest version of an object, or ErrNotFound.
	Get(ctx context.Context, path string) (Object, error)
	// GetVersion returns one version of an object, or ErrNotFound.
	GetVersion(ctx context.Context, path string, version uint64) (Object, error)
	// Versions returns the retained versions of an object, newest first.
	Versions(ctx context.Context, path string) ([]VersionRef, error)
	// List returns the newest version of each object under prefix.
	List(ctx context.Context, prefix string) ([]VersionRef, error)
	// Watch waits for a write under prefix with a version above that of after, for
	// at most wait. It returns at once, without changes, if after belongs to another
	// era than the current one of the store.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Batch, error)
}

// Writer writes objects.
type Writer interface {
	// Put writes data if the object is at version expect, or absent if expect
	// is 0. It returns the new revision, or ErrConflict or ErrUnavailable.
	Put(ctx context.Context, path string, data []byte, expect uint64) (Revision, error)
}

// Store reads and writes objects.
type Store interface {
	Reader
	Writer
}

// Lister lists instances.
type Lister interface {
	// Instances returns the platform's list of entries and servers and the
	// tag of its current state. It returns ErrUnchanged if the state is still
	// that identified by tag.
	Instances(ctx context.Context, tag string) ([]Instance, string, error)
}
