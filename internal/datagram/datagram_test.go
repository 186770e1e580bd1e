package datagram

import (
	"context"
	"expvar"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/clock"
)

const (
	oldKey = "the-old-key-of-the-fleet"
	newKey = "the-new-key-of-the-fleet"
)

func TestSealing(t *testing.T) {
	channel := Channel{Prefix: 'm', MACBytes: 8}
	t.Run("opens with any of the keys", func(t *testing.T) {
		body, err := open([]string{newKey, oldKey}, channel, seal(oldKey, channel, []byte("x")))
		require.NoError(t, err)
		assert.Equal(t, "x", string(body))
	})
	t.Run("rejects another key, channel or body", func(t *testing.T) {
		data := seal(oldKey, channel, []byte("x"))
		_, err := open([]string{newKey}, channel, data)
		require.ErrorIs(t, err, ErrUnauthentic)
		_, err = open([]string{oldKey}, Channel{Prefix: 'g', MACBytes: 8}, data)
		require.ErrorIs(t, err, ErrUnauthentic)
		data[len(data)-1]++
		_, err = open([]string{oldKey}, channel, data)
		require.ErrorIs(t, err, ErrUnauthentic)
	})
	t.Run("rejects a datagram that is too short", func(t *testing.T) {
		_, err := open([]string{oldKey}, channel, []byte("m12345678"))
		assert.ErrorIs(t, err, ErrMalformed)
	})
}

func FuzzReceive(f *testing.F) {
	channel := Channel{Prefix: 'm', MACBytes: 8, Received: &expvar.Int{}}
	f.Add(seal(oldKey, channel, []byte("x")))
	f.Fuzz(func(t *testing.T, data []byte) {
		rejected := expvar.Int{}
		s, handled := New(nil, func() []string { return []string{oldKey} }, &rejected, zap.NewNop()), int64(0)
		channel.Handle = func(_ string, body []byte) {
			handled++
			assert.Equal(t, data, seal(oldKey, channel, body))
		}
		s.AddChannel(channel)
		s.receive("", data)
		if len(data) > 0 {
			assert.EqualValues(t, 1, handled+rejected.Value())
		}
	})
}

// failingConn fails to receive until it is closed.
type failingConn struct {
	net.PacketConn
	receives int
}

func (c *failingConn) ReadFrom([]byte) (int, net.Addr, error) {
	c.receives++
	return 0, nil, syscall.ENETDOWN
}

func (*failingConn) Close() error { return nil }

func TestFailedReceivesDoNotKeepTheProcessorBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn := &failingConn{}
		s := New(conn, nil, nil, zap.NewNop())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		s.Run(ctx)
		assert.LessOrEqual(t, conn.receives, int(clock.Second/receiveBackoffMs)+1)
	})
}
