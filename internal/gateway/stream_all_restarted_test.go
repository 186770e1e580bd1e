package gateway

import (
	"testing"
	"time"

	"dooryard.example/dooryard/internal/position"
	"dooryard.example/dooryard/internal/registry"
	"dooryard.example/dooryard/internal/streams"
	"dooryard.example/dooryard/pkg/config"
)

// allBoxesReplaced cuts the boxes that run off from everything, as if they were killed, and starts others.
func (f *fleet) allBoxesReplaced(change ...func(g *config.Gateway)) []*running {
	f.t.Helper()
	f.network.SetPartition(func(from, to string) bool { return isOldBox(from) || isOldBox(to) })
	first := f.box(11, change...)
	return []*running{first, f.box(12, append(change, withContact(first))...)}
}

func isOldBox(name string) bool { return name == "box-1" || name == "box-2" }

// replaceVersion replaces the upstreams of v1 by one of v2.
func (f *fleet) replaceVersion() {
	f.pausingUpstreams("uz-v2")
	f.store.remove("ua-v1")
	f.store.remove("ub-v1")
}

// TestStreamNotJoinedAfterAllBoxesRestart guards against a stream that goes on at the only version that boxes have seen
// since they were all killed and started.
func TestStreamNotJoinedAfterAllBoxesRestart(t *testing.T) {
	for name, named := range map[string]bool{"callers name the stream": true, "callers name no stream": false} {
		t.Run(name, func(t *testing.T) {
			begin := func(f *fleet) []begun {
				f.pausingUpstreams("ua-v1", "ub-v1")
				boxes := f.boxes(2)
				advance(f.t, time.Minute)
				if named {
					return boxes[0].beginEach("s", 3)
				}
				boxes[0].beginEach("s", 3)
				return []begun{{version: "v1"}}
			}
			t.Run("the older servers left before the boxes started", func(t *testing.T) {
				runWithFleet(t, func(f *fleet) {
					streams := begin(f)
					f.replaceVersion()
					for _, b := range f.allBoxesReplaced() {
						assertStreamsRefused(f.t, b, streams)
						advance(f.t, 10*time.Second)
						assertStreamsRefused(f.t, b, streams)
					}
				})
			})
			t.Run("the older servers leave while the boxes start", func(t *testing.T) {
				runWithFleet(t, func(f *fleet) {
					streams := begin(f)
					f.pausingUpstreams("uz-v2")
					boxes := f.allBoxesReplaced()
					f.store.remove("ua-v1")
					f.store.remove("ub-v1")
					advance(f.t, 3*time.Second)
					assertStreamsRefused(f.t, boxes[0], streams)
				})
			})
		})
	}
	t.Run("callers that name no stream go on after the window", func(t *testing.T) {
		runWithFleet(t, func(f *fleet) {
			f.pausingUpstreams("ua-v1", "ub-v1")
			f.boxes(2)
			boxes := f.allBoxesReplaced()
			advance(f.t, streams.WindowMs.Duration()+time.Second)
			assertGoOn(f.t, boxes[0], []begun{{version: "v1"}})
		})
	})
}

// TestStreamVersionWithinOneRead guards against a version that counts as the only one although the entries of another one
// appeared and disappeared between two reads.
func TestStreamVersionWithinOneRead(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		f.pausingUpstreams("ua-v1")
		b := f.box(1)
		advance(f.t, time.Minute)
		unnamed := []begun{{version: "v1"}}
		assertGoOn(f.t, b, unnamed)
		at := b.registry.Position()
		newer := registry.Upstream{ID: "ub-v2", Pool: "p", Address: "127.0.0.1:1", SoftwareVersion: "v2", Slots: 1}
		b.sink.asSink().Upstreams([]registry.Change{
			{Upstream: newer, Position: position.At(at.Era, at.Offset+1)},
			{Upstream: registry.Upstream{ID: newer.ID}, Removed: true, Position: position.At(at.Era, at.Offset+2)},
		}, position.At(at.Era, at.Offset+2), f.clock.Monotonic())
		assertStreamsRefused(f.t, b, unnamed)
	})
}
