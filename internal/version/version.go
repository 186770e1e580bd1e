// Package version identifies the build of the programs.
package version

import "runtime/debug"

// version is the release version, set by the linker in release builds.
var version = ""

// String returns the release version, or for development builds the VCS revision.
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
