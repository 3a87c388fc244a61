package versioner

import (
	"runtime/debug"
	"testing"
)

func TestBuildOf(t *testing.T) {
	revision := debug.BuildSetting{Key: "vcs.revision", Value: "0123456789abcdef0123456789abcdef01234567"}
	for want, settings := range map[string][]debug.BuildSetting{
		"unknown":       {{Key: "vcs.modified", Value: "true"}},
		"0123456789ab":  {revision, {Key: "vcs.modified", Value: "false"}},
		"0123456789ab+": {{Key: "vcs.modified", Value: "true"}, revision},
	} {
		if got := buildOf(settings); got != want {
			t.Errorf("got: %q want: %q", got, want)
		}
	}
}
