package parser

import (
	"bytes"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"
)

// Document is the unparsed settings document of one path.
type Document struct {
	// file is the file that the text was read from, and lineOffset the number
	// of lines that precede the text in it.
	file       string
	lineOffset int
	path       string
	text       []byte
}

// Path returns the settings path.
func (d Document) Path() string { return d.path }

// Text returns the text of the document, including comments.
func (d Document) Text() []byte { return d.text }

// Check validates the document at its path. The line of an *Error counts from
// the start of the file.
func (d Document) Check() error {
	err := Check(d.file, d.path, d.text)
	var e *Error
	if errors.As(err, &e) {
		e.line += d.lineOffset
	}
	return err
}

// ParseBundle parses a file that holds the settings of several paths of one
// team as an object keyed by path, and validates each document. If team is
// empty, the first path determines the team.
func ParseBundle(file, team string, text []byte) ([]Document, error) {
	if len(text) > MaxSubtree {
		return nil, &Error{file: file, cause: ErrSize, detail: "want at most 1 MiB per team"}
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
		return nil, &Error{file: file, cause: ErrSize, detail: "want at most 64 services per team"}
	}
	var docs []Document
	seen := make(map[string]bool)
	for i := range o.Members {
		d, err := parseMember(file, team, text, &o.Members[i])
		if err != nil {
			return nil, err
		}
		if seen[d.path] {
			return nil, &Error{file: file, line: d.lineOffset + 1, path: d.path, cause: ErrDuplicate}
		}
		seen[d.path] = true
		if team == "" {
			team = TeamOf(d.path)
		}
		docs = append(docs, d)
	}
	return docs, nil
}

// parseMember validates one path of a bundle and its document.
func parseMember(file, team string, text []byte, m *hujson.ObjectMember) (Document, error) {
	start, end := m.Value.StartOffset, m.Value.EndOffset
	d := Document{
		file: file, path: m.Name.Value.(hujson.Literal).String(), text: text[start:end],
		lineOffset: bytes.Count(text[:start], []byte("\n")),
	}
	locate := func(err error) error {
		var e *Error
		if errors.As(err, &e) {
			e.file, e.line = file, d.lineOffset+1
		}
		return err
	}
	if err := CheckPath(d.path); err != nil {
		return d, locate(err)
	}
	if team != "" {
		if err := CheckOwner(team, d.path); err != nil {
			return d, locate(err)
		}
	}
	return d, d.Check()
}
