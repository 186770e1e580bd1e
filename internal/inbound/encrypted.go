package inbound

import (
	"context"
	"net/http"
)

// holdRequest returns a request by TLS whose context outlasts the end of its caller's side, as long as holdEnd waits
// below TLS. The function must be called when the request was handled. Above TLS, nothing can be sent that asks the
// caller.
func (c *Conn) holdRequest(r *http.Request) (held *http.Request, done func()) {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(r.Context()))
	stopBase := context.AfterFunc(c.base, func() { cancel(context.Cause(c.base)) })
	stopEnd := context.AfterFunc(r.Context(), func() {
		if c.awaitLeft(ctx, signOf(c.listener.kernel, c.Conn)) {
			cancel(context.Cause(r.Context()))
		}
	})
	return r.WithContext(ctx), func() {
		stopEnd()
		stopBase()
		cancel(nil)
	}
}
