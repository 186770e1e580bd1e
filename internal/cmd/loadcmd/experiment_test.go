package loadcmd

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/experiment"
)

func TestExperiment(t *testing.T) {
	run := func(args ...string) (string, error) {
		var out bytes.Buffer
		err := New(&out, &out).Run(t.Context(), append([]string{"dooryard-load", "experiment", "--seeds", "1"}, args...))
		return out.String(), err
	}
	t.Run("prints a report and writes a chart", func(t *testing.T) {
		file := filepath.Join(t.TempDir(), "x.svg")
		out, err := run("--off", "fetch", "--faults", "crash", "--json", "--svg", file)
		require.NoError(t, err)
		var report experiment.Report
		require.NoError(t, json.Unmarshal([]byte(out), &report))
		assert.Len(t, report.Outcomes, 1)
		drawn, err := os.ReadFile(file)
		require.NoError(t, err)
		assert.Contains(t, string(drawn), "fetch")
	})
	t.Run("names the invalid flag", func(t *testing.T) {
		_, err := run("--off", "luck")
		require.ErrorIs(t, err, experiment.ErrUnknown)
		assert.ErrorContains(t, err, "--off")
	})
}
