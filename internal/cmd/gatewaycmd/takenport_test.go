package gatewaycmd

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestStartWithTakenPort(t *testing.T) {
	at := freeAddresses(t)
	tryTake := func(network, address string) (io.Closer, error) {
		if network == "udp" {
			return net.ListenPacket(network, address)
		}
		return net.Listen(network, address)
	}
	take := func(t *testing.T, network, address string) io.Closer {
		t.Helper()
		taken, err := tryTake(network, address)
		require.NoError(t, err)
		t.Cleanup(func() { _ = taken.Close() })
		return taken
	}
	t.Run("callers", func(t *testing.T) {
		taken := take(t, "tcp", at.callers)
		p := newProcess(t, at).start()
		p.awaitLine("listener retried", "callers listener at "+at.callers)
		// The process that has the listener for callers may need the others.
		for _, address := range []string{at.readiness, at.peers} {
			_, err := net.Dial("tcp", address)
			require.ErrorIs(t, err, syscall.ECONNREFUSED, address)
		}
		require.NoError(t, take(t, "udp", at.peers).Close())
		require.NoError(t, taken.Close())
		p.awaitLine("started", "")
		p.end()
	})
	_, lastPort, err := net.SplitHostPort(at.nextPeers)
	require.NoError(t, err)
	for name, port := range map[string]struct{ network, address string }{
		"readiness": {"tcp", at.readiness}, "peers": {"tcp", at.peers}, "peers UDP": {"udp", at.peers},
	} {
		for _, others := range []bool{true, false} {
			t.Run(fmt.Sprintf("callers are served without %s, other ports: %t", name, others), func(t *testing.T) {
				taken := take(t, port.network, port.address)
				p := newProcess(t, at)
				if others {
					p.addSettings("peers_last_port: " + lastPort)
				}
				p.start()
				p.awaitLine("started", "")
				response, err := http.Get("http://" + at.callers + "/")
				require.NoError(t, err)
				require.NoError(t, response.Body.Close())
				p.awaitLine("listener retried", name+" listener at "+port.address)
				switch {
				case name != "readiness" && others:
					p.awaitLine("peers port replaced", fmt.Sprintf(`"usual":%q,"used":%q`, at.peers, at.nextPeers))
					for _, network := range []string{"tcp", "udp"} {
						_, err := tryTake(network, at.nextPeers)
						require.ErrorIs(t, err, syscall.EADDRINUSE, network)
					}
				case name != "readiness":
					p.awaitLine("peers port replaced", fmt.Sprintf(`"usual":%q,"used":"`, at.peers))
				}
				require.NoError(t, taken.Close())
				require.Eventually(t, func() bool {
					response, err := http.Get("http://" + at.readiness + "/ready")
					return err == nil && response.Body.Close() == nil
				}, eventTimeout, 50*time.Millisecond)
				p.signal(syscall.SIGTERM)
				assert.Zero(t, p.awaitEnd(), p.stderr.String())
			})
		}
	}
	t.Run("a stop ends the wait for a port", func(t *testing.T) {
		taken := take(t, "tcp", at.callers)
		p := newProcess(t, at).start()
		p.awaitLine("listener retried", "callers")
		p.signal(syscall.SIGTERM)
		assert.Zero(t, p.awaitEnd(), p.stderr.String())
		require.NoError(t, taken.Close())
	})
	t.Run("a box runs without its metrics port", func(t *testing.T) {
		taken := take(t, "tcp", at.metrics)
		p := newProcess(t, at).start()
		p.awaitLine("input ignored", "metrics address")
		p.awaitLine("started", "")
		require.NoError(t, taken.Close())
		require.Eventually(t, func() bool {
			response, err := http.Get("http://" + at.metrics + "/metrics")
			return err == nil && response.Body.Close() == nil && response.StatusCode == http.StatusOK
		}, eventTimeout, 50*time.Millisecond)
		for accept, kind := range map[string]string{"": "application/json", "text/plain;version=0.0.4": "text/plain"} {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+at.metrics+"/metrics", nil)
			require.NoError(t, err)
			request.Header.Set("Accept", accept)
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			body, err := io.ReadAll(response.Body)
			require.NoError(t, errors.Join(err, response.Body.Close()))
			assert.Contains(t, response.Header.Get("Content-Type"), kind)
			assert.Equal(t, kind == "application/json", json.Valid(body))
			assert.Contains(t, string(body), "threads")
		}
	})
}

func TestStartWhileSettingsAreReplaced(t *testing.T) {
	for name, damage := range map[string]func(path string, content []byte) error{
		"half written": func(path string, content []byte) error { return os.WriteFile(path, content[:len(content)/3], 0o600) },
		"empty":        func(path string, _ []byte) error { return os.WriteFile(path, nil, 0o600) },
		"missing":      func(path string, _ []byte) error { return os.Remove(path) },
	} {
		t.Run(name, func(t *testing.T) {
			p := newProcess(t, freeAddresses(t))
			content, err := os.ReadFile(p.settings)
			require.NoError(t, err)
			require.NoError(t, damage(p.settings, content))
			p.start()
			require.Eventually(t, func() bool { return strings.Contains(p.stderr.String(), "settings are read again") },
				eventTimeout, time.Millisecond)
			require.NoError(t, os.WriteFile(p.settings, content, 0o600))
			p.awaitLine("started", "")
		})
	}
	t.Run("settings that stay invalid", func(t *testing.T) {
		p := newProcess(t, freeAddresses(t))
		require.NoError(t, os.WriteFile(p.settings, []byte("box: [\n"), 0o600))
		p.start()
		assert.Equal(t, 2, p.awaitEnd())
		assert.Contains(t, p.stderr.String(), "invalid settings")
	})
}
