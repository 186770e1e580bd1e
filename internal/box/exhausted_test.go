package box

import (
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/testlib"
)

// withoutDescriptors is a listener that accepts nothing for want of descriptors.
type withoutDescriptors struct{ net.Listener }

func (withoutDescriptors) Addr() net.Addr            { return &net.TCPAddr{} }
func (withoutDescriptors) Close() error              { return nil }
func (withoutDescriptors) Accept() (net.Conn, error) { return nil, syscall.EMFILE }

// TestLinesWithoutDescriptors guards against lines at the rate of failed accepts while descriptors are exhausted.
func TestLinesWithoutDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, lines := observer.New(zap.WarnLevel)
		b := &Box{clock: clock.New(), logger: zap.New(core), listen: func(string, string) (net.Listener, error) {
			return withoutDescriptors{}, nil
		}, packets: testlib.NewNetwork().Host("box").ListenPackets}
		require.NoError(t, b.bindSockets(t.Context()))
		l, err := b.survivingListener(callersSocket)("tcp", "127.0.0.1:1")
		require.NoError(t, err)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_, err := l.Accept()
			assert.Error(t, err)
		}()
		time.Sleep(time.Minute)
		assert.LessOrEqual(t, lines.Len(), 70, "lines in a minute: one a second, and those of the first backoffs")
		require.NoError(t, l.Close())
		<-ended
	})
}
