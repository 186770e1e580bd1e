// Package version identifies the build of the programs.
package version

import (
	"cmp"
	"runtime/debug"
)

// version is the release version, set by the linker in release builds.
var version = ""

// String returns the release version, or for development builds the VCS revision, and tells builds without cgo.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return cmp.Or(version, "unknown")
	}
	return describe(version, info.Settings)
}

func describe(release string, settings []debug.BuildSetting) string {
	text, suffix := cmp.Or(release, "devel"), ""
	for _, setting := range settings {
		switch {
		case setting.Key == "vcs.revision" && release == "":
			text += "-" + setting.Value
		case setting.Key == "CGO_ENABLED" && setting.Value == "0":
			suffix = " (without cgo)"
		}
	}
	return text + suffix
}
