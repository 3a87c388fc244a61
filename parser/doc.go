// Package parser reads settings written in JSON with comments.
//
// It reads two kinds of document: the settings that teams keep in the
// platform's object store, one object a path, and the settings that a daemon
// is started with. Each is checked strictly: an unknown field, a wrong unit,
// a number out of range or a path owned by another team is reported as an
// *Error that names the file, line, path and field at fault.
//
// Whether a document is accepted is a function of its path and bytes alone,
// so that every process comes to the same verdict.
package parser
