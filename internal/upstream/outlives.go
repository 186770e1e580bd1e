package upstream

import (
	"context"
	"io"
	"net/http"

	"dooryard.example/dooryard/internal/clock"
)

// maxAcceptProbes is how many probes without a response show that an upstream may accept no connections: one may be
// lost, or time out because this process was paused.
const maxAcceptProbes = 3

// AcceptsConnections reports whether a process is known to accept connections, by probes that are repeated while there
// is no response.
func AcceptsConnections(probe func() Liveness) bool {
	for range maxAcceptProbes {
		if found := probe(); found != Unresponsive {
			return found == Alive
		}
	}
	return false
}

// closeSettleMs is how long the kernel may take to close the sockets of a process that is gone, if the process had some
// hundred connections and the host is busy.
const closeSettleMs clock.Millis = 400

// Survival is what is known of a process that has closed a connection in order. Its text is written to the log.
type Survival string

const (
	// Gone means that the process may be gone.
	Gone Survival = "may be gone"
	// Accepting means that connections are accepted at its address, by the process or by another one.
	Accepting Survival = "accepts connections"
	// Responding means that the process has responded to a request that was sent after the close.
	Responding Survival = "responds"
)

// SurvivesClose returns what is known of a process that has closed a connection in order. The kernel does the same for
// a process that is gone, and may close its listening socket last: until then, the kernel accepts connections for it.
// Only a response to a request that is sent now comes from the process itself; confirm reports whether there is one, and
// may block until its context is done. Without one, connections must still be accepted once the kernel has had time to
// close all sockets.
func SurvivesClose(ctx context.Context, probe func() Liveness, confirm func(ctx context.Context) bool) Survival {
	if !AcceptsConnections(probe) {
		return Gone
	}
	settling, cancel := context.WithTimeout(ctx, closeSettleMs.Duration())
	defer cancel()
	if confirm(settling) {
		return Responding
	}
	<-settling.Done()
	if ctx.Err() != nil || !AcceptsConnections(probe) {
		return Gone
	}
	return Accepting
}

// maxReportBytes bounds what is read of an upstream's report on itself, which lists its requests.
const maxReportBytes = 64 << 10

// Report returns what an upstream tells about itself at a path, or nil if it responds with another status than 200.
func (c *Client) Report(ctx context.Context, path string) []byte {
	response, err := c.get(ctx, path, http.Header{})
	if err != nil {
		return nil
	}
	defer response.Close()
	body, err := io.ReadAll(io.LimitReader(response, maxReportBytes))
	if err != nil || response.StatusCode != http.StatusOK {
		return nil
	}
	return body
}

// get sends a request that belongs to no caller.
func (c *Client) get(ctx context.Context, path string, header http.Header) (*Response, error) {
	return c.Do(ctx, &Request{
		Method: http.MethodGet, Target: path, Host: c.address, Header: header,
		Matches: func(http.Header) bool { return true },
	})
}

// maxCheckBytes is the size of the body of a health check's response up to which its connection is used again.
const maxCheckBytes = 4 << 10

// RespondsTo reports whether the upstream responds to a health check, whatever it says.
func (c *Client) RespondsTo(ctx context.Context, healthPath string) bool {
	return c.CheckHealth(ctx, healthPath, http.Header{}) != 0
}

// CheckHealth returns the status with which the upstream responds to a health check, or 0 if it doesn't.
func (c *Client) CheckHealth(ctx context.Context, healthPath string, header http.Header) (status int) {
	response, err := c.get(ctx, healthPath, header)
	if err != nil {
		return 0
	}
	defer response.Close()
	if response.Framing() == ByLength && response.ContentLength <= maxCheckBytes {
		// Without the whole body, the connection is closed.
		_, _ = io.Copy(io.Discard, response)
	}
	return response.StatusCode
}
