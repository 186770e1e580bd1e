package decision

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/logging"
)

// TestLongTextsAreShortened guards against lines as long as what other processes send.
func TestLongTextsAreShortened(t *testing.T) {
	long := strings.Repeat("é", 100_000)
	for _, e := range []Event{
		AttemptFailed{Request: "r", Err: long},
		RequestEnded{Request: long},
		InputIgnored{Input: "x", Err: long},
		Dependency{Unavailable: true, Err: long},
		Process{What: "stopped", Note: long},
	} {
		t.Run(e.Name(), func(t *testing.T) {
			out := &bytes.Buffer{}
			logger, err := logging.New(out, "")
			require.NoError(t, err)
			require.NoError(t, New(Settings{}, clock.New(), logger.Core()).writeEntry(e))
			assert.Less(t, out.Len(), 5000)
			assert.Contains(t, out.String(), "... (200000 bytes)")
			assert.NotContains(t, out.String(), `\ufffd`)
		})
	}
}
