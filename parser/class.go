package parser

import (
	"strings"

	"github.com/juju/errors"
)

//go:generate go tool stringer -type=Class -linecomment -output=class_string.go

// Class orders calls that wait for a server: the lower goes first.
type Class int

// The classes, first served first.
const (
	Urgent Class = iota // urgent
	Normal              // normal
	Bulk                // bulk
)

// Classes counts the classes.
const Classes = 3

// UnmarshalText reads the name of a class.
func (c *Class) UnmarshalText(text []byte) error {
	for i := Class(0); i < Classes; i++ {
		if strings.EqualFold(i.String(), string(text)) {
			*c = i
			return nil
		}
	}
	return errors.Errorf("got: %q want: urgent, normal or bulk", text)
}

// MarshalText writes the name of the class.
func (c Class) MarshalText() ([]byte, error) { return []byte(c.String()), nil }
