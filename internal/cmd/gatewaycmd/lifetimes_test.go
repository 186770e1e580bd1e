package gatewaycmd

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// beside returns the same ports on another host. Boxes of a fleet use one port for each other.
func (a addresses) beside() addresses {
	at := func(address string) string { return strings.Replace(address, "127.", "127.1", 1) }
	return addresses{at(a.callers), at(a.readiness), at(a.metrics), at(a.peers), at(a.nextPeers)}
}

// withBox names the box of a process.
func (p *process) withBox(name string) *process {
	p.t.Helper()
	settings := strings.Replace(p.at.settings(), "box: a-1", "box: "+name, 1)
	require.NoError(p.t, os.WriteFile(p.settings, []byte(settings), 0o600))
	return p
}

// awaitBoxes waits until the box knows a number of live ones, including itself.
func (p *process) awaitBoxes(count int) {
	p.t.Helper()
	require.Eventually(p.t, func() bool {
		response, err := http.Get("http://" + p.at.metrics + "/metrics")
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		values := struct {
			Mesh struct {
				Boxes int `json:"boxes"`
			} `json:"mesh"`
		}{}
		return json.NewDecoder(response.Body).Decode(&values) == nil && values.Mesh.Boxes == count
	}, eventTimeout, 10*time.Millisecond)
}

// countLines returns the number of lines with a text.
func (p *process) countLines(text string) int { return strings.Count(p.log(), text) }

// startBeside starts a box that knows another one as its contact.
func startBeside(t *testing.T, at addresses, other *process) *process {
	t.Helper()
	p := newProcess(t, at)
	p.addSettings(fmt.Sprintf("contacts: [%q]", other.at.peers))
	return p.start()
}

// TestLastProcess guards against a process that ends without a line, of whose end nobody tells.
func TestLastProcess(t *testing.T) {
	other := newProcess(t, freeAddresses(t))
	other.withBox("a-2").start().awaitLine("started", "")
	at := other.at.beside()
	p := startBeside(t, at, other)
	other.awaitBoxes(2)
	for _, c := range []struct {
		signal syscall.Signal
		ended  string
	}{
		{syscall.SIGKILL, "without leaving"},
		{syscall.SIGABRT, "without leaving"},
		{syscall.SIGTERM, "in order"},
		{syscall.SIGKILL, "without leaving"},
	} {
		p.signal(c.signal)
		p.awaitEnd()
		p = startBeside(t, at, other)
		p.awaitLine("last process ended", fmt.Sprintf(`"ended":%q`, c.ended))
	}
	assert.Equal(t, 3, other.countLines("box restarted"))
}
