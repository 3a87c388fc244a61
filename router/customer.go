package router

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"

	"github.com/juju/errors"
)

// digestBytes is the length of a Digest. Half of a SHA-256 suffices to identify a random key.
const digestBytes = 16

// Digest identifies a key of a customer without revealing it. Entries keep and exchange only
// digests, so that no log, dump or message has a key.
type Digest [digestBytes]byte

// DigestOf returns the digest of a key.
func DigestOf(key []byte) Digest {
	sum := sha256.Sum256(key)
	return Digest(sum[:digestBytes])
}

// MarshalText implements encoding.TextMarshaler: the digest in hex.
func (d Digest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler. The error satisfies
// errors.Is(err, errors.NotValid).
func (d *Digest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != digestBytes {
		return errors.NotValidf("digest: got: %d bytes of hex want: %d:", len(text), hex.EncodedLen(digestBytes))
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return errors.NewNotValid(err, "digest")
	}
	return nil
}

// Customer is a customer whose requests bear one of its keys.
type Customer struct {
	Name string `json:"name"`
	// Rank replaces the rank of routes for the customer's requests, nil if it does not.
	Rank *int `json:"rank,omitempty"`
	// Rate and Burst are the quota of requests per second and the requests beyond it that may
	// arrive at once, over all entries together. A rate of 0 means that there is no quota.
	Rate  float64  `json:"rate,omitempty"`
	Burst float64  `json:"burst,omitempty"`
	Keys  []Digest `json:"keys,omitempty"`
}

// Limited reports whether the customer has a quota.
func (c *Customer) Limited() bool { return c.Rate > 0 }

func (c *Customer) check(field string) error {
	switch {
	case c.Name == "":
		return invalid(field+".name", "missing customer name")
	case !(c.Rate >= 0) || math.IsInf(c.Rate, 0):
		return invalid(field+".rate", "got: %v want: 0 or above", c.Rate)
	case !(c.Burst >= 0) || math.IsInf(c.Burst, 0):
		return invalid(field+".burst", "got: %v want: 0 or above", c.Burst)
	}
	return nil
}

// checkCustomers validates the customers, whose names must be unique.
func (s *Spec) checkCustomers() error {
	names := make(map[string]bool, len(s.Customers))
	for i := range s.Customers {
		c, field := &s.Customers[i], fmt.Sprintf("customers[%d]", i)
		if err := c.check(field); err != nil {
			return err
		}
		if names[c.Name] {
			return invalid(field+".name", "got: %q a second time", c.Name)
		}
		names[c.Name] = true
	}
	return nil
}

// customersByKey returns the customer of each key, and the number of keys that belong to several:
// the first one has them.
func customersByKey(list []Customer) (byKey map[Digest]*Customer, ambiguous int) {
	byKey = make(map[Digest]*Customer, len(list))
	for i := range list {
		for _, key := range list[i].Keys {
			switch owner := byKey[key]; {
			case owner == nil:
				byKey[key] = &list[i]
			case owner != &list[i]:
				ambiguous++
			}
		}
	}
	return byKey, ambiguous
}

// HasCustomers reports whether requests need the key of a customer, except on anonymous routes.
func (t *Table) HasCustomers() bool { return len(t.spec.Customers) > 0 }

// Customer returns the customer that has the key, or nil.
func (t *Table) Customer(key []byte) *Customer { return t.CustomerOf(DigestOf(key)) }

// CustomerOf returns the customer that has the key with the digest, or nil.
func (t *Table) CustomerOf(key Digest) *Customer { return t.customers[key] }

// AmbiguousKeys returns the number of keys that several customers have.
func (t *Table) AmbiguousKeys() int { return t.ambiguousKeys }
