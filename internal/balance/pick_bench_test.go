package balance

import (
	"fmt"
	"testing"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/registry"
	"dooryard.example/dooryard/internal/upstream"
)

// BenchmarkPick measures a pick with its release. The times per operation, with the same allocations
// before and after upstreams could request a backoff (three runs each), are:
//
//   - session among 15 upstreams: 3.3 to 3.8 us before, 4.0 to 4.1 us after
//   - session among 10,000 upstreams: 7.0 to 7.3 ms before, 6.8 to 7.5 ms after
//   - plain request among 15 upstreams: 1.2 to 1.3 us before, 1.4 to 1.6 us after
//   - plain request among 10,000 upstreams: 0.90 to 0.95 ms before, 0.95 to 1.04 ms after
//   - all upstreams backing off: 0.2 us among 15, 0.25 to 0.38 ms among 10,000
func BenchmarkPick(b *testing.B) {
	for _, count := range []int{15, 10_000} {
		for name, ask := range map[string]PickRequest{"session": sticky("s"), "plain": {Pool: "p"}} {
			benchmarkPick(b, fmt.Sprintf("%s of %d", name, count), newLargePool(count), ask)
			backingOff := newLargePool(count)
			for _, member := range backingOff.byID {
				member.signals.backoffUntilMs = 2000
			}
			benchmarkPick(b, fmt.Sprintf("%s of %d backing off", name, count), backingOff, ask)
		}
	}
}

func benchmarkPick(b *testing.B, name string, m *Manager, ask PickRequest) {
	b.Helper()
	b.Run(name, func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if lease, err := m.Pick(ask); err == nil {
				lease.Release(Neutral)
			}
		}
	})
}

// newLargePool returns a manager with count upstreams in one pool.
func newLargePool(count int) *Manager {
	list := make([]registry.Upstream, count)
	for i := range list {
		list[i] = registry.Upstream{
			ID: fmt.Sprintf("u%05d", i), Pool: "p", Address: "127.0.0.1:1", FailureDomain: "d", Slots: 8,
		}
	}
	monotonic := func() clock.Millis { return 1000 }
	m := New(Settings{FailureDomain: "d", BoundPercent: 150, PanicPercent: 50}, monotonic,
		func(address string) *upstream.Client { return upstream.New(address, monotonic) }, func(int) int { return 0 })
	m.SetUpstreams(list)
	return m
}
