package forward

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"go.opentelemetry.io/otel/propagation"

	"dooryard.example/dooryard/internal/engine"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/pool"
	"dooryard.example/dooryard/internal/transport"
)

// maxAnswerBytes bounds an answer that is not streamed. It is kept whole before
// any of it goes to the caller, so that a cut one is never passed off as whole.
const maxAnswerBytes = 16 << 20

// send makes one attempt. It returns nil when the caller has the whole answer.
func (p *Pipe) send(ctx context.Context, x *exchange.Exchange, lease *pool.Lease) *failure {
	watch := &transport.Watch{}
	if x.SendBefore > 0 {
		watch.Late = func() bool { return p.clock.Now() > x.SendBefore }
	}
	ctx, cancel := context.WithCancel(watch.Context(ctx))
	defer cancel()
	request, err := p.request(ctx, x, lease)
	if err != nil {
		return &failure{cause: err, notRun: true}
	}
	response, err := p.client.Do(request)
	if err != nil {
		callerFault := x.Context().Err() != nil
		nothingSent := watch.GiveUp()
		return &failure{
			cause: err, notRun: nothingSent, upstreamFault: !callerFault,
			unreachable: nothingSent && !callerFault && !watch.Connected(),
		}
	}
	defer func() { _ = response.Body.Close() }()
	failed := p.receive(ctx, x, lease, response)
	if failed != nil {
		// A connection whose answer was given up must never carry another.
		watch.GiveUp()
	}
	return failed
}

func (p *Pipe) receive(ctx context.Context, x *exchange.Exchange, lease *pool.Lease, response *http.Response) *failure {
	if failed := p.check(x, lease, response); failed != nil {
		return failed
	}
	if x.Kind == exchange.Chat && isEventStream(response) {
		return p.stream(ctx, x, lease, response)
	}
	return p.whole(x, lease, response)
}

// request builds the upstream's request. Its body can't be read a second time,
// so that the HTTP client never repeats it by itself.
func (p *Pipe) request(ctx context.Context, x *exchange.Exchange, lease *pool.Lease) (*http.Request, error) {
	target := url.URL{Scheme: lease.Scheme, Host: lease.Row.Address, Path: x.Path, RawQuery: x.Request.URL.RawQuery}
	if lease.Remote != nil {
		target.Path = x.Request.URL.Path
	}
	body := &onceReader{bytes.NewReader(x.Body)}
	request, err := http.NewRequestWithContext(ctx, x.Request.Method, target.String(), body)
	if err != nil {
		return nil, fmt.Errorf("upstream request: %w", err)
	}
	request.ContentLength = int64(len(x.Body))
	if len(x.Body) == 0 {
		request.Body = http.NoBody
	}
	copyHeader(request.Header, x.Request.Header)
	p.stamp(ctx, request.Header, x)
	if lease.Remote != nil {
		lease.Remote(request.Header)
	}
	return request, nil
}

// onceReader hides the reader's type, so that the HTTP client can't rewind it.
type onceReader struct{ io.Reader }

// keyHeaderOnWire is the idempotency key's header in a form that the HTTP client
// does not know. Under its usual form the client would take every request for
// repeatable and send it again when a kept connection breaks.
const keyHeaderOnWire = "idempotency-key"

// stamp sets the headers that the upstream gets from the router.
func (p *Pipe) stamp(ctx context.Context, header http.Header, x *exchange.Exchange) {
	header.Set(engine.HeaderRequestID, x.ID)
	header.Set(engine.HeaderPriority, strconv.Itoa(x.Organisation.Priority))
	header.Set(engine.HeaderDeadline, strconv.FormatInt(int64(x.RemainingMs(p.clock.Now())), 10))
	if x.IdempotencyKey != "" {
		header[keyHeaderOnWire] = []string{x.IdempotencyKey}
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(header))
}

// dropped are the headers that end at the router: those of the connection, the
// caller's key, and what the router sets itself.
var dropped = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Authorization": true, "Accept-Encoding": true, "Expect": true,
	exchange.HeaderIdempotencyKey: true, exchange.HeaderHop: true, exchange.HeaderOrganisation: true,
	exchange.HeaderRepeatable: true, exchange.HeaderRequest: true, exchange.HeaderOutcome: true,
	exchange.HeaderUpstream: true, exchange.HeaderAttempts: true,
	"Traceparent": true, "Tracestate": true,
}

func copyHeader(target, source http.Header) {
	listed := map[string]bool{}
	for _, value := range source.Values("Connection") {
		listed[http.CanonicalHeaderKey(value)] = true
	}
	for name, values := range source {
		if !dropped[name] && !listed[name] {
			target[name] = values
		}
	}
}

// check looks at an answer's head: whose it is, and whether it says that the
// request did not run.
func (p *Pipe) check(x *exchange.Exchange, lease *pool.Lease, response *http.Response) *failure {
	echoed := response.Header.Get(engine.HeaderRequestID)
	if echoed != x.ID && (echoed != "" || x.Kind == exchange.Chat) {
		p.metrics.CrossedAnswers.Add(1)
		return &failure{cause: errCrossed, upstreamFault: true}
	}
	if load, err := strconv.Atoi(response.Header.Get(engine.HeaderInFlight)); err == nil {
		p.report(lease.Row.Name, load)
	}
	if lease.Remote != nil {
		return p.checkRemote(response)
	}
	if response.Header.Get(engine.HeaderNotRun) == "true" {
		return &failure{cause: errNotRun, notRun: true, upstreamFault: true}
	}
	if response.StatusCode >= http.StatusInternalServerError && x.Repeatable {
		return &failure{cause: fmt.Errorf("%w %s", errStatus, statusText(response.StatusCode)), upstreamFault: true}
	}
	return nil
}

// checkRemote takes over what the other box says of the outcome.
func (p *Pipe) checkRemote(response *http.Response) *failure {
	p.metrics.RemoteForwarded.Add(1)
	outcome := exchange.Outcome(response.Header.Get(exchange.HeaderOutcome))
	if outcome == exchange.NotRun {
		return &failure{cause: errNotRun, notRun: true}
	}
	if outcome != exchange.Ran {
		return &failure{cause: errStatus}
	}
	return nil
}

// whole passes on an answer that is not streamed, after all of it arrived.
func (p *Pipe) whole(x *exchange.Exchange, lease *pool.Lease, response *http.Response) *failure {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && x.Request.Method != http.MethodHead {
		return &failure{cause: errNoLength, upstreamFault: true}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return &failure{cause: fmt.Errorf("answer cut: %w", err), upstreamFault: true}
	}
	if len(body) > maxAnswerBytes {
		return &failure{cause: errTooLarge, upstreamFault: true}
	}
	x.Outcome = exchange.Ran
	if response.StatusCode >= http.StatusInternalServerError {
		x.Outcome = exchange.Unknown
	}
	p.begin(x, lease, response)
	x.Writer.Header().Set("Content-Length", answerLength(x, response, len(body)))
	x.Writer.WriteHeader(response.StatusCode)
	p.extendWrite(x)
	if _, err := x.Writer.Write(body); err != nil {
		p.metrics.CallerGone.Add(1)
	}
	return nil
}

// answerLength is the length of the body, or of the body that a HEAD request
// asks about.
func answerLength(x *exchange.Exchange, response *http.Response, length int) string {
	if x.Request.Method == http.MethodHead {
		return response.Header.Get("Content-Length")
	}
	return strconv.Itoa(length)
}

// begin sets the headers of the caller's answer.
func (p *Pipe) begin(x *exchange.Exchange, lease *pool.Lease, response *http.Response) {
	header := x.Writer.Header()
	for name, values := range response.Header {
		if !dropped[name] && !upstreamOnly[name] {
			header[name] = values
		}
	}
	header.Set(exchange.HeaderUpstream, lease.Row.Name)
	header.Set(exchange.HeaderAttempts, strconv.Itoa(x.Attempts))
	x.StampOutcome()
}

// upstreamOnly are the headers of answers that end at the router.
var upstreamOnly = map[string]bool{
	engine.HeaderRequestID: true, engine.HeaderInFlight: true, engine.HeaderQueued: true,
	engine.HeaderNotRun: true, "Date": true,
}
