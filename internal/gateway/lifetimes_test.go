package gateway

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// only returns the fields of the only line with a message.
func (l *logBuffer) only(t *testing.T, message string) map[string]any {
	t.Helper()
	lines := l.with(message)
	require.Len(t, lines, 1)
	fields := map[string]any{}
	require.NoError(t, json.Unmarshal([]byte(lines[0]), &fields))
	return fields
}

// TestLastProcess guards against a process that was killed, of whose end no line tells.
func TestLastProcess(t *testing.T) {
	start := func(f *fleet) (out *logBuffer, other, box *running) {
		out = &logBuffer{}
		f.out = out
		other = f.box(2)
		box = f.box(1, withContact(other))
		advance(f.t, 20*time.Second)
		return out, other, box
	}
	t.Run("that was killed is told at the next start", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			out, other, killed := start(f)
			// Nothing that the process does from now on reaches another one.
			f.network.SetPartition(func(from, to string) bool { return from == "box-1" || to == "box-1" })
			killed.stop()
			advance(f.t, 4*time.Second)
			killed.assertStopped()
			f.network.SetPartition(func(string, string) bool { return false })
			f.box(1, withContact(other))
			advance(f.t, 5*time.Second)
			told := out.only(f.t, "last process ended")
			assert.Equal(f.t, "warn", told["level"])
			assert.Equal(f.t, "box-1", told["box"])
			assert.Equal(f.t, "without leaving", told["ended"])
			assert.Equal(f.t, "box-2", told["told_by"])
			assert.InDelta(f.t, 20_000, told["ran_ms"], 600)
			assert.NotEmpty(f.t, told["last_heard"])
			seen := out.only(f.t, "box restarted")
			assert.Equal(f.t, "box-2", seen["box"])
			assert.Equal(f.t, "box-1", seen["other_box"])
			assert.Equal(f.t, "without leaving", seen["ended"])
			assert.Equal(f.t, "1", other.metrics.all.Get("boxes_restarted_without_leaving").String())
		})
	})
	t.Run("that stopped has ended in order", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			out, other, stopped := start(f)
			stopped.stop()
			advance(f.t, 4*time.Second)
			stopped.assertStopped()
			next := f.box(1, withContact(other))
			advance(f.t, 5*time.Second)
			told := out.only(f.t, "last process ended")
			assert.Equal(f.t, "info", told["level"])
			assert.Equal(f.t, "in order", told["ended"])
			assert.Empty(f.t, out.with("box restarted"))
			assert.Equal(f.t, "1", next.metrics.all.Get("last_process_ended_in_order").String())
		})
	})
}
