package box

import (
	"encoding/json"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/pool"
)

type jsonRecord = json.RawMessage

// Status is what a box says of itself and of the fleet as it sees it.
type Status struct {
	Box           string       `json:"box"`
	FailureDomain string       `json:"failure_domain"`
	Ready         bool         `json:"ready"`
	NowMs         clock.Millis `json:"now_ms"`
	// TableOffset is the offset that the table in force has reached.
	TableOffset int64 `json:"table_offset"`
	// LogSource is where the table's records came from last.
	LogSource string `json:"log_source"`
	// LogReadMs is the instant of the last read that was answered.
	LogReadMs clock.Millis `json:"log_read_ms"`
	Running   int          `json:"running"`
	Waiting   int          `json:"waiting"`
	Upstreams []pool.Load  `json:"upstreams"`
}

// Status returns the box's state now.
func (b *Box) Status() Status {
	running, waiting := b.admit.Lengths()
	return Status{
		Box: b.settings.Box, FailureDomain: b.settings.FailureDomain, Ready: b.Ready(), NowMs: b.clock.Now(),
		TableOffset: b.store.State().Offset(), LogSource: b.follower.Source(), LogReadMs: b.follower.LastReadMs(),
		Running: running, Waiting: waiting, Upstreams: b.pools.Loads(),
	}
}
