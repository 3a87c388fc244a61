package parser

import (
	"strings"

	"github.com/juju/errors"
)

//go:generate go tool stringer -type=Class -linecomment -output=class_string.go

// Class is the priority class of a call. Among calls that wait for a server,
// those of a lower class are dispatched first.
type Class int

// The classes, in descending priority.
const (
	Urgent Class = iota // urgent
	Normal              // normal
	Bulk                // bulk
)

// NumClasses is the number of classes.
const NumClasses = 3

// UnmarshalText parses the name of a class, ignoring case.
func (c *Class) UnmarshalText(text []byte) error {
	for i := Class(0); i < NumClasses; i++ {
		if strings.EqualFold(i.String(), string(text)) {
			*c = i
			return nil
		}
	}
	return errors.Errorf("got: %q want: urgent, normal or bulk", text)
}

// MarshalText returns the name of the class.
func (c Class) MarshalText() ([]byte, error) { return []byte(c.String()), nil }
