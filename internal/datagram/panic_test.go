package datagram

import (
	"context"
	"expvar"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/guard"
)

// TestDatagramWhoseHandlerPanics guards against a box that a datagram of another box ends.
func TestDatagramWhoseHandlerPanics(t *testing.T) {
	panics, handled := make(chan guard.Panic, 1), make(chan string, 1)
	defer guard.Handle(func(p guard.Panic) { panics <- p })()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	s := New(conn, func() []string { return []string{oldKey} }, &expvar.Int{}, zap.NewNop())
	s.AddChannel(Channel{
		Prefix: 'm', MACBytes: 8, Sent: &expvar.Int{}, Received: &expvar.Int{},
		Handle: func(_ string, body []byte) {
			if string(body) == "fatal" {
				panic("broken")
			}
			handled <- string(body)
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { s.Run(ctx) })
	s.Send('m', conn.LocalAddr().String(), []byte("fatal"))
	assert.Equal(t, "broken", (<-panics).Value)
	s.Send('m', conn.LocalAddr().String(), []byte("sound"))
	assert.Equal(t, "sound", <-handled)
	cancel()
	running.Wait()
}
