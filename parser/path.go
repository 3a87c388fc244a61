package parser

import "strings"

const (
	// MaxDocument bounds one settings document, in bytes.
	MaxDocument = 64 << 10
	// MaxSubtree bounds all documents of one team together, in bytes.
	MaxSubtree = 1 << 20
	// MaxServices bounds the services of one team.
	MaxServices = 64

	maxSegment = 48
)

// CheckPath reports whether path names a team ("/team") or a service
// ("/team/service"). Segments hold lower-case letters, digits and hyphens.
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
		if !segment(p) {
			return &Error{path: path, cause: ErrPath, detail: "want lower-case letters, digits and hyphens in each segment"}
		}
	}
	return nil
}

func segment(s string) bool {
	if s == "" || len(s) > maxSegment {
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

// TeamOf returns the team segment of a path that CheckPath accepts.
func TeamOf(path string) string {
	team, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return team
}

// IsTeam reports whether an accepted path names a team and not a service.
func IsTeam(path string) bool { return strings.Count(path, "/") == 1 }

// CheckOwner reports with ErrOwner a path outside the subtree of team.
func CheckOwner(team, path string) error {
	if TeamOf(path) != team {
		return &Error{path: path, cause: ErrOwner, detail: "team is " + team}
	}
	return nil
}
