package mesh

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/server"
)

// replace lets a box drain and give up its address, at which a later process of it starts.
func (f *fixture) replace(number int) (former, next *box) {
	f.t.Helper()
	former = f.boxes[number]
	former.BroadcastDraining()
	require.NoError(f.t, former.GiveUpAddress(func() (string, net.PacketConn, error) {
		conn, err := f.network.Host(former.self.Box).ListenPackets("udp", "127.0.0.1:0")
		require.NoError(f.t, err)
		before, err := former.socket.Move(func() (net.PacketConn, error) { return conn, nil })
		return conn.LocalAddr().String(), before, err
	}))
	others := f.boxes
	f.boxes, f.restarts = others[:number:number], f.restarts+1
	next = f.start(former.self.FailureDomain)
	f.boxes = append(append(f.boxes, others[number+1:]...), former)
	return former, next
}

// movable returns a connection that can move.
func movable(conn net.PacketConn) *server.PacketConn {
	return server.NewPacketConn(conn, clock.New(), nil, func(error) {}, func(error) {})
}

// TestFormerProcess guards against boxes that forget the requests of a process which drains beside a later one of its
// box, or take the later one to be draining.
func TestFormerProcess(t *testing.T) {
	t.Run("both are known until the former one ends", func(t *testing.T) {
		runInBubble(t, func(f *fixture) {
			other := f.start("d")
			f.start("d").setInFlight(loads{"u": 3})
			advance(f.t, time.Second)
			former, next := f.replace(1)
			next.setInFlight(loads{"u": 1})
			for range 2 {
				advance(f.t, 3*time.Second)
				key := namekey.Of("u")
				assert.Equal(f.t, 4, other.OthersInFlight()[key])
				assert.Equal(f.t, 3, next.OthersInFlight()[key])
				assert.Equal(f.t, []int{2, 2, 2}, []int{other.Boxes(), other.KnownBoxes(), next.KnownBoxes()})
			}
			former.stop()
			advance(f.t, 3*time.Second)
			synctest.Wait()
			assert.Equal(f.t, 1, other.OthersInFlight()[namekey.Of("u")])
			assert.Len(f.t, other.peers, 1)
			assert.Zero(f.t, other.formerPeers)
		})
	})
	t.Run("processes that drain in series are known", func(t *testing.T) {
		runInBubble(t, func(f *fixture) {
			other := f.start("d")
			f.start("d")
			for range 3 {
				f.boxes[1].setInFlight(loads{"u": 1})
				advance(f.t, 500*time.Millisecond)
				f.replace(1)
			}
			advance(f.t, time.Second)
			assert.Equal(f.t, 3, other.OthersInFlight()[namekey.Of("u")])
			assert.Equal(f.t, 2, other.Boxes())
		})
	})
}

// TestFormerProcessAtOwners guards against owners that no longer count the requests of a process which drains beside a
// later one of its box, or count them after their end.
func TestFormerProcessAtOwners(t *testing.T) {
	t.Run("admissions", func(t *testing.T) {
		runAdmissions(t, func(f *admissions) {
			reply := f.admit(f.asker)
			f.replace(1)
			advance(f.t, time.Second)
			f.assertSizes(1, 0)
			reply.Release(true)
			synctest.Wait()
			f.assertSizes(0, 0)
		})
	})
	t.Run("the slots of admissions are not given to those that wait", func(t *testing.T) {
		runAdmissions(t, func(f *admissions) {
			reply := f.admit(f.asker)
			waiting := f.start("d2")
			advance(f.t, time.Second)
			f.enqueue(waiting)
			f.assertSizes(1, 1)
			f.replace(1)
			advance(f.t, time.Second)
			f.assertSizes(1, 1)
			reply.Release(true)
			advance(f.t, time.Second)
			f.assertSizes(1, 0)
		})
	})
	t.Run("permits", func(t *testing.T) {
		runInBubble(t, func(f *fixture) {
			owner, asker := f.start("d1"), f.start("d2")
			advance(f.t, time.Second)
			reply := asker.AcquirePermit(f.t.Context(), permitAt("u", "d1", 1))
			require.True(f.t, reply.Granted)
			f.replace(1)
			advance(f.t, time.Second)
			assert.Equal(f.t, 1, owner.Mesh.ledger.InUse(namekey.Of("u")))
			reply.Release(true)
			synctest.Wait()
			assert.Zero(f.t, owner.Mesh.ledger.InUse(namekey.Of("u")))
		})
	})
}
