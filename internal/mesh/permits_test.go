package mesh

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/occupancy"
)

// ownInFlightByPool returns the box's requests in flight. All upstreams of the tests belong to one
// pool.
func (b *box) ownInFlightByPool() map[namekey.Key]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := 0
	for _, count := range b.inFlight {
		sum += count
	}
	return map[namekey.Key]int{namekey.Of("p"): sum}
}

const (
	largeTestFleet = 135
	testDomains    = 5
)

// runLargeFleet runs a test on a fleet that is so large that upstreams have owners.
func runLargeFleet(t *testing.T, test func(f *fixture)) {
	t.Helper()
	runInBubble(t, func(f *fixture) {
		for i := range largeTestFleet {
			f.start(fmt.Sprint("d", i%testDomains)).setInFlight(loads{"u": i % 7})
		}
		// The boxes' views of the fleet differ until every box has pinged every other one.
		advance(f.t, time.Minute)
		test(f)
	})
}

// permitAt returns the request for a permit under a bound.
func permitAt(upstream, failureDomain string, bound int) PermitRequest {
	return PermitRequest{Upstream: namekey.Of(upstream), FailureDomain: failureDomain, Bound: bound}
}

// acquireAll lets each box request a permit at an upstream. It returns the number of granted permits
// and a function that releases them.
func (f *fixture) acquireAll(upstream string, bound int) (granted int, release func()) {
	releases := []func(served bool){}
	for _, b := range f.boxes {
		reply := b.AcquirePermit(f.t.Context(), permitAt(upstream, "d1", bound))
		if reply.Granted {
			granted++
			releases = append(releases, reply.Release)
		}
	}
	return granted, func() {
		for _, releaseOne := range releases {
			releaseOne(true)
		}
	}
}

// permits returns the total number of unexpired permits that the boxes have granted as owners.
func (f *fixture) permits() int {
	sum := 0
	for _, b := range f.boxes {
		b.ExpirePermits()
		sum += b.Sizes().Permits.Permits
	}
	return sum
}

// provisionalPermits returns how many permits were granted provisionally.
func (f *fixture) provisionalPermits() int64 {
	sum := int64(0)
	for _, b := range f.boxes {
		sum += b.Sizes().ProvisionalPermits
	}
	return sum
}

func TestPermits(t *testing.T) {
	runLargeFleet(t, func(f *fixture) {
		t := f.t
		granted, release := f.acquireAll("u", 9)
		assert.Equal(t, 9, granted, "all boxes together get as many permits as the bound allows")
		assert.Equal(t, int64(9), f.provisionalPermits(), "the owner has just begun to count")
		release()
		advance(t, time.Second)
		assert.Zero(t, f.permits())
		advance(t, 2*time.Second)
		granted, _ = f.acquireAll("u", 7)
		assert.Equal(t, 7, granted, "released permits are available again")
		assert.Equal(t, int64(9), f.provisionalPermits(), "the owner's count is complete")
		advance(t, time.Minute)
		assert.Zero(t, f.permits(), "an owner expires permits whose release message was lost")

		reply := f.boxes[0].AcquirePermit(t.Context(), permitAt("u", "nowhere", 0))
		assert.Equal(t, occupancy.Reply{Granted: true, Provisional: true, Unanswered: true}, reply,
			"in a failure domain without boxes")
		sum := 0
		for _, b := range f.boxes {
			sum += b.FleetInFlightByPool()[namekey.Of("p")]
		}
		assert.InEpsilon(t, f.fleetInFlight(), sum/len(f.boxes), 0.25, "the boxes' average estimate of all requests in flight")

		requester := f.boxes[0]
		f.network.SetPartition(func(from, to string) bool { return from == requester.self.Box || to == requester.self.Box })
		start := time.Now()
		reply = requester.AcquirePermit(t.Context(), permitAt("u", "d1", 0))
		assert.True(t, reply.Granted && reply.Provisional, "a box whose request is not answered gets a permit")
		assert.LessOrEqual(t, time.Since(start), 2*permitTimeoutMs.Duration(), "within the timeout")
		reply.Release(true)
		assert.Equal(t, int64(1), requester.Sizes().PermitTimeouts)
		start = time.Now()
		reply = requester.AcquirePermit(t.Context(), permitAt("u", "d1", 0))
		assert.True(t, reply.Granted && reply.Provisional)
		assert.Equal(t, start, time.Now(), "a box doesn't wait again for an owner that has just not answered")
		advance(t, ownerRetryMs.Duration())
		_ = requester.AcquirePermit(t.Context(), permitAt("u", "d1", 0))
		assert.Equal(t, int64(2), requester.Sizes().PermitTimeouts, "it asks again later")
	})
}

// fleetInFlight returns the requests in flight of all boxes.
func (f *fixture) fleetInFlight() int {
	sum := 0
	for _, b := range f.boxes {
		sum += b.ownInFlightByPool()[namekey.Of("p")]
	}
	return sum
}

// TestPermitsOfRestartedBox guards against engines that seem full after many boxes were killed, because the permits of
// their requests count until they expire.
func TestPermitsOfRestartedBox(t *testing.T) {
	runInBubble(t, func(f *fixture) {
		owner, other := f.start("d1"), f.start("d2")
		advance(f.t, 3*time.Second)
		for range 3 {
			require.True(f.t, other.AcquirePermit(f.t.Context(), permitAt("u", "d1", 9)).Granted)
		}
		require.True(f.t, owner.AcquirePermit(f.t.Context(), permitAt("u", "d1", 9)).Granted)
		ping := func(incarnation int64) {
			from := other.self
			from.Incarnation = incarnation
			owner.handle(&packet{Type: typePing, From: from}, &net.UDPAddr{})
		}
		ping(other.self.Incarnation)
		assert.Equal(f.t, 4, owner.Sizes().Permits.Permits, "the same process")
		ping(other.self.Incarnation + 1)
		assert.Equal(f.t, 1, owner.Sizes().Permits.Permits, "the next process; the owner's own permit stays")
	})
}

func TestInFlightByPoolOfSmallFleet(t *testing.T) {
	runInBubble(t, func(f *fixture) {
		f.start("d")
		f.start("d")
		advance(f.t, 3*time.Second)
		assert.Nil(f.t, f.boxes[0].FleetInFlightByPool(), "a small fleet exchanges loads by upstream")
	})
}

func TestPermitMessages(t *testing.T) {
	t.Run("are small", func(t *testing.T) {
		for _, p := range []permitMessage{
			{Kind: permitAcquire, Number: 1 << 31, Upstream: 1 << 31, Bound: 300},
			{Kind: permitGranted, Number: 1 << 31},
			{Kind: permitRelease, Number: 1 << 31},
		} {
			data, err := cbor.Marshal(p)
			require.NoError(t, err)
			assert.LessOrEqual(t, len(data), 16)
			assert.True(t, isPermitMessage(data))
			read, err := decodePermitMessage(data)
			require.NoError(t, err)
			assert.Equal(t, p, read)
		}
	})
	t.Run("are distinguished from other datagrams", func(t *testing.T) {
		data, err := (&packet{Type: typePing}).encode()
		require.NoError(t, err)
		assert.False(t, isPermitMessage(data))
		assert.False(t, isPermitMessage(nil))
	})
	for name, data := range map[string][]byte{
		"truncated after one element": {0x85, 1}, "of an unknown kind": {0x85, 9, 1, 1, 1, 1}, "with a negative bound": {0x85, 1, 1, 1, 0x20, 1},
	} {
		t.Run("a message "+name+" is rejected", func(t *testing.T) {
			_, err := decodePermitMessage(data)
			require.ErrorIs(t, err, ErrInvalid)
		})
	}
}

// TestReportRejection guards against boxes that go on getting permits at an upstream that rejected another box's request.
func TestReportRejection(t *testing.T) {
	runInBubble(t, func(f *fixture) {
		for range 3 {
			f.start("d")
		}
		advance(f.t, 2*time.Second)
		request := PermitRequest{Upstream: namekey.Of("u"), FailureDomain: "d", Bound: 8}
		for i := range 3 {
			assert.True(f.t, f.boxes[i].AcquirePermit(f.t.Context(), request).Granted)
		}
		f.boxes[1].ReportRejection(request.Upstream, request.FailureDomain)
		advance(f.t, permitTimeoutMs.Duration())
		for i := range 3 {
			assert.False(f.t, f.boxes[i].AcquirePermit(f.t.Context(), request).Granted)
		}
	})
}
