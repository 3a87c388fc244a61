package claimer

import (
	"context"

	"github.com/juju/errors"
)

// Status is what operators are told of one key.
type Status struct {
	Service string `json:"service"`
	State   State  `json:"state"`
	// Entry names the instance that wrote the record last.
	Entry   string `json:"entry"`
	Attempt string `json:"attempt"`
	Version uint64 `json:"version"`
	// Status is that of the recorded answer, 0 if none is recorded.
	Status int `json:"status,omitempty"`
}

// Lookup reads the claim of a key. It returns keeper.ErrAbsent if no call with
// the key ever took one.
func Lookup(ctx context.Context, s Store, service, key string) (Status, error) {
	o, err := s.Get(ctx, Path(service, key))
	if err != nil {
		return Status{}, errors.Trace(err)
	}
	r, err := decode(o.Data)
	if err != nil {
		return Status{}, err
	}
	out := Status{Service: service, State: r.State, Entry: r.Entry, Attempt: r.Attempt, Version: o.Version}
	if r.Outcome != nil {
		out.Status = r.Outcome.Status
	}
	return out, nil
}
