// Package version names the build of every program.
package version

import "runtime/debug"

// version is set by the linker for releases.
var version = ""

// String returns the release, or the revision that the build came from.
func String() string {
	if version != "" {
		return version
	}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return "devel-" + setting.Value
		}
	}
	return "devel"
}
