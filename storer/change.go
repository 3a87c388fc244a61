package storer

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"poplarwind/internal/sleeper"
)

// ErrSuperseded reports that a change took effect and has since been replaced
// by another change.
const ErrSuperseded = errors.ConstError("change took effect but has since been superseded")

// Prefix is the path prefix of settings in the store.
const Prefix = "/settings"

// Envelope is the stored form of one settings document.
type Envelope struct {
	// ID is unique to the change, so that the outcome of a write whose response
	// was lost can be determined by reading back.
	ID string `json:"id"`
	// Author is the name of the operator.
	Author string `json:"by"`
	// WrittenAt is the time by the operator's clock. It is informational only.
	WrittenAt time.Time `json:"at"`
	// Doc is the text of the document, including comments.
	Doc string `json:"doc"`
}

// NewID returns a unique identifier for a change or an attempt.
func NewID() string { return rand.Text() }

// DecodeEnvelope decodes an object's data as an envelope.
func DecodeEnvelope(data []byte) (Envelope, error) {
	var e Envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return e, errors.Annotate(err, "settings envelope")
	}
	return e, nil
}

// Apply writes the envelope at the settings path if the object is at version
// expect, and returns the version of the change. If the response to a write is
// lost, it reads back the object's versions to determine the outcome, and
// retries until ctx ends. It returns ErrConflict if another change was written
// instead, ErrSuperseded with the version if the change took effect but has
// been replaced, and ErrUnavailable if it is unknown whether the change took
// effect.
func Apply(ctx context.Context, s Store, path string, e Envelope, expect uint64) (uint64, error) {
	data, err := json.Marshal(e)
	if err != nil {
		return 0, errors.Trace(err)
	}
	for {
		v, err := s.Put(ctx, Prefix+path, data, expect)
		if err == nil {
			return v.Version, nil
		}
		uncertain := errors.Is(err, ErrUnavailable)
		if !uncertain && !errors.Is(err, ErrConflict) {
			return 0, err
		}
		found, decided, findErr := findChange(ctx, s, path, e.ID, expect)
		switch {
		case findErr == nil && decided:
			return found, nil
		case errors.Is(findErr, ErrSuperseded), errors.Is(findErr, ErrConflict):
			return found, findErr
		}
		if ctx.Err() != nil {
			return 0, errors.Annotate(ErrUnavailable, "the change may have taken effect")
		}
		sleeper.Sleep(ctx, retryDelay)
	}
}

const retryDelay = 200 * time.Millisecond

// findChange searches the versions above expect for the change with the id. The
// second result is false if the outcome is undecided: the change is not there,
// but may still be written.
func findChange(ctx context.Context, s Store, path, id string, expect uint64) (uint64, bool, error) {
	versions, err := s.Versions(ctx, Prefix+path)
	if errors.Is(err, ErrNotFound) {
		return 0, false, nil
	}
	if err != nil {
		return 0, false, err
	}
	for i, ref := range versions {
		if ref.Version <= expect {
			break
		}
		o, err := s.GetVersion(ctx, Prefix+path, ref.Version)
		if err != nil {
			return 0, false, err
		}
		e, err := DecodeEnvelope(o.Data)
		if err != nil || e.ID != id {
			continue
		}
		if i > 0 {
			return ref.Version, true, errors.Trace(ErrSuperseded)
		}
		return ref.Version, true, nil
	}
	if len(versions) > 0 && versions[0].Version > expect {
		return versions[0].Version, true, errors.Trace(ErrConflict)
	}
	return 0, false, nil
}
