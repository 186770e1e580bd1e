package gateway

import (
	"dooryard.example/dooryard/internal/balance"
	"dooryard.example/dooryard/internal/routing"
)

// coldStarts returns the cold starts of a state's pools.
func coldStarts(state *routing.State) map[string]balance.ColdStart {
	pools := map[string]balance.ColdStart{}
	for _, p := range state.Content().Pools {
		pools[p.Name] = balance.ColdStart{RequestsPerSecond: p.ColdPerSecond, DurationMs: p.ColdStartMs}
	}
	return pools
}
