package gateway

import (
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/namekey"
)

// TestHandoverAfterReload guards against a draining process that other boxes forget, because its settings have another
// peers' address since, which holds from the next start on.
func TestHandoverAfterReload(t *testing.T) {
	for name, reloads := range map[string]bool{"the same settings": false, "another peers' address": true} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, func(f *fleet) {
				t, out := f.t, &logBuffer{}
				f.out = out
				f.upstream("u", respondLate(t, 3500*time.Millisecond))
				other := f.box(2)
				drains := f.box(1, withContact(other))
				open := drains.packets
				drains.packets = func(network, address string) (net.PacketConn, error) {
					if strings.HasPrefix(address, "127.0.9.9:") {
						return nil, syscall.EADDRNOTAVAIL
					}
					return open(network, address)
				}
				advance(t, time.Second)
				if reloads {
					settings := drains.Settings()
					settings.PeersAddress = "127.0.9.9:1020"
					drains.Reload(settings)
				}
				drains.stop()
				advance(t, maxAnnounceMs.Duration()-200*time.Millisecond)
				caller := drains.connect(drains.settings.CallersAddress)
				caller.write(requestText("/unsafe/", "Content-Length: 0\r\n"))
				advance(t, 3200*time.Millisecond)
				assert.EqualValues(t, 1, drains.requests.Load())
				assert.Equal(t, 1, other.peering.mesh.OthersInFlight()[namekey.Of("u")], "another box knows the request")
				assert.Empty(t, out.with("listener failed"))
				caller.assertServed()
			})
		})
	}
}
