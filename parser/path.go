package parser

import "strings"

const (
	// MaxDocument is the maximum size of one settings document, in bytes.
	MaxDocument = 64 << 10
	// MaxSubtree is the maximum total size of one team's documents, in bytes.
	MaxSubtree = 1 << 20
	// MaxServices is the maximum number of services of one team.
	MaxServices = 64

	maxSegmentBytes = 48
)

// CheckPath returns an ErrPath error unless path names a team ("/team") or a
// service ("/team/service"). Segments consist of at most 48 lower-case
// letters, digits and hyphens.
func CheckPath(path string) error {
	rest, ok := strings.CutPrefix(path, "/")
	if !ok {
		return &Error{path: path, cause: ErrPath, detail: "want /team or /team/service"}
	}
	parts := strings.Split(rest, "/")
	if len(parts) > 2 {
		return &Error{path: path, cause: ErrPath, detail: "want at most two segments"}
	}
	for _, p := range parts {
		if !validSegment(p) {
			return &Error{path: path, cause: ErrPath, detail: "want lower-case letters, digits and hyphens in each segment"}
		}
	}
	return nil
}

func validSegment(s string) bool {
	if s == "" || len(s) > maxSegmentBytes {
		return false
	}
	for _, r := range s {
		letter := r >= 'a' && r <= 'z'
		digit := r >= '0' && r <= '9'
		if !letter && !digit && r != '-' {
			return false
		}
	}
	return true
}

// TeamOf returns the team segment of a path that satisfies CheckPath.
func TeamOf(path string) string {
	team, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return team
}

// IsTeam reports whether a path that satisfies CheckPath names a team rather
// than a service.
func IsTeam(path string) bool { return strings.Count(path, "/") == 1 }

// CheckOwner returns an ErrOwner error if path is outside the subtree of team.
func CheckOwner(team, path string) error {
	if TeamOf(path) != team {
		return &Error{path: path, cause: ErrOwner, detail: "team is " + team}
	}
	return nil
}
