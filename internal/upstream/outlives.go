package upstream

import (
	"context"
	"io"
	"net/http"
	"time"

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

const (
	// CloseSettleMs is how long the kernel may take to close the sockets of a process that is gone, if the process had
	// some hundred connections and the host is busy.
	CloseSettleMs clock.Millis = 400
	// confirmIntervalMs is the time between two requests for a sign of life within CloseSettleMs.
	confirmIntervalMs clock.Millis = 100
)

// Survival is what is known of a process that has closed a connection in order.
type Survival int

const (
	// Gone means that the process may be gone.
	Gone Survival = iota
	// Rejecting means that connections are accepted at its address and broken off, by the process for lack of room or by
	// another one.
	Rejecting
	// Unchecked means that connections are accepted at its address, by the process or by another one, and that there is
	// no response by which to tell them apart.
	Unchecked
	// Unanswered means that connections are accepted at its address, and that no process has responded.
	Unanswered
	// Responding means that the process has responded to a request that was sent after the close.
	Responding
)

// Confirmation is the outcome of a request that asks a process for a sign of life.
type Confirmation int

const (
	// NoResponse means that no response has come in time.
	NoResponse Confirmation = iota
	// BrokenOff means that the connection was refused, or ended without a response.
	BrokenOff
	// FromUnknown means that a process has responded that doesn't tell which one it is.
	FromUnknown
	// FromProcess means that the process has responded.
	FromProcess
	// FromAnother means that another process has responded.
	FromAnother
)

// SurvivesClose returns what is known of a process that has closed a connection in order. The kernel does the same for
// a process that is gone, and may close its listening socket last: until then, the kernel accepts connections for it,
// and another process may soon accept them at the same address. Only a response to a request that is sent now comes
// from a process. confirm sends one and may block until its context is done; it is nil if there is no such request.
// Without a response, connections must still be accepted once the kernel has had time to close all sockets.
func SurvivesClose(
	ctx context.Context, probe func() Liveness, confirm func(ctx context.Context) Confirmation,
) Survival {
	if !AcceptsConnections(probe) {
		return Gone
	}
	settling, cancel := context.WithTimeout(ctx, CloseSettleMs.Duration())
	defer cancel()
	last := NoResponse
	if confirm != nil {
		last = awaitConfirmation(settling, confirm)
	}
	switch last {
	case FromProcess:
		return Responding
	case FromAnother:
		return Gone
	case NoResponse, BrokenOff, FromUnknown:
	}
	<-settling.Done()
	switch {
	case ctx.Err() != nil || !AcceptsConnections(probe):
		return Gone
	case last == BrokenOff:
		return Rejecting
	case confirm == nil || last == FromUnknown:
		return Unchecked
	default:
		return Unanswered
	}
}

// awaitConfirmation asks for a sign of life until there is a response or the context is done, and returns the latest
// outcome. Silence after connections have broken off is no sign of life: another process may have begun to accept them.
func awaitConfirmation(ctx context.Context, confirm func(ctx context.Context) Confirmation) Confirmation {
	for last := NoResponse; ; last = BrokenOff {
		switch found := confirm(ctx); found {
		case BrokenOff:
		case NoResponse:
			return last
		case FromUnknown, FromProcess, FromAnother:
			return found
		}
		select {
		case <-ctx.Done():
		case <-time.After(confirmIntervalMs.Duration()):
		}
		if ctx.Err() != nil {
			return BrokenOff
		}
	}
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
	status, _ := c.CheckHealth(ctx, healthPath, http.Header{})
	return status != 0
}

// CheckHealth returns the status and the header with which the upstream responds to a health check, or 0 if it doesn't.
func (c *Client) CheckHealth(
	ctx context.Context, healthPath string, header http.Header,
) (status int, responseHeader http.Header) {
	response, err := c.get(ctx, healthPath, header)
	if err != nil {
		return 0, nil
	}
	defer response.Close()
	if response.Framing() == ByLength && response.ContentLength <= maxCheckBytes {
		// Without the whole body, the connection is closed.
		_, _ = io.Copy(io.Discard, response)
	}
	return response.StatusCode, response.Header
}
