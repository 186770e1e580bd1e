package standincmd

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestWaitsForItsAddress guards against a stand-in that ends when it is restarted before the process before it has ended.
func TestWaitsForItsAddress(t *testing.T) {
	for _, c := range []struct {
		name    string
		release bool
	}{{"an address that is released", true}, {"a stop while it waits", false}} {
		t.Run(c.name, func(t *testing.T) {
			taken, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = taken.Close() }()
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			reader, out := io.Pipe()
			ended := make(chan error, 1)
			go func() {
				ended <- New(out).Run(ctx, []string{"dooryard-standin", "service", "--address", taken.Addr().String()})
				_ = out.Close()
			}()
			lines := bufio.NewScanner(reader)
			require.True(t, lines.Scan())
			assert.Contains(t, lines.Text(), "address already in use")
			if c.release {
				require.NoError(t, taken.Close())
				require.True(t, lines.Scan())
				assert.Contains(t, lines.Text(), "listens on "+taken.Addr().String())
			}
			stop()
			require.NoError(t, <-ended)
		})
	}
}
