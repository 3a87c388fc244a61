package parser

import (
	"fmt"

	"github.com/juju/errors"
)

// Sentinel errors that every *Error unwraps to, by cause.
const (
	// ErrSyntax reports text that is not JSON with comments.
	ErrSyntax = errors.ConstError("not JSON with comments")
	// ErrUnknown reports a field that no document of the kind has.
	ErrUnknown = errors.ConstError("unknown field")
	// ErrDuplicate reports a field or a path given twice.
	ErrDuplicate = errors.ConstError("given twice")
	// ErrType reports a value of the wrong JSON type.
	ErrType = errors.ConstError("wrong type")
	// ErrUnit reports a quantity without a unit or with a wrong one.
	ErrUnit = errors.ConstError("wrong unit")
	// ErrRange reports a value outside its range.
	ErrRange = errors.ConstError("out of range")
	// ErrSize reports a document that is too large.
	ErrSize = errors.ConstError("too large")
	// ErrPath reports a malformed path.
	ErrPath = errors.ConstError("malformed path")
	// ErrOwner reports a path that belongs to another team.
	ErrOwner = errors.ConstError("path of another team")
	// ErrMissing reports a required field that is absent.
	ErrMissing = errors.ConstError("required field missing")
)

// Error locates one fault in a settings document.
type Error struct {
	// file is the name the document was read under, empty if there is none.
	file string
	// line counts from 1; 0 means that the fault has no single line.
	line int
	// path is the settings path of the document, empty for process settings.
	path string
	// field is the dotted name of the field at fault, empty for the whole.
	field string
	// cause is one of the sentinel errors of this package, never nil.
	cause error
	// detail adds what was found and what was wanted.
	detail string
}

// File returns the name of the file at fault.
func (e *Error) File() string { return e.file }

// Line returns the line at fault, counted from 1, or 0.
func (e *Error) Line() int { return e.line }

// Path returns the settings path of the document at fault.
func (e *Error) Path() string { return e.path }

// Field returns the dotted name of the field at fault.
func (e *Error) Field() string { return e.field }

// Unwrap returns the sentinel error that names the cause.
func (e *Error) Unwrap() error { return e.cause }

// Error formats the fault as "file:line: path: field: cause: detail".
func (e *Error) Error() string {
	s := ""
	if e.file != "" {
		s = e.file + ":"
	}
	if e.line > 0 {
		s += fmt.Sprintf("%d:", e.line)
	}
	if s != "" {
		s += " "
	}
	for _, p := range []string{e.path, e.field} {
		if p != "" {
			s += p + ": "
		}
	}
	s += e.cause.Error()
	if e.detail != "" {
		s += ": " + e.detail
	}
	return s
}
