package logging

import (
	"log"
	"testing"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// TestLinesOfLibraries guards against the content of responses in the log, and against lines at the rate of an input.
func TestLinesOfLibraries(t *testing.T) {
	core, lines := observer.New(zap.WarnLevel)
	restore := TakeLibraryLines(zap.New(core))
	defer restore()
	for range 100 {
		log.Printf("Unsolicited response starting with %q; err=%v", "confidential", nil)
	}
	assert.Equal(t, limitedLines, lines.Len())
	assert.Equal(t, map[string]any{"note": "Unsolicited response starting with"}, lines.All()[0].ContextMap())
	restore()
	assert.NotEqual(t, 0, log.Flags())
}
