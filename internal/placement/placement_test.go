package placement

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/engine"
	"dooryard.example/dooryard/internal/table"
)

func row(checksTokens bool, serves ...string) *table.Upstream {
	return &table.Upstream{Name: "e", Serves: serves, ChecksTokens: checksTokens}
}

var lease = Lease{Token: 5, UntilMs: 200_000, SinceMs: 0, DurationMs: 15_000}

const afterWait = clock.Millis(100_000)

func TestDecide(t *testing.T) {
	t.Run("loads the models of the table, then unloads the others", func(t *testing.T) {
		state := engine.OrderState{Models: []string{"old"}}
		order, needed := Decide(row(true, "new"), state, lease, afterWait)
		assert.True(t, needed)
		assert.Equal(t, engine.Order{Token: 5, Action: engine.ActionLoad, Model: "new"}, order)
		state.Models = append(state.Models, "new")
		order, needed = Decide(row(true, "new"), state, lease, afterWait)
		assert.True(t, needed)
		assert.Equal(t, engine.ActionUnload, order.Action)
	})
	for name, c := range map[string]struct {
		row   *table.Upstream
		state engine.OrderState
		now   clock.Millis
	}{
		"sends nothing when the models match":      {row(true, "m"), engine.OrderState{Models: []string{"m"}}, afterWait},
		"waits for an outstanding order":           {row(true, "m"), engine.OrderState{Outstanding: "x"}, afterWait},
		"sends nothing once the lease has expired": {row(true, "m"), engine.OrderState{}, lease.UntilMs},
		"yields to a newer lease holder":           {row(true, "m"), engine.OrderState{NewestToken: 6}, afterWait},
		"waits out an earlier lease if unchecked":  {row(false, "m"), engine.OrderState{}, 15_000 + MaxOrderDurationMs - 1},
	} {
		t.Run(name, func(t *testing.T) {
			_, needed := Decide(c.row, c.state, lease, c.now)
			assert.False(t, needed)
		})
	}
	t.Run("sends orders to an engine that does not check tokens after the wait", func(t *testing.T) {
		_, needed := Decide(row(false, "m"), engine.OrderState{}, lease, 15_000+MaxOrderDurationMs)
		assert.True(t, needed)
	})
}
