package parser

import "strconv"

// Team holds the validated settings of one team. Its zero value holds the
// defaults, which apply to a team without a document.
type Team struct {
	// spec has passed all range checks; zero fields mean the default.
	spec teamSpec
}

type teamSpec struct {
	MaxCalls    int     `json:"calls"`
	MaxFraction float64 `json:"share"`
}

const defaultCalls = 1024

// ParseTeam parses and validates the document of the team at path.
func ParseTeam(file, path string, text []byte) (*Team, error) {
	d, err := newDocument(file, path, text)
	if err != nil {
		return nil, err
	}
	var t Team
	if err := d.decode(&t.spec); err != nil {
		return nil, err
	}
	err = firstError(
		checkRange(d, "calls", t.spec.MaxCalls, 0, 65536),
		checkRange(d, "share", t.spec.MaxFraction, 0, 1),
	)
	if err != nil {
		return nil, err
	}
	return &t, nil
}

// MaxCalls returns the maximum number of concurrent calls of the team at one
// entry.
func (t *Team) MaxCalls() int {
	if t == nil || t.spec.MaxCalls == 0 {
		return defaultCalls
	}
	return t.spec.MaxCalls
}

// MaxFraction returns the maximum fraction of an entry's concurrent calls that the
// team may use while other teams have calls in flight.
func (t *Team) MaxFraction() float64 {
	if t == nil || t.spec.MaxFraction == 0 {
		return 1
	}
	return t.spec.MaxFraction
}

// Check validates the document text as the team or service settings at path.
func Check(file, path string, text []byte) error {
	if err := CheckPath(path); err != nil {
		e := err.(*Error)
		e.file = file
		return e
	}
	if IsTeam(path) {
		_, err := ParseTeam(file, path, text)
		return err
	}
	_, err := ParseService(file, path, text)
	return err
}

func itoa(i int) string { return strconv.Itoa(i) }

// CheckSubtree returns an ErrSize error if the documents of team, which have
// size bytes in total, exceed MaxSubtree.
func CheckSubtree(team string, size int) error {
	if size > MaxSubtree {
		return &Error{path: "/" + team, cause: ErrSize, detail: "subtree has " + itoa(size) + " bytes, want at most " + itoa(MaxSubtree)}
	}
	return nil
}
