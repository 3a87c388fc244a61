package claimer

import (
	"context"

	"github.com/juju/errors"
)

// Status is the state of the claim of one key, as shown to operators.
type Status struct {
	Service string `json:"service"`
	State   State  `json:"state"`
	// Entry is the instance that wrote the record last.
	Entry   string `json:"entry"`
	Attempt string `json:"attempt"`
	Version uint64 `json:"version"`
	// Status is the HTTP status of the recorded response, 0 if none is recorded.
	Status int `json:"status,omitempty"`
}

// Lookup reads the claim of a key. It returns storer.ErrNotFound if the key was
// never claimed.
func Lookup(ctx context.Context, s Store, service, key string) (Status, error) {
	o, err := s.Get(ctx, Path(service, key))
	if err != nil {
		return Status{}, errors.Trace(err)
	}
	r, err := decode(o.Data)
	if err != nil {
		return Status{}, err
	}
	status := Status{Service: service, State: r.State, Entry: r.Entry, Attempt: r.Attempt, Version: o.Version}
	if r.Outcome != nil {
		status.Status = r.Outcome.Status
	}
	return status, nil
}
