package logstream

import (
	"context"
	"encoding/json"

	"dooryard.example/dooryard/internal/backing"
	"dooryard.example/dooryard/internal/clock"
)

// Read reads records of a stream, like the Read method of backing.Log.
type Read func(
	ctx context.Context, stream string, from int64, limit int, waitMs clock.Millis,
) (backing.Page, error)

// Log provides the log operations needed by components that follow a stream and also append to it.
type Log struct {
	Append func(ctx context.Context, stream string, records ...json.RawMessage) (int64, error)
	Read   Read
}

// Source returns the platform's log as a source of one stream.
func (l Log) Source(stream string) Source {
	return Source{Name: "platform", Read: func(
		ctx context.Context, from int64, limit int, waitMs clock.Millis,
	) (backing.Page, error) {
		return l.Read(ctx, stream, from, limit, waitMs)
	}}
}

// NewLogFollower returns a follower of one stream of the platform's log. It is
// meant for state that does not depend on records past retention: if the requested
// record is past retention, the follower continues at the oldest retained record.
func NewLogFollower(log Log, stream string, record func(backing.Record), options ...Option) *Follower {
	sources := []Source{log.Source(stream)}
	expired := func(ctx context.Context, from int64) (int64, error) {
		page, err := log.Read(ctx, stream, from, 1, 0)
		if page.FirstOffset > from {
			return page.FirstOffset, nil
		}
		return 0, err
	}
	options = append([]Option{WithExpired(expired)}, options...)
	return NewFollower(func() []Source { return sources }, record, options...)
}
