package soak

import (
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/platform/standin"
)

// TestCheckPartitions checks that a box that serves worse than the others during its partition is found, and no other.
func TestCheckPartitions(t *testing.T) {
	start := time.Now().Add(-time.Minute)
	const requests = 60
	for _, c := range []struct {
		name                string
		served, othersServe int
		disturbed           bool
		found               int
	}{
		{"as well as the others", 60, 60, false, 0},
		{"two thirds as often", 40, 60, false, 0},
		{"less than that", 39, 60, false, 1},
		{"nothing", 0, 60, false, 1},
		{"nothing, while the box is disturbed", 0, 60, true, 0},
		{"nothing, as the others", 0, 0, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHistory()
			h.timed = true
			h.partitions = []*partitionOf{{boxes: []string{"a"}, interval: interval{from: start, to: start.Add(5 * time.Second)}}}
			if c.disturbed {
				h.disturbances.begin("a", start.Add(time.Second))
			}
			sent := start.Add(partitionNoticeSpan + time.Millisecond)
			for i := range requests {
				h.recordOutcome(outcomeAt("a", sent, i < c.served))
				h.recordOutcome(outcomeAt("b", sent, i < c.othersServe))
			}
			assert.Len(t, h.checkPartitions(), c.found)
		})
	}
}

// TestPartitionsAreComparedAtTheSameTime guards against callers that are refused, and send more, in a time in which nobody
// is served: they would hide a box that serves worse before, or make one that serves as well a finding.
func TestPartitionsAreComparedAtTheSameTime(t *testing.T) {
	start := time.Now().Add(-time.Minute)
	for _, c := range []struct {
		name string
		// refusedA and refusedB are the requests in the time in which nobody is served.
		served, refusedA, refusedB, found int
	}{
		{"as well, with more refusals", 60, 600, 60, 0},
		{"two thirds as often", 40, 600, 60, 0},
		{"less than that, with more refusals", 39, 600, 60, 1},
		{"less than that, with fewer refusals", 39, 60, 600, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHistory()
			h.timed = true
			h.partitions = []*partitionOf{{boxes: []string{"a"}, interval: interval{from: start, to: start.Add(5 * time.Second)}}}
			sent := start.Add(partitionNoticeSpan)
			for i := range 60 {
				h.recordOutcome(outcomeAt("a", sent, i < c.served))
				h.recordOutcome(outcomeAt("b", sent, true))
			}
			for range c.refusedA {
				h.recordOutcome(outcomeAt("a", sent.Add(partitionSlice), false))
			}
			for range c.refusedB {
				h.recordOutcome(outcomeAt("b", sent.Add(partitionSlice), false))
			}
			assert.Len(t, h.checkPartitions(), c.found)
		})
	}
	assert.InDelta(t, 5, partitionStats{Separated: 10}.expected(0.5), 0, "a time in which the others had no request")
}

func outcomeAt(box string, sent time.Time, served bool) standin.Outcome {
	o := standin.Outcome{Box: box, Sent: sent, Ended: sent.Add(time.Millisecond), Status: 503}
	if served {
		o.Status, o.Complete = 200, true
	}
	return o
}

func TestLinkPartitions(t *testing.T) {
	listener := echo(t)
	var owner atomic.Value
	owner.Store("a")
	ownerOf := func(net.Conn) string { return owner.Load().(string) } //nolint:forcetypeassert // Only strings are stored.
	l, err := newLink("127.0.0.1", func() string { return listener.Addr().String() }, withOwners(ownerOf))
	require.NoError(t, err)
	t.Cleanup(l.close)
	dial := func(t *testing.T) net.Conn {
		t.Helper()
		conn, err := net.Dial("tcp", l.address())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	separated := dial(t)
	assertEchoes(t, separated)
	owner.Store("b")
	other := dial(t)
	assertEchoes(t, other)
	l.separate([]string{"a"})
	t.Run("the connections of a separated box are reset", func(t *testing.T) {
		_, err := separated.Read(make([]byte, 1))
		require.ErrorIs(t, err, syscall.ECONNRESET)
	})
	t.Run("those of another box are not", func(t *testing.T) { assertEchoes(t, other) })
	owner.Store("a")
	t.Run("new connections of a separated box are reset", func(t *testing.T) {
		require.ErrorIs(t, dialAndRead(l.address()), syscall.ECONNRESET)
	})
	l.separate(nil)
	t.Run("until it is separated no more", func(t *testing.T) { assertEchoes(t, dial(t)) })
	t.Run("the data of a stalled box is held back, and that of another box is not", func(t *testing.T) {
		stalled := dial(t)
		assertEchoes(t, stalled)
		l.stall([]string{"a"})
		_, err := stalled.Write([]byte("x"))
		require.NoError(t, err)
		owner.Store("b")
		assertEchoes(t, dial(t))
		owner.Store("a")
		require.NoError(t, stalled.SetReadDeadline(time.Now().Add(10*linkPollInterval)))
		_, err = stalled.Read(make([]byte, 1))
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		require.NoError(t, stalled.SetReadDeadline(time.Time{}))
		l.stall(nil)
		_, err = stalled.Read(make([]byte, 1))
		require.NoError(t, err)
	})
	t.Run("a closed link ends connections in order and refuses new ones", func(t *testing.T) {
		open := dial(t)
		assertEchoes(t, open)
		l.set(linkClosed)
		_, err := open.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		_, err = net.Dial("tcp", l.address())
		require.Error(t, err)
	})
}

// dialAndRead returns the error of a new connection. A reset may arrive before Dial returns.
func dialAndRead(address string) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_, err = conn.Read(make([]byte, 1))
	return err
}
