package server

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/guard"
	"dooryard.example/dooryard/pkg/config"
)

// panickingListener panics when it accepts a connection.
type panickingListener struct{ net.Listener }

// Accept implements net.Listener.
func (panickingListener) Accept() (net.Conn, error) { panic("broken") }

// TestListenerThatPanics guards against a process that ends at once when a listener panics.
func TestListenerThatPanics(t *testing.T) {
	defer guard.Handle(func(guard.Panic) {})()
	s, err := Open("callers", config.Listener{Address: "127.0.0.1:0"}, Limits{MaxConnections: 1}, nil,
		func(network, address string) (net.Listener, error) {
			l, err := net.Listen(network, address)
			return panickingListener{l}, err
		})
	require.NoError(t, err)
	defer s.Close()
	require.ErrorIs(t, s.Serve(), errPanicked)
}
