package why

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const log = `  1.0 a {"level":"info","time":"2026-01-01T00:00:02Z","msg":"upstream picked","box":"a","request":"r1","upstream":"u1","rank":0}
{"level":"warn","time":"2026-01-01T00:00:03Z","msg":"attempt failed","box":"a","request":"r1","upstream":"u1","proof":"not_sent"}
{"level":"warn","time":"2026-01-01T00:00:01Z","msg":"dependency lost","box":"a","dependency":"store"}
{"level":"warn","time":"2026-01-01T00:00:01Z","msg":"dependency lost","box":"b","dependency":"store"}
{"level":"warn","time":"2025-12-31T23:00:00Z","msg":"started","box":"a"}
no line of ours {
{"level":"info","time":"2026-01-01T00:00:02Z","msg":"upstream picked","box":"b","request":"r2"}
`

func messages(lines []Line) []string {
	out := []string{}
	for _, line := range lines {
		out = append(out, line.Box+" "+line.Message)
	}
	return out
}

func TestRequestLines(t *testing.T) {
	lines, err := Read(nil, strings.NewReader(log))
	require.NoError(t, err)
	t.Run("returns the request's lines and its box's earlier state changes in order", func(t *testing.T) {
		story := RequestLines(lines, "r1", 5*time.Second)
		assert.Equal(t, []string{"a dependency lost", "a upstream picked", "a attempt failed"}, messages(story))
	})
	t.Run("includes an upstream backoff that was still in effect", func(t *testing.T) {
		rest := `{"time":"2026-01-01T00:00:00Z","msg":"upstream asks for rest","box":"a","upstream":"u1","rest_ms":%s}`
		for restMs, want := range map[string]int{"1900": 0, "2000": 1} {
			more, err := Read(nil, strings.NewReader(log+strings.Replace(rest, "%s", restMs, 1)))
			require.NoError(t, err)
			assert.Len(t, RequestLines(more, "r1", 0), 2+want, restMs)
		}
	})
	t.Run("includes the crashes and the quarantine by which a request was held back, however old", func(t *testing.T) {
		more, err := Read(nil, strings.NewReader(log+
			`{"time":"2025-12-31T22:00:00Z","msg":"upstream ended","box":"b","upstream":"u1","fingerprints":["f1"],"parts":["p1","p2"]}
{"time":"2025-12-31T22:00:00Z","msg":"upstream ended","box":"b","upstream":"u2","fingerprints":["f2"],"parts":["p1"]}
{"time":"2025-12-31T22:00:01Z","msg":"prompt part quarantined","box":"a","part":"p2","hold_ms":60000}
{"time":"2026-01-01T00:00:04Z","msg":"request ended","box":"a","request":"r3","cause":"part_quarantined","part":"p2","fingerprint":"f3"}
{"time":"2026-01-01T00:00:05Z","msg":"request ended","box":"a","request":"r4","cause":"quarantined","fingerprint":"f2"}
`))
		require.NoError(t, err)
		assert.Equal(t, []string{"b upstream ended", "a prompt part quarantined", "a request ended"}, messages(RequestLines(more, "r3", 0)))
		assert.Equal(t, []string{"b upstream ended", "a request ended"}, messages(RequestLines(more, "r4", 0)))
	})
	t.Run("includes what became of an upstream and of its address after the request ended", func(t *testing.T) {
		more, err := Read(nil, strings.NewReader(log+
			`{"time":"2026-01-01T00:00:00Z","msg":"upstream changed","box":"a","upstream":"u1","address":"10.0.0.1:1","state":"taking work"}
{"time":"2026-01-01T00:00:04Z","msg":"upstream ended","box":"a","upstream":"u1@7"}
{"time":"2026-01-01T00:00:05Z","msg":"upstream changed","box":"a","upstream":"u2","address":"10.0.0.1:1","state":"taking work"}
{"time":"2026-01-01T00:00:05Z","msg":"upstream changed","box":"a","upstream":"u3","address":"10.0.0.1:2","state":"taking work"}
{"time":"2026-01-01T00:00:05Z","msg":"upstream changed","box":"b","upstream":"u1","state":"gone"}
{"time":"2026-01-01T00:00:07Z","msg":"upstream changed","box":"a","upstream":"u1","state":"gone"}
`))
		require.NoError(t, err)
		story := RequestLines(more, "r1", 3*time.Second)
		assert.Equal(t, []string{"a upstream ended", "a upstream changed"}, messages(story[len(story)-2:]))
		assert.Equal(t, "u2", story[len(story)-1].Upstream)
		assert.Equal(t, "a attempt failed", messages(story)[len(story)-3])
	})
	t.Run("returns nothing for an unknown request", func(t *testing.T) {
		assert.Empty(t, RequestLines(lines, "r9", time.Hour))
	})
	t.Run("formats each line as text", func(t *testing.T) {
		story := RequestLines(lines, "r1", 0)
		assert.Equal(t, `00:00:02.000 a upstream picked rank=0 upstream="u1"`, story[0].Text())
	})
}
