// Package placement decides which orders to load or unload a model the engines of a failure domain
// get, so that each engine serves the models that the table lists for it.
package placement

import (
	"slices"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/engine"
	"dooryard.example/dooryard/internal/table"
)

// MaxOrderDurationMs is the maximum time that an order takes on any engine.
const MaxOrderDurationMs = 60 * clock.Second

// Lease is the right to send orders.
type Lease struct {
	Token   int64
	UntilMs clock.Millis
	SinceMs clock.Millis
	// DurationMs is the duration of a lease.
	DurationMs clock.Millis
}

// Decide returns the next order for an engine, or false if it needs none now: its models match the
// table, an order is outstanding, or the order would be unsafe. An engine that does not check
// tokens could still be executing an order of an earlier lease holder, or receive one that the
// holder sent before it was paused. It gets no order until the earlier lease and the longest order
// have expired.
func Decide(row *table.Upstream, state engine.OrderState, lease Lease, now clock.Millis) (engine.Order, bool) {
	if state.Outstanding != "" || now >= lease.UntilMs || state.NewestToken > lease.Token {
		return engine.Order{}, false
	}
	if !row.ChecksTokens && now < lease.SinceMs+lease.DurationMs+MaxOrderDurationMs {
		return engine.Order{}, false
	}
	if model, found := firstMissing(row.Serves, state.Models); found {
		return engine.Order{Token: lease.Token, Action: engine.ActionLoad, Model: model}, true
	}
	if model, found := firstMissing(state.Models, row.Serves); found && !row.Draining {
		return engine.Order{Token: lease.Token, Action: engine.ActionUnload, Model: model}, true
	}
	return engine.Order{}, false
}

// Converged reports whether an engine's models match the table and no order is outstanding.
func Converged(row *table.Upstream, state engine.OrderState) bool {
	_, missing := firstMissing(row.Serves, state.Models)
	_, extra := firstMissing(state.Models, row.Serves)
	return state.Outstanding == "" && !missing && (!extra || row.Draining)
}

// firstMissing returns the first wanted model that is not present.
func firstMissing(wanted, present []string) (string, bool) {
	for _, model := range wanted {
		if !slices.Contains(present, model) {
			return model, true
		}
	}
	return "", false
}
