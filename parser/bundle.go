package parser

import (
	"bytes"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"
)

// Document is the settings of one path, as their author wrote them.
type Document struct {
	// file and base locate the text within the file that it came from.
	file string
	base int
	path string
	text []byte
}

// Path returns the settings path.
func (d Document) Path() string { return d.path }

// Text returns the document, comments included.
func (d Document) Text() []byte { return d.text }

// Check reports whether the document is accepted at its path.
func (d Document) Check() error {
	err := Check(d.file, d.path, d.text)
	var e *Error
	if errors.As(err, &e) {
		e.line += d.base
	}
	return err
}

// ParseBundle reads a file that holds the settings of several paths of one
// team, as an object keyed by path, and checks each. An empty team allows any,
// but one alone.
func ParseBundle(file, team string, text []byte) ([]Document, error) {
	if len(text) > MaxSubtree {
		return nil, &Error{file: file, cause: ErrSize, detail: "want at most 1 MiB a team"}
	}
	v, err := hujson.Parse(text)
	if err != nil {
		return nil, &Error{file: file, line: syntaxLine(err), cause: ErrSyntax, detail: err.Error()}
	}
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		return nil, &Error{file: file, line: 1, cause: ErrType, detail: "want an object keyed by path"}
	}
	if len(o.Members) > MaxServices+1 {
		return nil, &Error{file: file, cause: ErrSize, detail: "want at most 64 services a team"}
	}
	var docs []Document
	seen := make(map[string]bool)
	for i := range o.Members {
		d, err := member(file, team, text, &o.Members[i])
		if err != nil {
			return nil, err
		}
		if seen[d.path] {
			return nil, &Error{file: file, line: d.base + 1, path: d.path, cause: ErrDuplicate}
		}
		seen[d.path] = true
		if team == "" {
			team = TeamOf(d.path)
		}
		docs = append(docs, d)
	}
	return docs, nil
}

// member checks one path of a bundle and its document.
func member(file, team string, text []byte, m *hujson.ObjectMember) (Document, error) {
	start, end := m.Value.StartOffset, m.Value.EndOffset
	d := Document{
		file: file, path: m.Name.Value.(hujson.Literal).String(), text: text[start:end],
		base: bytes.Count(text[:start], []byte("\n")),
	}
	at := func(err error) error {
		var e *Error
		if errors.As(err, &e) {
			e.file, e.line = file, d.base+1
		}
		return err
	}
	if err := CheckPath(d.path); err != nil {
		return d, at(err)
	}
	if team != "" {
		if err := CheckOwner(team, d.path); err != nil {
			return d, at(err)
		}
	}
	return d, d.Check()
}
