package operatorcmd_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/cmd/exit"
	"dooryard.example/dooryard/internal/cmd/operatorcmd"
)

// dooryard runs the client with the given arguments and returns its error.
func dooryard(t *testing.T, arguments ...string) error {
	t.Helper()
	command := operatorcmd.New(strings.NewReader(""), &bytes.Buffer{})
	return command.Run(t.Context(), append([]string{"dooryard"}, arguments...))
}

func TestUsageErrors(t *testing.T) {
	dir := t.TempDir()
	write := func(name, content string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
		return path
	}
	key := write("key", "a-key-of-the-operators")
	remote := []string{"--box", "127.0.0.1:1", "--key-file", key}
	for name, c := range map[string]struct {
		arguments []string
		want      string
	}{
		"missing box":         {[]string{"status"}, "--box: name at least one box"},
		"missing key file":    {[]string{"--box", "127.0.0.1:1", "status"}, "--key-file: is missing"},
		"invalid settings":    {[]string{"check", write("box.yaml", "box: b\nfailure_domain: x\ncalers: {}\n")}, "box.yaml:3: calers"},
		"invalid table":       {[]string{"check", write("table.yaml", "models:\n  m:\n    deadline_ms: x\n")}, "table.yaml:3"},
		"missing sheet name":  {[]string{"check", write("t.csv", "row\n")}, "--sheet: name the sheet"},
		"invalid value":       {append(remote, "table", "set", "models/m/deadline_ms=x"), `"x" is not a whole number`},
		"missing value":       {append(remote, "table", "set", "models/m"), "must be SHEET/ROW/COLUMN=VALUE"},
		"unknown sheet":       {append(remote, "table", "get", "modles"), `sheet "modles": unknown`},
		"no model or service": {append(remote, "explain", "--organisation", "o", "--session", "s"), "either --model or --service"},
		"missing argument":    {append(remote, "upstream", "drain"), "needs one argument"},
	} {
		t.Run(name, func(t *testing.T) {
			err := dooryard(t, c.arguments...)
			require.ErrorIs(t, err, exit.ErrUsage)
			assert.Contains(t, err.Error(), c.want)
		})
	}
	t.Run("an unreachable box is not a usage error", func(t *testing.T) {
		err := dooryard(t, append(remote, "table", "get", "models")...)
		require.Error(t, err)
		assert.NotErrorIs(t, err, exit.ErrUsage)
	})
}
