// Package parser reads settings written in JSON with comments.
//
// It reads two kinds of document: the settings that teams store in the
// platform's object store, one object per path, and the settings that a daemon
// is started with. Validation is strict: an unknown field, a wrong unit, a
// number out of range or a path owned by another team is reported as an
// *Error that names the file, line, path and field at fault.
//
// Whether a document is accepted depends only on its path and bytes, so that
// every process reaches the same decision.
package parser
