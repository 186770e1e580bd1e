package balance

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/health"
	"dooryard.example/dooryard/internal/registry"
	"dooryard.example/dooryard/internal/upstream"
)

// dialed is a manager whose dials fail at the upstreams in down.
type dialed struct {
	*Manager
	now  clock.Millis
	down map[string]bool
}

func newDialed(members int) *dialed {
	d := &dialed{now: 1000, down: map[string]bool{}}
	monotonic := func() clock.Millis { return d.now }
	dial := func(_ context.Context, _, address string) (net.Conn, error) {
		if d.down[address] {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}
		near, _ := net.Pipe()
		return near, nil
	}
	d.Manager = New(
		Settings{FailureDomain: "d0", BoundPercent: 140, PanicPercent: 85, Health: health.Limits{BaseMs: 1000, MaxMs: 8000}},
		monotonic, func(address string) *upstream.Client {
			return upstream.New(address, monotonic, upstream.WithDial(dial))
		},
		func(int) int { return 0 },
	)
	list := []registry.Upstream{}
	for i := range members {
		list = append(list, registry.Upstream{
			ID: fmt.Sprint("u", i), Pool: "p", Address: fmt.Sprint("u", i), FailureDomain: fmt.Sprint("d", i%3), Slots: 8,
		})
	}
	d.SetUpstreams(list)
	return d
}

// probe dials the upstreams that are due, and returns how many there are.
func (d *dialed) probe(t *testing.T) int {
	t.Helper()
	targets := d.ReachabilityProbes()
	for _, c := range targets {
		c.ProbeReachable(t.Context())
	}
	return len(targets)
}

// try dials an upstream as a request does.
func (d *dialed) try(t *testing.T, id string) {
	t.Helper()
	d.byID[id].client.ProbeReachable(t.Context())
}

// TestUnreachable guards against requests that try upstreams one by one while all are out of reach, and against a
// pool that is given up although one of its upstreams works.
func TestUnreachable(t *testing.T) {
	t.Run("a pool is unreachable once the latest dials to all its upstreams have failed", func(t *testing.T) {
		d := newDialed(3)
		for i := range 3 {
			assert.Empty(t, d.Unreachable())
			d.down[fmt.Sprint("u", i)] = true
			d.try(t, fmt.Sprint("u", i))
		}
		assert.Equal(t, []string{"p"}, d.Unreachable())
		_, err := d.Pick(PickRequest{Pool: "p"})
		require.ErrorIs(t, err, ErrPartitioned)
		require.ErrorIs(t, err, ErrNoUpstream)
	})
	t.Run("one upstream that opens connections keeps it reachable", func(t *testing.T) {
		d := newDialed(40)
		for i := range 39 {
			d.down[fmt.Sprint("u", i)] = true
			d.try(t, fmt.Sprint("u", i))
		}
		d.now += 10 * clock.Second
		_, err := d.Pick(PickRequest{Pool: "p"})
		require.NoError(t, err)
	})
	t.Run("half of the upstreams that fail cause the others to be dialed, a few at once", func(t *testing.T) {
		d := newDialed(40)
		for i := range 40 {
			d.down[fmt.Sprint("u", i)] = true
		}
		for i := range 19 {
			d.try(t, fmt.Sprint("u", i))
		}
		assert.Zero(t, d.probe(t))
		d.try(t, "u19")
		rounds := 0
		for ; len(d.Unreachable()) == 0; rounds++ {
			assert.LessOrEqual(t, d.probe(t), maxReachabilityProbes)
			d.now += 250
		}
		assert.LessOrEqual(t, rounds, 3)
	})
	t.Run("upstreams behind a partitioned path count as failed and are not dialed", func(t *testing.T) {
		d := newDialed(6)
		for _, domain := range []string{"d0", "d1", "d2"} {
			d.RecordProbe(domain, false)
		}
		assert.Equal(t, []string{"p"}, d.Unreachable())
		assert.Zero(t, d.probe(t))
	})
	t.Run("an upstream that is draining neither helps nor counts", func(t *testing.T) {
		d := newDialed(2)
		d.byID["u1"].drainingEntry = true
		d.down["u0"] = true
		d.try(t, "u0")
		assert.Equal(t, []string{"p"}, d.Unreachable())
		d.byID["u0"].drainingEntry = true
		assert.Empty(t, d.Unreachable(), "nothing is left that another box could reach")
	})
	t.Run("a pool is reachable again with the first probe that opens", func(t *testing.T) {
		d := newDialed(12)
		for i := range 12 {
			d.down[fmt.Sprint("u", i)] = true
			d.try(t, fmt.Sprint("u", i))
		}
		clear(d.down)
		d.now += 250
		d.probe(t)
		lease, err := d.Pick(PickRequest{Pool: "p"})
		require.NoError(t, err)
		assert.NotEmpty(t, lease.ID)
	})
	t.Run("upstreams that respond on connections from before are reachable, also if they reset new ones", func(t *testing.T) {
		d := newDialed(2)
		lease, err := d.Pick(PickRequest{Pool: "p"})
		require.NoError(t, err)
		for _, id := range []string{"u0", "u1"} {
			d.down[id] = true
			d.try(t, id)
		}
		assert.Equal(t, []string{"p"}, d.Unreachable())
		d.now++
		lease.RecordContact()
		assert.Empty(t, d.Unreachable())
		d.now++
		d.try(t, lease.ID)
		assert.Equal(t, []string{"p"}, d.Unreachable())
	})
	t.Run("a request that all upstreams failed is not partitioned", func(t *testing.T) {
		d := newDialed(2)
		_, err := d.Pick(PickRequest{Pool: "p", Tried: []string{"u0", "u1"}})
		require.ErrorIs(t, err, ErrNoUpstream)
		assert.NotErrorIs(t, err, ErrPartitioned)
	})
}

// TestSilentUpstreams guards against a box that takes the messages of other boxes in a failure domain as a sign that
// the domain's upstreams can be reached.
func TestSilentUpstreams(t *testing.T) {
	f := newFixture(t, 6)
	f.now += quietProbeIntervalMs
	lease := f.pick(t, PickRequest{Pool: "p"})
	wait := func(span clock.Millis) {
		f.now += span
		for domain := range heartbeats {
			f.RecordContact(domain)
		}
	}
	wait(maxUpstreamSilenceMs)
	assert.Empty(t, dueProbes(f))
	wait(1)
	assert.Equal(t, []string{lease.FailureDomain}, dueProbes(f))
	f.RecordProbe(lease.FailureDomain, true)
	wait(quietProbeIntervalMs - 1)
	assert.Empty(t, dueProbes(f), "a path that works is probed rarely")
	wait(1)
	assert.Equal(t, []string{lease.FailureDomain}, dueProbes(f))
	f.RecordProbe(lease.FailureDomain, true)
	lease.Release(Succeeded)
	wait(quietProbeIntervalMs)
	assert.Empty(t, dueProbes(f), "nothing is in flight")
}
