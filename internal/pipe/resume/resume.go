// Package resume is the pipeline step that finds out which software version began a stream that the caller takes up.
// Only upstreams of that version may continue it.
package resume

import (
	"context"

	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/internal/routing"
	"dooryard.example/dooryard/internal/streams"
)

// Dependencies are the parts of the box that the step uses.
type Dependencies struct {
	// Find returns the origin of the stream that the request takes up, or streams.Unknown.
	Find func(ctx context.Context, r *opaque.Request) streams.OriginKey
	// Locate returns the origin with a key, if it is in one of the pools.
	Locate func(key streams.OriginKey, pools []string) (streams.Origin, bool)
}

// Pipe limits streams that callers take up to the origin that began them.
type Pipe struct {
	deps Dependencies
}

// New returns the step.
func New(d Dependencies) *Pipe { return &Pipe{deps: d} }

// String returns the name of the step in logs.
func (*Pipe) String() string { return "resume" }

// Run sets the origin of a stream that the caller takes up, and the pool that began it. The request is refused if the
// origin is unknown, or if it is in none of the pools that the route leads to.
func (p *Pipe) Run(r *opaque.Request) error {
	if r.Route.Kind != routing.Stream || !r.TakesUpStream() {
		return nil
	}
	key := r.ForwardedOrigin
	if key == streams.Unknown {
		key = p.deps.Find(r.Context(), r)
	}
	if key == streams.Unknown {
		return opaque.NewRefusal(opaque.NotRunStatus, opaque.StreamUnknown, 0, nil)
	}
	origin, found := p.deps.Locate(key, r.Pools())
	if !found {
		return opaque.NewRefusal(opaque.NotRunStatus, opaque.StreamVersionGone, 0, nil)
	}
	r.Pool, r.Origin = origin.Pool, &origin
	return nil
}
