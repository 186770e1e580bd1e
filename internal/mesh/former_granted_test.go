package mesh

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAdmissionThatIsTakenAfterHandover guards against a request that an owner counts under two addresses, or after its
// end, because its grant came right before its process gave up the address.
func TestAdmissionThatIsTakenAfterHandover(t *testing.T) {
	for name, starts := range map[string]bool{"a later process starts": true, "none starts": false} {
		t.Run(name, func(t *testing.T) {
			runAdmissions(t, func(f *admissions) {
				q := (*admissionRequest)(nil)
				f.asker.BroadcastDraining()
				require.NoError(f.t, f.asker.GiveUpAddress(func() (string, net.PacketConn, error) {
					// The goroutine that asked has no processor time until the address was given up.
					q = f.asker.admissions.start(f.asker.Mesh, f.owner.self, f.ask(false))
					q.send(q.ask)
					synctest.Wait()
					require.Len(f.t, q.answers, 1)
					conn, err := f.network.Host(f.asker.self.Box).ListenPackets("udp", "127.0.0.1:0")
					require.NoError(f.t, err)
					before, err := f.asker.socket.Move(func() (net.PacketConn, error) { return conn, nil })
					return conn.LocalAddr().String(), before, err
				}))
				reply := q.decided(<-q.answers)
				if starts {
					f.boxes, f.restarts = f.boxes[:1:1], f.restarts+1
					f.start("d2")
					f.boxes = append(f.boxes, f.asker)
				}
				advance(f.t, 3*time.Second)
				f.assertSizes(1, 0)
				reply.Release(true)
				advance(f.t, time.Second)
				f.assertSizes(0, 0)
			})
		})
	}
}
