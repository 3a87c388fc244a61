// Package versioner describes the build of the running program.
package versioner

import "runtime/debug"

// unknown is the build of a program that was built outside its repository.
const unknown = "unknown"

// commitLength is the number of digits of a commit in a build.
const commitLength = 12

// Build returns the commit of the running program, with a "+" behind it if the tree had changes.
func Build() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknown
	}
	return buildOf(info.Settings)
}

func buildOf(settings []debug.BuildSetting) string {
	commit, suffix := "", ""
	for _, s := range settings {
		switch {
		case s.Key == "vcs.revision":
			commit = s.Value[:min(len(s.Value), commitLength)]
		case s.Key == "vcs.modified" && s.Value == "true":
			suffix = "+"
		}
	}
	if commit == "" {
		return unknown
	}
	return commit + suffix
}
