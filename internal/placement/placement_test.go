package placement

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/engine"
	"dooryard.example/dooryard/internal/table"
)

func row(checks bool, serves ...string) *table.Upstream {
	return &table.Upstream{Name: "e", Serves: serves, ChecksTokens: checks}
}

var held = Lease{Token: 5, UntilMs: 200_000, SinceMs: 0, SpanMs: 15_000}

const settled = clock.Millis(100_000)

func TestDecide(t *testing.T) {
	t.Run("loads what the table names, then unloads the rest", func(t *testing.T) {
		state := engine.OrderState{Models: []string{"old"}}
		order, needed := Decide(row(true, "new"), state, held, settled)
		assert.True(t, needed)
		assert.Equal(t, engine.Order{Token: 5, Action: engine.ActionLoad, Model: "new"}, order)
		state.Models = append(state.Models, "new")
		order, needed = Decide(row(true, "new"), state, held, settled)
		assert.True(t, needed)
		assert.Equal(t, engine.ActionUnload, order.Action)
	})
	for name, c := range map[string]struct {
		row   *table.Upstream
		state engine.OrderState
		now   clock.Millis
	}{
		"needs none when models are right":        {row(true, "m"), engine.OrderState{Models: []string{"m"}}, settled},
		"waits for an outstanding order":          {row(true, "m"), engine.OrderState{Outstanding: "x"}, settled},
		"does nothing once the lease has ended":   {row(true, "m"), engine.OrderState{}, held.UntilMs},
		"yields to a newer holder":                {row(true, "m"), engine.OrderState{NewestToken: 6}, settled},
		"waits out an earlier lease if unchecked": {row(false, "m"), engine.OrderState{}, 15_000 + LongestOrderMs - 1},
	} {
		t.Run(name, func(t *testing.T) {
			_, needed := Decide(c.row, c.state, held, c.now)
			assert.False(t, needed)
		})
	}
	t.Run("orders an unchecked engine after the wait", func(t *testing.T) {
		_, needed := Decide(row(false, "m"), engine.OrderState{}, held, 15_000+LongestOrderMs)
		assert.True(t, needed)
	})
}
