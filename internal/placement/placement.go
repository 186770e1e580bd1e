// Package placement decides which orders the engines of a failure domain get, so
// that each serves the models that the table names.
package placement

import (
	"slices"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/engine"
	"dooryard.example/dooryard/internal/table"
)

// LongestOrderMs is the longest time that an order takes on any engine.
const LongestOrderMs = 60 * clock.Second

// Lease is the right to give orders.
type Lease struct {
	Token   int64
	UntilMs clock.Millis
	SinceMs clock.Millis
	// SpanMs is how long a lease lasts.
	SpanMs clock.Millis
}

// Decide returns the next order for an engine, or false when it needs none now:
// its models are as the table says, an order is outstanding, or the order would
// be doubtful. An engine that does not check tokens could still be carrying out
// an earlier holder's order, or get one that the holder sent before it was
// paused: it gets none until the earlier lease and the longest order have run
// out.
func Decide(row *table.Upstream, state engine.OrderState, lease Lease, now clock.Millis) (engine.Order, bool) {
	if state.Outstanding != "" || now >= lease.UntilMs || state.NewestToken > lease.Token {
		return engine.Order{}, false
	}
	if !row.ChecksTokens && now < lease.SinceMs+lease.SpanMs+LongestOrderMs {
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

// Settled reports whether an engine's models are as the table says and nothing is
// under way.
func Settled(row *table.Upstream, state engine.OrderState) bool {
	_, missing := firstMissing(row.Serves, state.Models)
	_, extra := firstMissing(state.Models, row.Serves)
	return state.Outstanding == "" && !missing && (!extra || row.Draining)
}

// firstMissing returns the first of the wanted that is not among the present.
func firstMissing(wanted, present []string) (string, bool) {
	for _, model := range wanted {
		if !slices.Contains(present, model) {
			return model, true
		}
	}
	return "", false
}
