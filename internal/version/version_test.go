package version

import (
	"runtime/debug"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestDescribe(t *testing.T) {
	revision := debug.BuildSetting{Key: "vcs.revision", Value: "1a2b"}
	for expected, build := range map[string]struct {
		release  string
		settings []debug.BuildSetting
	}{
		"devel":                    {},
		"devel-1a2b":               {settings: []debug.BuildSetting{{Key: "CGO_ENABLED", Value: "1"}, revision}},
		"devel-1a2b (without cgo)": {settings: []debug.BuildSetting{{Key: "CGO_ENABLED", Value: "0"}, revision}},
		"v1.2.0 (without cgo)":     {"v1.2.0", []debug.BuildSetting{revision, {Key: "CGO_ENABLED", Value: "0"}}},
	} {
		t.Run(expected, func(t *testing.T) { assert.Equal(t, expected, describe(build.release, build.settings)) })
	}
}
