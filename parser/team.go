package parser

import "strconv"

// Team is the accepted settings of one team. Its zero value holds the
// defaults for a team without a document of its own.
type Team struct {
	// spec has every range checked; zero fields mean the default.
	spec teamSpec
}

type teamSpec struct {
	Calls int     `json:"calls"`
	Share float64 `json:"share"`
}

const defaultCalls = 1024

// ParseTeam reads the document of the team at path.
func ParseTeam(file, path string, text []byte) (*Team, error) {
	d, err := open(file, path, text)
	if err != nil {
		return nil, err
	}
	var t Team
	if err := d.decode(&t.spec); err != nil {
		return nil, err
	}
	err = firstOf(
		check(d, "calls", t.spec.Calls, 0, 65536),
		check(d, "share", t.spec.Share, 0, 1),
	)
	if err != nil {
		return nil, err
	}
	return &t, nil
}

// Calls returns how many calls of the team one entry holds at once.
func (t *Team) Calls() int {
	if t == nil || t.spec.Calls == 0 {
		return defaultCalls
	}
	return t.spec.Calls
}

// Share returns the largest part of an entry's calls that the team may hold
// while other teams have calls in flight.
func (t *Team) Share() float64 {
	if t == nil || t.spec.Share == 0 {
		return 1
	}
	return t.spec.Share
}

// Check reports whether a document is accepted at path.
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

// CheckSubtree reports with ErrSize a team whose documents are too large
// together, size being in bytes.
func CheckSubtree(team string, size int) error {
	if size > MaxSubtree {
		return &Error{path: "/" + team, cause: ErrSize, detail: "subtree has " + itoa(size) + " bytes, want at most " + itoa(MaxSubtree)}
	}
	return nil
}
