package apportioner

import (
	"math"

	"github.com/juju/errors"
)

// Message reports what one entry has admitted.
type Message struct {
	// From and Epoch identify the process of the entry: its name and the time of its start.
	From  string `json:"from"`
	Epoch int64  `json:"epoch"`
	// Settled is set if the entry knows the levels, which a starting entry does not.
	Settled bool `json:"settled,omitempty"`
	// Leaving is set if the entry admits no further requests.
	Leaving bool `json:"leaving,omitempty"`
	// Partial is set if customers that are not in Counts are unchanged. Otherwise they have
	// no demand at the entry.
	Partial bool    `json:"partial,omitempty"`
	Counts  []Count `json:"counts,omitempty"`
}

// Count is the use of one customer's quota at one entry.
type Count struct {
	Customer string `json:"customer"`
	// Admitted is the number of requests admitted since the start of the entry.
	Admitted int64 `json:"admitted"`
	// Demand is the rate of requests per second, admitted or not.
	Demand float64 `json:"demand"`
	// Level is the entry's estimate of the shared bucket.
	Level float64 `json:"level"`
}

const (
	// maxCounts bounds the customers in one message.
	maxCounts = 16384
	// maxFigure bounds demands and the magnitude of levels, so that sums do not overflow.
	maxFigure = 1e9
)

// check returns an error that satisfies errors.Is(err, errors.NotValid) if the message can't
// be used.
func (m *Message) check() error {
	if m.From == "" || len(m.Counts) > maxCounts {
		return errors.NotValidf("quota message: sender %q, %d customers", m.From, len(m.Counts))
	}
	for i := range m.Counts {
		c := &m.Counts[i]
		if !(c.Demand >= 0 && c.Demand <= maxFigure) || !(math.Abs(c.Level) <= maxFigure) || c.Admitted < 0 {
			return errors.NotValidf("quota message: customer %.80q: demand %v, level %v, admitted %d", c.Customer, c.Demand, c.Level, c.Admitted)
		}
	}
	return nil
}
