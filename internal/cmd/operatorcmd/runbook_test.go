package operatorcmd_test

import (
	"bytes"
	"context"
	"io"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"

	"dooryard.example/dooryard/internal/cmd/daemon"
	"dooryard.example/dooryard/internal/cmd/operatorcmd"
	"dooryard.example/dooryard/internal/cmd/routercmd"
	"dooryard.example/dooryard/internal/cmd/standincmd"
)

// commands returns the command lines in the sh code blocks of a Markdown page.
func commands(t *testing.T, page string) []string {
	t.Helper()
	data, err := os.ReadFile(page)
	require.NoError(t, err)
	lines, inside := []string{}, false
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "```"):
			inside = line == "```sh"
		case inside && line != "":
			lines = append(lines, line)
		}
	}
	return lines
}

// shell runs command lines in-process. It supports only the shell syntax that the runbook uses.
type shell struct {
	ctx        context.Context
	background sync.WaitGroup
}

func (s *shell) program(name string, in io.Reader, out io.Writer) *cli.Command {
	switch name {
	case "dooryard":
		return operatorcmd.New(in, out)
	case "dooryard-router":
		return routercmd.New(&daemon.Process{
			Out: out, Err: io.Discard, UseProcessors: func(float64) error { return nil },
		})
	case "dooryard-standin":
		return standincmd.New(out)
	default:
		return nil
	}
}

func (s *shell) run(t *testing.T, line string) string {
	t.Helper()
	in := io.Reader(strings.NewReader(""))
	if echoed, rest, piped := strings.Cut(line, " | "); piped {
		in = strings.NewReader(strings.TrimPrefix(echoed, "echo "))
		line = rest
	}
	line, file, _ := strings.Cut(line, " > ")
	line, inBackground := strings.CutSuffix(line, " &")
	arguments := strings.Fields(line)
	out := &bytes.Buffer{}
	command := s.program(arguments[0], in, out)
	require.NotNil(t, command, "unknown program in %q", line)
	if inBackground {
		s.background.Go(func() { assert.NoError(t, command.Run(s.ctx, arguments), line) })
		return ""
	}
	require.NoError(t, command.Run(s.ctx, arguments), "%s\n%s", line, out)
	if file != "" {
		require.NoError(t, os.WriteFile(file, out.Bytes(), 0o600))
	}
	return out.String()
}

// TestRunbook runs every command of the runbook in order, against boxes and stand-ins that
// the runbook's commands start.
func TestRunbook(t *testing.T) {
	t.Chdir("../../..")
	t.Setenv("DOORYARD_BOXES", "127.0.0.1:8012,127.0.0.1:8022,127.0.0.1:8032")
	t.Setenv("DOORYARD_KEY_FILE", "examples/three-boxes/operators.key")
	ctx, cancel := context.WithCancel(t.Context())
	s := &shell{ctx: ctx}
	defer func() {
		cancel()
		s.background.Wait()
		for _, file := range []string{"organisations.csv", "table.yaml"} {
			assert.NoError(t, os.Remove(file))
		}
	}()
	lines := commands(t, "docs/OPERATORS.md")
	require.Greater(t, len(lines), 30)
	outputs := map[string]string{}
	for _, line := range lines {
		outputs[line] = s.run(t, line)
	}
	assert.Equal(t, "300\n", outputs["dooryard table get organisations/choir/weight"])
	assert.Contains(t, outputs["dooryard table import --sheet organisations organisations.csv"], "nothing to change")
	assert.Contains(t, outputs["dooryard table verdict edit-of-sunday"], "accepted")
	assert.Contains(t, outputs["dooryard status --wait 10"], "box-3")
	assert.Contains(t, outputs["dooryard explain --organisation choir --session season-plan --model planner"], "engine-1")
}
