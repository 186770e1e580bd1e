package mesh

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/admission"
	"dooryard.example/dooryard/internal/namekey"
)

// giveUp lets a box that drains go on at another address.
func (f *fixture) giveUp(b *box) {
	f.t.Helper()
	b.BroadcastDraining()
	require.NoError(f.t, b.GiveUpAddress(func() (string, net.PacketConn, error) {
		conn, err := f.network.Host(b.self.Box).ListenPackets("udp", "127.0.0.1:0")
		require.NoError(f.t, err)
		before, err := b.socket.Move(func() (net.PacketConn, error) { return conn, nil })
		return conn.LocalAddr().String(), before, err
	}))
}

// TestRecountOfAdmissions guards against requests that an owner counts for ever, or as not started, after a handover.
func TestRecountOfAdmissions(t *testing.T) {
	t.Run("a request that ended before is not counted", func(t *testing.T) {
		runAdmissions(t, func(f *admissions) {
			reply := f.admit(f.asker)
			q := f.asker.admissions.running()[0]
			reply.Release(true)
			f.giveUp(f.asker)
			asks := 0
			onAsk(f.owner, func(admission.Ask, *admission.Answer) { asks++ })
			q.recount()
			synctest.Wait()
			assert.Zero(f.t, asks)
		})
	})
	t.Run("a request that ends meanwhile is released, though the answer is lost", func(t *testing.T) {
		runAdmissions(t, func(f *admissions) {
			reply, ended := f.admit(f.asker), false
			f.copies.Store(new(func(data []byte) int {
				if !ended && isAdmissionMessage(data) {
					// The release overtakes the message that makes the owner count the request.
					ended = true
					reply.Release(true)
					synctest.Wait()
				}
				if isAdmissionMessage(data) && admissionMessageKind(data[1]) == admissionAnswer {
					// Else the asker would release what the owner grants a request that has ended.
					return 0
				}
				return 1
			}))
			f.giveUp(f.asker)
			require.True(f.t, ended)
			f.assertSizes(0, 0)
		})
	})
	t.Run("a request that has started is counted as started", func(t *testing.T) {
		runAdmissions(t, func(f *admissions) {
			reply := f.admit(f.asker)
			reply.Started()
			synctest.Wait()
			started := 0
			f.copies.Store(new(func(data []byte) int {
				if isAdmissionMessage(data) && admissionMessageKind(data[1]) == admissionStarted {
					started++
				}
				return 1
			}))
			f.giveUp(f.asker)
			assert.Equal(f.t, 1, started)
			f.copies.Store(nil)
			reply.Release(true)
		})
	})
}

// TestLoadOfFormerProcess guards against requests that count twice, under the name of the box and under that of its
// former process, until the box is heard of again.
func TestLoadOfFormerProcess(t *testing.T) {
	runInBubble(t, func(f *fixture) {
		other := f.start("d")
		f.start("d").setInFlight(loads{"u": 3})
		// Between two rounds.
		advance(f.t, 1100*time.Millisecond)
		f.giveUp(f.boxes[1])
		synctest.Wait()
		assert.Equal(f.t, 3, other.OthersInFlight()[namekey.Of("u")])
	})
}

// TestStateOfFormerProcess guards against state that is taken from a process which has given up the address of its box.
func TestStateOfFormerProcess(t *testing.T) {
	runInBubble(t, func(f *fixture) {
		other, former := f.start("d"), f.start("d")
		advance(f.t, 1100*time.Millisecond)
		f.giveUp(former)
		synctest.Wait()
		other.mu.Lock()
		other.answers = nil
		other.mu.Unlock()
		advance(f.t, 3*time.Second)
		other.mu.Lock()
		defer other.mu.Unlock()
		assert.Empty(f.t, other.answers)
	})
}
