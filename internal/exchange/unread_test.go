package exchange

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
)

// connect returns the ends of a TCP connection with small buffers.
func connect(tb testing.TB) (box, caller *net.TCPConn) {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	defer func() { _ = listener.Close() }()
	near, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(tb, err)
	far, err := listener.Accept()
	require.NoError(tb, err)
	box, caller = far.(*net.TCPConn), near.(*net.TCPConn) //nolint:forcetypeassert // TCP was asked for.
	require.NoError(tb, box.SetWriteBuffer(32<<10))
	require.NoError(tb, caller.SetReadBuffer(64<<10))
	return box, caller
}

func newUnread(conn net.Conn, memory *Memory) *Unread {
	return NewUnread(conn, memory, clock.New(), func() { _ = conn.Close() })
}

// TestUnread guards against bytes that get lost or change their order when a caller stops reading for moments, on real
// sockets.
func TestUnread(t *testing.T) {
	box, caller := connect(t)
	memory := NewMemory(1 << 20)
	u := newUnread(box, memory)
	random := rand.New(rand.NewPCG(1, 2))
	sent := make([]byte, 1<<20)
	for i := range sent {
		sent[i] = byte(random.Uint32())
	}
	u.Start(func() {})
	got, written := make(chan []byte), make(chan struct{}, 1)
	// awaitHeld stops the caller until data is held for it, or all is written.
	awaitHeld := func() {
		for memory.Sizes().StreamBytes == 0 {
			if _, writing := <-written; !writing {
				return
			}
		}
	}
	go func() {
		all, buffer := []byte{}, make([]byte, 16<<10)
		for {
			n, err := caller.Read(buffer)
			all = append(all, buffer[:n]...)
			if err != nil {
				got <- all
				return
			}
			if len(all)%7 == 0 {
				awaitHeld()
			}
		}
	}()
	for rest := sent; len(rest) > 0; {
		n := min(len(rest), 1+random.IntN(12<<10))
		count, err := u.Write(rest[:n])
		require.NoError(t, err)
		require.Equal(t, n, count)
		rest = rest[n:]
		select {
		case written <- struct{}{}:
		default:
		}
	}
	close(written)
	require.NoError(t, u.Await())
	require.NoError(t, box.Close())
	assert.True(t, bytes.Equal(sent, <-got))
	assert.Zero(t, memory.Sizes().UsedBytes)
	assert.Positive(t, memory.Sizes().PeakBytes, "data was held")
	t.Logf("%+v", memory.Sizes())
}

// TestMemory guards against responses that wait for each other, or for memory that nobody gives back.
func TestMemory(t *testing.T) {
	ignore := func(MemorySizes) {}
	t.Run("half-read responses don't wait for each other for ever", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			const limit, size, part = 4 << 20, 2 << 20, 64 << 10
			m := NewMemory(limit)
			var responses sync.WaitGroup
			for range 20 {
				responses.Go(func() {
					h := m.Hold()
					defer h.Release()
					for range size / part {
						if err := h.Grow(t.Context(), part, ignore); err != nil {
							t.Error(err)
							return
						}
						assert.NoError(t, clock.New().Sleep(t.Context(), 1))
					}
				})
			}
			require.NoError(t, clock.New().Sleep(t.Context(), 1))
			assert.True(t, m.Refuse() || m.Sizes().Waiting == 0)
			responses.Wait()
			assert.Zero(t, m.Sizes().UsedBytes)
			assert.LessOrEqual(t, m.Sizes().PeakBytes, int64(limit))
			assert.False(t, m.Refuse())
		})
	})
	t.Run("a response that stops waiting leaves nothing", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			m := NewMemory(1 << 20)
			first, second, third := m.Hold(), m.Hold(), m.Hold()
			require.NoError(t, first.Grow(t.Context(), 512<<10, ignore))
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			require.NoError(t, second.Grow(ctx, 512<<10, ignore), "the first that waits gets the reserve")
			require.ErrorIs(t, third.Grow(ctx, 512<<10, ignore), context.DeadlineExceeded)
			require.ErrorIs(t, third.Grow(ctx, 2<<20, ignore), ErrOverReserve)
			for _, h := range []*Hold{first, second, third} {
				h.Release()
			}
			assert.Zero(t, m.Sizes().UsedBytes)
			assert.Zero(t, m.Sizes().Waiting)
		})
	})
}

// BenchmarkEventWrite measures the write of an event to a caller who reads at once.
func BenchmarkEventWrite(b *testing.B) {
	event := bytes.Repeat([]byte("x"), 200)
	for _, c := range []struct {
		name string
		held bool
	}{{"connection", false}, {"holding", true}} {
		b.Run(c.name, func(b *testing.B) {
			box, caller := connect(b)
			require.NoError(b, box.SetWriteBuffer(1<<20))
			require.NoError(b, caller.SetReadBuffer(1<<20))
			go func() { _, _ = io.Copy(io.Discard, caller) }()
			u := newUnread(box, NewMemory(1<<20))
			u.Start(func() {})
			write := box.Write
			if c.held {
				write = u.Write
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := write(event); err != nil {
					b.Fatal(err)
				}
			}
			_ = box.Close()
		})
	}
}

// TestWriteWhole guards against a response that begins in the middle of data that the kernel has taken a part of.
func TestWriteWhole(t *testing.T) {
	box, caller := connect(t)
	u := newUnread(box, NewMemory(1<<20))
	require.NoError(t, u.WriteWhole([]byte("whole")))
	got := make([]byte, len("whole"))
	_, err := io.ReadFull(caller, got)
	require.NoError(t, err)
	assert.Equal(t, "whole", string(got))
	require.ErrorIs(t, u.WriteWhole(make([]byte, 16<<20)), io.ErrShortWrite)
	_, err = u.Write([]byte("response"))
	require.ErrorIs(t, err, io.ErrShortWrite)
	require.NoError(t, caller.Close())
}
