package parser

import (
	"fmt"

	"github.com/juju/errors"
)

// Sentinel errors, by cause. Every *Error unwraps to one of them.
const (
	// ErrSyntax reports text that is not JSON with comments.
	ErrSyntax = errors.ConstError("not JSON with comments")
	// ErrUnknown reports a field that is not defined for this kind of document.
	ErrUnknown = errors.ConstError("unknown field")
	// ErrDuplicate reports a field, path or route that is specified twice.
	ErrDuplicate = errors.ConstError("given twice")
	// ErrType reports a value of the wrong JSON type.
	ErrType = errors.ConstError("wrong type")
	// ErrUnit reports a quantity whose unit is missing or invalid.
	ErrUnit = errors.ConstError("wrong unit")
	// ErrRange reports a value outside its range.
	ErrRange = errors.ConstError("out of range")
	// ErrSize reports a document, or a set of documents or routes, that is too
	// large.
	ErrSize = errors.ConstError("too large")
	// ErrPath reports a malformed path.
	ErrPath = errors.ConstError("malformed path")
	// ErrOwner reports a path that belongs to another team.
	ErrOwner = errors.ConstError("path of another team")
	// ErrMissing reports a required field that is absent.
	ErrMissing = errors.ConstError("required field missing")
)

// Error describes one fault in a settings document and its location.
type Error struct {
	// file is the name of the file that holds the document, empty if there is
	// none.
	file string
	// line counts from 1; 0 means that no line is at fault in particular.
	line int
	// path is the settings path of the document, empty for process settings.
	path string
	// field is the dotted name of the field at fault, empty if the fault
	// concerns the entire document.
	field string
	// cause is one of the sentinel errors of this package, never nil.
	cause error
	// detail describes the actual and the expected value.
	detail string
}

// File returns the name of the file that holds the document, or the empty
// string.
func (e *Error) File() string { return e.file }

// Line returns the line at fault, counted from 1, or 0 if there is none.
func (e *Error) Line() int { return e.line }

// Path returns the settings path of the document at fault.
func (e *Error) Path() string { return e.path }

// Field returns the dotted name of the field at fault.
func (e *Error) Field() string { return e.field }

// Unwrap returns the sentinel error for the cause.
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
