package upstream

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/guard"
	"dooryard.example/dooryard/internal/socket"
)

// systemDial opens connections that time out when the peer stops acknowledging data, because a peer
// that lost power or is behind a network partition never closes them.
func systemDial(ctx context.Context, network, address string) (net.Conn, error) {
	return dialBuffered(ctx, network, address, 0)
}

// dialBuffered opens connections as systemDial does. The kernel holds at most about a number of bytes of each that were
// not read, unless it is 0.
func dialBuffered(ctx context.Context, network, address string, unreadBytes int) (net.Conn, error) {
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: time.Second, Count: 2,
		},
		ControlContext: func(ctx context.Context, _, _ string, raw syscall.RawConn) error {
			if d, ok := ctx.Value(dialingKey{}).(*dialing); ok {
				unanswered := func() bool { return socket.System().IsConnecting(raw) }
				d.unanswered.Store(&unanswered)
			}
			if unreadBytes > 0 {
				// A kernel that refuses it uses its own limits.
				_ = socket.SetUnreadBytes(raw, unreadBytes)
			}
			return setUserTimeout(raw)
		},
	}
	return socket.DirectDial(dialer.DialContext)(ctx, network, address)
}

// setUserTimeout limits how long sent bytes may remain unacknowledged.
func setUserTimeout(raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, unackedTimeoutMs)
	})
	return errors.Join(err, setErr)
}

type dialingKey struct{}

// dialing is a connection that is being opened.
type dialing struct {
	// unanswered reports whether the peer has not answered yet. It is nil before that is known, or if it never is.
	unanswered atomic.Pointer[func() bool]
}

func (d *dialing) isUnanswered() bool {
	unanswered := d.unanswered.Load()
	return unanswered == nil || (*unanswered)()
}

// dialWithin opens a connection to a peer that answers within a timeout. A process that gets little processor time may
// learn of the answer long after it has arrived, so the kernel is asked when the timeout is over.
func dialWithin(ctx context.Context, dial Dial, address string, timeoutMs clock.Millis) (net.Conn, error) {
	d := &dialing{}
	ctx, cancel := context.WithCancelCause(context.WithValue(ctx, dialingKey{}, d))
	defer cancel(nil)
	guard.Go("timeout of a connection", func() {
		ticker := time.NewTicker(timeoutMs.Duration())
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				if d.isUnanswered() {
					cancel(context.DeadlineExceeded)
				}
			}
		}
	})
	conn, err := dial(ctx, "tcp", address)
	if err != nil && errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: context.DeadlineExceeded}
	}
	return conn, err
}
