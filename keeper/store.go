package keeper

import (
	"context"
	"time"

	"github.com/juju/errors"
)

const (
	// ErrConflict reports that the object is not at the expected version.
	ErrConflict = errors.ConstError("object is at another version")
	// ErrAbsent reports that there is no such object or version.
	ErrAbsent = errors.ConstError("no such object")
	// ErrUnchanged reports that a list is as it was when last read.
	ErrUnchanged = errors.ConstError("list is unchanged")
	// ErrUnavailable reports that the platform gave no answer in time. A
	// write that ends so may have taken effect, or may still do so.
	ErrUnavailable = errors.ConstError("platform gave no answer")
	// ErrRefused reports that the platform refused the call as it stands.
	ErrRefused = errors.ConstError("platform refused the call")
)

// Object is one version of one object.
type Object struct {
	// Path starts with a slash.
	Path string `json:"path"`
	// Version is above 0 and rises with each write to any path.
	Version uint64 `json:"version"`
	// Data is at most one megabyte.
	Data []byte `json:"data"`
}

// Stamp names a version of an object without its data.
type Stamp struct {
	Path    string `json:"path"`
	Version uint64 `json:"version"`
}

// Batch is what a watch saw.
type Batch struct {
	// After is the version to pass to the next watch.
	After uint64 `json:"after"`
	// Changes are in order of version.
	Changes []Stamp `json:"changes"`
}

// Instance is a line of the platform's list, which lags.
type Instance struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	// Addr is where callers or entries connect, an IP number and a port.
	Addr string `json:"addr"`
	// Peers and Ops are set for entries only.
	Peers string `json:"peers,omitempty"`
	Ops   string `json:"ops,omitempty"`
	// Service is the settings path that a server serves, empty for entries.
	Service string `json:"service,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
}

// Reader reads objects.
type Reader interface {
	// Get returns the newest version of an object, or ErrAbsent.
	Get(ctx context.Context, path string) (Object, error)
	// GetVersion returns one version of an object, or ErrAbsent.
	GetVersion(ctx context.Context, path string, version uint64) (Object, error)
	// Versions returns the versions of an object that are kept, newest first.
	Versions(ctx context.Context, path string) ([]Stamp, error)
	// List returns the newest version of each object under prefix.
	List(ctx context.Context, prefix string) ([]Stamp, error)
	// Watch waits at most wait for a write under prefix past version after.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Batch, error)
}

// Writer writes objects.
type Writer interface {
	// Put writes data if the object is at version expect, 0 meaning absent.
	// It returns the new version, or ErrConflict or ErrUnavailable.
	Put(ctx context.Context, path string, data []byte, expect uint64) (uint64, error)
}

// Store reads and writes objects.
type Store interface {
	Reader
	Writer
}

// Lister lists instances.
type Lister interface {
	// Instances returns the platform's list of entries and servers and the
	// tag of its state. If the state is still that of the tag known, it
	// returns ErrUnchanged.
	Instances(ctx context.Context, known string) ([]Instance, string, error)
}
