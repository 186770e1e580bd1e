package forward

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"go.opentelemetry.io/otel/propagation"

	"dooryard.example/dooryard/internal/engine"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/headcheck"
	"dooryard.example/dooryard/internal/pool"
	"dooryard.example/dooryard/internal/transport"
	"dooryard.example/dooryard/internal/urlpath"
)

// maxResponseBytes limits the size of a response that is not streamed. Such a response is buffered
// completely before any of it is sent, so that a truncated response never looks complete to the caller.
const maxResponseBytes = 16 << 20

// send makes one attempt. It returns nil if the caller has the complete response.
func (p *Pipe) send(ctx context.Context, x *exchange.Exchange, lease *pool.Lease) *failure {
	window := &sendWindow{x: x, clock: p.clock}
	watch := &transport.AttemptTracker{Expired: window.isOver}
	ctx, cancel := context.WithCancel(watch.Context(ctx))
	defer cancel()
	due := startDue(p.clock, x.RemainingMs(p.clock.Monotonic()), func() {
		p.onDue(x)
		cancel()
	})
	defer due.stop()
	request, err := p.request(ctx, x, lease)
	if err != nil {
		return &failure{cause: err, notRun: true}
	}
	response, err := p.client.Do(request)
	if err != nil {
		ended := ctx.Err() != nil || window.over.Load()
		nothingSent := watch.Abort()
		return &failure{
			cause: err, notRun: nothingSent, upstreamFault: !ended,
			unreachable: nothingSent && !ended && !watch.Connected(),
		}
	}
	defer func() { _ = response.Body.Close() }()
	failed := p.relay(ctx, x, lease, response, due)
	if failed != nil && !failed.sound {
		// A connection with an abandoned response must not be reused for another request.
		watch.Abort()
	}
	return failed
}

// relay checks a response and relays it to the caller.
func (p *Pipe) relay(
	ctx context.Context, x *exchange.Exchange, lease *pool.Lease, response *http.Response, due *dueTimer,
) *failure {
	if failed := p.checkResponse(x, lease, response); failed != nil {
		return failed
	}
	if x.Kind == exchange.Chat && isEventStream(response) {
		return p.stream(ctx, x, lease, response, due)
	}
	due.recordProgress()
	return p.relayBuffered(ctx, x, lease, response, due)
}

// request builds the request to the upstream. Its body can be read only once, so that the HTTP
// client never resends the request on its own.
func (p *Pipe) request(ctx context.Context, x *exchange.Exchange, lease *pool.Lease) (*http.Request, error) {
	body := &onceReader{bytes.NewReader(x.Body)}
	request, err := http.NewRequestWithContext(ctx, x.Request.Method, "http://"+lease.Row.Address, body)
	if err != nil {
		return nil, fmt.Errorf("upstream request: %w", err)
	}
	request.URL, err = upstreamURL(x, lease)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(x.Body))
	if len(x.Body) == 0 {
		withoutBody(request)
	}
	copyHeader(request.Header, x.Request.Header)
	p.setRouterHeaders(ctx, request.Header, x)
	if lease.AddPeerHeaders != nil {
		lease.AddPeerHeaders(request.Header)
	}
	return request, nil
}

// upstreamURL returns the URL whose path and query the HTTP client sends as the caller sent them.
func upstreamURL(x *exchange.Exchange, lease *pool.Lease) (*url.URL, error) {
	sent := x.Path
	if lease.AddPeerHeaders != nil {
		sent = urlpath.Sent(x.Request.URL)
	}
	path, err := url.PathUnescape(sent)
	if err != nil {
		return nil, fmt.Errorf("upstream request: path: %w", err)
	}
	target := &url.URL{
		Scheme: lease.Scheme, Host: lease.Row.Address, Path: path, RawPath: sent,
		RawQuery: x.Request.URL.RawQuery, ForceQuery: x.Request.URL.ForceQuery,
	}
	if target.EscapedPath() != sent {
		// The client would escape a path with characters that are not allowed in a URL. It sends Opaque as it is, but
		// takes what follows two slashes for a host.
		target.Opaque = sent
		if strings.HasPrefix(sent, "//") {
			target.Opaque = "//" + target.Host + sent
		}
	}
	return target, nil
}

// withoutBody marks a request as having no body, and prevents the HTTP client from resending it. The client resends
// requests of some methods with http.NoBody when a reused connection breaks.
func withoutBody(request *http.Request) {
	switch request.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		// For these methods the client finds out that the body is empty, and sends no header for it.
	case http.MethodTrace:
		request.Body, request.Close = http.NoBody, true
	default:
		request.Body = http.NoBody
	}
}

// onceReader hides the type of the reader, so that the HTTP client can't rewind it.
type onceReader struct{ io.Reader }

// idempotencyKeyWireHeader is the Idempotency-Key header in lower case, which the HTTP client does
// not recognize. With the canonical name, the client would treat every request as idempotent and
// resend it when a reused connection breaks.
const idempotencyKeyWireHeader = "idempotency-key"

// setRouterHeaders sets the headers that the router adds to an upstream request.
func (p *Pipe) setRouterHeaders(ctx context.Context, header http.Header, x *exchange.Exchange) {
	header.Set(engine.HeaderRequestID, x.ID)
	header.Set(engine.HeaderPriority, strconv.Itoa(x.Organisation.Priority))
	header.Set(engine.HeaderDeadline, strconv.FormatInt(int64(max(1, x.UpstreamMs(p.clock.Monotonic()))), 10))
	if x.IdempotencyKey != "" {
		header[idempotencyKeyWireHeader] = []string{x.IdempotencyKey}
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(header))
}

// droppedHeaders are not forwarded in either direction: hop-by-hop headers, the caller's API key,
// and the headers that the router sets itself.
var droppedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Authorization": true, "Accept-Encoding": true, "Expect": true,
	exchange.HeaderIdempotencyKey: true, exchange.HeaderHop: true, exchange.HeaderOrganisation: true,
	exchange.HeaderRepeatable: true, exchange.HeaderRequest: true, exchange.HeaderOutcome: true,
	exchange.HeaderUpstream: true, exchange.HeaderAttempts: true,
	"Traceparent": true, "Tracestate": true,
}

// copyHeader copies the headers of a request or response except droppedHeaders and those that Connection lists as
// hop-by-hop.
func copyHeader(target, source http.Header) {
	hopByHop := map[string]bool{}
	for _, list := range source.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			hopByHop[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range source {
		if !droppedHeaders[name] && !hopByHop[name] {
			target[name] = values
		}
	}
}

// checkResponse checks the response headers. It returns a failure if the response does not belong to
// this request, if the upstream did not run the request, or if a repeatable request got a 5xx status.
func (p *Pipe) checkResponse(x *exchange.Exchange, lease *pool.Lease, response *http.Response) *failure {
	if err := headcheck.Response(response); err != nil {
		return &failure{cause: err, upstreamFault: true}
	}
	echoed := response.Header.Get(engine.HeaderRequestID)
	if echoed != x.ID && (echoed != "" || x.Kind == exchange.Chat) {
		p.metrics.MismatchedResponses.Add(1)
		return &failure{cause: errMismatched, upstreamFault: true}
	}
	if load, err := strconv.Atoi(response.Header.Get(engine.HeaderInFlight)); err == nil {
		p.reportLoad(lease.Row.Name, load)
	}
	if lease.AddPeerHeaders != nil {
		return p.checkRemote(response)
	}
	if response.Header.Get(engine.HeaderNotExecuted) == "true" {
		return &failure{cause: errNotRun, notRun: true, upstreamFault: true, sound: true}
	}
	if response.StatusCode >= http.StatusInternalServerError && x.Repeatable {
		return &failure{
			cause: fmt.Errorf("%w %s", errStatus, statusText(response.StatusCode)), upstreamFault: true, sound: true,
		}
	}
	return nil
}

// checkRemote returns a failure unless the response of another box reports that the request ran.
func (p *Pipe) checkRemote(response *http.Response) *failure {
	p.metrics.RemoteForwarded.Add(1)
	outcome := exchange.Outcome(response.Header.Get(exchange.HeaderOutcome))
	if outcome == exchange.NotRun {
		return &failure{cause: errNotRun, notRun: true, sound: true}
	}
	if outcome != exchange.Ran {
		return &failure{cause: errStatus, sound: true}
	}
	return nil
}

// relayBuffered relays a response that is not streamed. It buffers the complete response first.
func (p *Pipe) relayBuffered(
	ctx context.Context, x *exchange.Exchange, lease *pool.Lease, response *http.Response, due *dueTimer,
) *failure {
	endsWithConnection := response.ContentLength < 0 && len(response.TransferEncoding) == 0 &&
		x.Request.Method != http.MethodHead
	if endsWithConnection && lease.AddPeerHeaders != nil {
		return &failure{cause: errNoLength, upstreamFault: true}
	}
	whole := func(context.Context) bool { return true }
	if endsWithConnection {
		var done func()
		whole, done = p.watchEnd(lease.Row.Address)
		defer done()
	}
	body, err := due.read(response.Body, maxResponseBytes+1)
	if err != nil {
		return &failure{cause: fmt.Errorf("response truncated: %w", err), upstreamFault: true}
	}
	if len(body) > maxResponseBytes {
		return &failure{cause: errTooLarge, upstreamFault: true}
	}
	if !whole(ctx) {
		return &failure{cause: errCrashed, upstreamFault: true}
	}
	x.Outcome = exchange.Ran
	if response.StatusCode >= http.StatusInternalServerError {
		x.Outcome = exchange.Unknown
	}
	p.setResponseHeaders(x, lease, response)
	x.Writer.Header().Set("Content-Length", contentLength(x, response, len(body)))
	x.Writer.WriteHeader(response.StatusCode)
	p.extendWriteDeadline(x)
	if _, err := x.Writer.Write(body); err != nil {
		p.metrics.CallerDisconnects.Add(1)
	}
	return nil
}

// watchEnd watches the process of an upstream until done is called, during a response that ends with its connection.
// Whole is called at the end, and reports whether the process is not known to have crashed.
func (p *Pipe) watchEnd(address string) (whole func(ctx context.Context) bool, done func()) {
	witness := p.witness(address)
	witness.Begin()
	return func(ctx context.Context) bool {
		endedMs := p.clock.Monotonic()
		return !p.mayHaveCrashed(ctx, address) && !witness.ShowsGone(endedMs)
	}, witness.Finish
}

// contentLength returns the Content-Length of the response to the caller: the upstream's own for a
// HEAD request, otherwise the length of the body.
func contentLength(x *exchange.Exchange, response *http.Response, length int) string {
	if x.Request.Method == http.MethodHead {
		return response.Header.Get("Content-Length")
	}
	return strconv.Itoa(length)
}

// setResponseHeaders sets the headers of the response to the caller.
func (p *Pipe) setResponseHeaders(x *exchange.Exchange, lease *pool.Lease, response *http.Response) {
	header, relayed := x.Writer.Header(), response.Header.Clone()
	maps.DeleteFunc(relayed, func(name string, _ []string) bool { return internalHeaders[name] })
	copyHeader(header, relayed)
	header.Set(exchange.HeaderUpstream, lease.Row.Name)
	header.Set(exchange.HeaderAttempts, strconv.Itoa(x.Attempts))
	x.SetOutcomeHeaders()
}

// internalHeaders are upstream response headers that are not relayed to the caller.
var internalHeaders = map[string]bool{
	engine.HeaderRequestID: true, engine.HeaderInFlight: true, engine.HeaderQueued: true,
	engine.HeaderNotExecuted: true, "Date": true,
}
