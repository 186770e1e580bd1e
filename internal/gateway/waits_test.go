package gateway

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestBoxThatWaitsTakesMendedAddress guards against a box that waits for ever for an address that its settings no longer
// have.
func TestBoxThatWaitsTakesMendedAddress(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		f.upstream("u", respondWith("done"))
		out, h := &logBuffer{}, f.network.Host("box-1")
		listen := func(network, address string) (net.Listener, error) {
			if address == "127.0.0.1:1000" {
				return nil, syscall.EADDRNOTAVAIL
			}
			return h.Listen(network, address)
		}
		b, cancel, done := f.runWithSockets(out, WithListen(listen), WithListenPackets(h.ListenPackets))
		advance(f.t, time.Second)
		assert.Contains(f.t, out.String(), "listener retried")
		settings := b.Settings()
		settings.CallersAddress = "127.0.0.1:1001"
		b.Reload(settings)
		advance(f.t, time.Minute)
		assert.Contains(f.t, out.String(), `"msg":"started"`, "the process serves, or has ended so that the next one can")
		cancel()
		require.NoError(f.t, <-done)
	})
}
