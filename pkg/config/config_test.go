package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestExamplesLoad(t *testing.T) {
	paths, err := filepath.Glob("../../examples/three-boxes/box-*.yaml")
	require.NoError(t, err)
	require.Len(t, paths, 3)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			settings, err := LoadRouter(path)
			require.NoError(t, err)
			assert.NotEmpty(t, settings.FailureDomain)
		})
	}
}

// exampleSettings returns the first example file, which each test case modifies.
func exampleSettings(tb testing.TB) string {
	tb.Helper()
	data, err := os.ReadFile("../../examples/three-boxes/box-1.yaml")
	require.NoError(tb, err)
	return string(data)
}

func TestErrorsNameFileLineAndKey(t *testing.T) {
	for name, c := range map[string]struct{ old, changed, want string }{
		"unknown key":                 {"failure_domain: north", "failure_domain: north\nfailure_domian: x", "box.yaml:4: failure_domian: field failure_domian not found"},
		"wrong unit":                  {"level: info", "level: info\nclaim:\n  batch_ms: 20s", "box.yaml:24: claim.batch_ms: cannot unmarshal !!str `20s`"},
		"host name as address":        {"address: 127.0.0.1:8010", "address: localhost:8010", "box.yaml:5: callers.address: \"localhost:8010\" is not an IP address and port"},
		"missing failure domain":      {"failure_domain: north\n", "", "box.yaml:2: failure_domain: is missing"},
		"number out of bounds":        {"level: info", "level: info\nclaim:\n  window_ms: 5", "box.yaml:24: claim.window_ms: 5 is outside"},
		"contact in a list":           {"127.0.0.1:8031]", "x]", "peers.contacts[2]"},
		"TLS key without certificate": {"address: 127.0.0.1:8010", "address: 127.0.0.1:8010\n  tls:\n    key_file: k", "callers.tls.certificate_file"},
		"unknown exporter":            {"exporter: none", "exporter: file", "traces.exporter"},
		"host name in URL":            {"log_url: http://127.0.0.1:8000", "log_url: http://log:8000", "platform.log_url"},
		"missing key file":            {"  key_file: examples/three-boxes/operators.key\n", "", "operators.key_file: is missing"},
	} {
		t.Run(name, func(t *testing.T) {
			text := exampleSettings(t)
			require.Contains(t, text, c.old)
			_, err := ParseRouter("box.yaml", []byte(strings.Replace(text, c.old, c.changed, 1)))
			require.ErrorIs(t, err, ErrInvalid)
			assert.Contains(t, err.Error(), c.want)
		})
	}
	t.Run("empty file", func(t *testing.T) {
		_, err := ParseRouter("box.yaml", nil)
		assert.ErrorIs(t, err, ErrInvalid)
	})
	t.Run("second document", func(t *testing.T) {
		_, err := ParseRouter("box.yaml", []byte(exampleSettings(t)+"\n---\nbox: other\n"))
		assert.ErrorIs(t, err, ErrInvalid)
	})
}

func FuzzParseRouter(f *testing.F) {
	f.Add([]byte(exampleSettings(f)))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := ParseRouter("x", data); err != nil {
			require.ErrorIs(t, err, ErrInvalid)
		}
	})
}
