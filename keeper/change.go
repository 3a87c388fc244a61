package keeper

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"poplarwind/internal/sleeper"
)

// ErrSuperseded reports that a change took effect and that another change
// has replaced it since.
const ErrSuperseded = errors.ConstError("change took effect and was replaced since")

// Prefix is where settings stand in the store.
const Prefix = "/settings"

// Envelope is what the store holds for one settings document.
type Envelope struct {
	// ID is unique to the change, so that a lost answer can be resolved.
	ID string `json:"id"`
	// By names the operator.
	By string `json:"by"`
	// At is the operator's clock, for people only.
	At time.Time `json:"at"`
	// Doc is the document as it was written, comments included.
	Doc string `json:"doc"`
}

// NewID returns a name for a change or an attempt that no other has.
func NewID() string { return rand.Text() }

// Open decodes the envelope in an object's data.
func Open(data []byte) (Envelope, error) {
	var e Envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return e, errors.Annotate(err, "settings envelope")
	}
	return e, nil
}

// Apply writes the envelope at the settings path if the object is at version
// expect. It resolves lost answers by reading back, until ctx ends, and
// returns the version of the change. It returns ErrConflict if another change
// won, ErrSuperseded with the version if one replaced it, and ErrUnavailable
// if it cannot tell whether the change took effect.
func Apply(ctx context.Context, s Store, path string, e Envelope, expect uint64) (uint64, error) {
	data, err := json.Marshal(e)
	if err != nil {
		return 0, errors.Trace(err)
	}
	for {
		v, err := s.Put(ctx, Prefix+path, data, expect)
		if err == nil {
			return v, nil
		}
		lost := errors.Is(err, ErrUnavailable)
		if !lost && !errors.Is(err, ErrConflict) {
			return 0, err
		}
		v, settled, found := findChange(ctx, s, path, e.ID, expect)
		switch {
		case found == nil && settled:
			return v, nil
		case errors.Is(found, ErrSuperseded), errors.Is(found, ErrConflict):
			return v, found
		}
		if ctx.Err() != nil {
			return 0, errors.Annotate(ErrUnavailable, "the change may have taken effect")
		}
		sleeper.Sleep(ctx, retryPause)
	}
}

const retryPause = 200 * time.Millisecond

// findChange looks for the change with the id among the versions past expect.
// Settled is false if it is not there and may still arrive.
func findChange(ctx context.Context, s Store, path, id string, expect uint64) (uint64, bool, error) {
	versions, err := s.Versions(ctx, Prefix+path)
	if errors.Is(err, ErrAbsent) {
		return 0, false, nil
	}
	if err != nil {
		return 0, false, err
	}
	for i, st := range versions {
		if st.Version <= expect {
			break
		}
		o, err := s.GetVersion(ctx, Prefix+path, st.Version)
		if err != nil {
			return 0, false, err
		}
		e, err := Open(o.Data)
		if err != nil || e.ID != id {
			continue
		}
		if i > 0 {
			return st.Version, true, errors.Trace(ErrSuperseded)
		}
		return st.Version, true, nil
	}
	if len(versions) > 0 && versions[0].Version > expect {
		return versions[0].Version, true, errors.Trace(ErrConflict)
	}
	return 0, false, nil
}
