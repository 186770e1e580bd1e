package mesh

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/occupancy"
)

// TestPermitThatIsGrantedInHandover guards against a request that an owner counts no more, or for ever, because the
// answer to its question came while its process gave up the address.
func TestPermitThatIsGrantedInHandover(t *testing.T) {
	for name, starts := range map[string]bool{"a later process starts": true, "none starts": false} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(f *fixture) {
				owner, asker := f.start("d1"), f.start("d2")
				advance(f.t, time.Second)
				asker.BroadcastDraining()
				reply := occupancy.Reply{}
				require.NoError(f.t, asker.GiveUpAddress(func() (string, net.PacketConn, error) {
					reply = asker.AcquirePermit(f.t.Context(), permitAt("u", "d1", 1))
					conn, err := f.network.Host(asker.self.Box).ListenPackets("udp", "127.0.0.1:0")
					require.NoError(f.t, err)
					before, err := asker.socket.Move(func() (net.PacketConn, error) { return conn, nil })
					return conn.LocalAddr().String(), before, err
				}))
				require.True(f.t, reply.Granted)
				require.False(f.t, reply.Unanswered)
				if starts {
					f.boxes, f.restarts = f.boxes[:1:1], f.restarts+1
					f.start("d2")
					f.boxes = append(f.boxes, asker)
				}
				advance(f.t, time.Second)
				assert.Equal(f.t, 1, owner.Mesh.ledger.InUse(namekey.Of("u")), "while it runs")
				reply.Release(true)
				synctest.Wait()
				assert.Zero(f.t, owner.Mesh.ledger.InUse(namekey.Of("u")), "after its end")
			})
		})
	}
}
