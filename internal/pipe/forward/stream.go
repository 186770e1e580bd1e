package forward

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"dooryard.example/dooryard/internal/apierror"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/engine"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/guard"
	"dooryard.example/dooryard/internal/headcheck"
	"dooryard.example/dooryard/internal/pool"
)

// maxIdleResumes limits consecutive resumes of a stream that yield no new event. Resuming adds no
// work for an engine, so a stream that makes progress is limited only by its deadline.
const maxIdleResumes = 2

// cancelTimeoutMs limits the call that cancels a request at an engine.
const cancelTimeoutMs = 2 * clock.Second

// Errors of a stream.
var (
	errCallerDisconnected = errors.New("the caller left")
	errIdleTimeout        = errors.New("stream idle timeout")
	errEventOrder         = errors.New("stream event out of order")
)

func isEventStream(response *http.Response) bool {
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// streamRelay relays one response stream to the caller.
type streamRelay struct {
	p     *Pipe
	x     *exchange.Exchange
	lease *pool.Lease
	// nextOffset is the offset of the next event to send to the caller.
	nextOffset int64
	// eventsHaveOffsets is set as long as all events have offsets, so that the stream can be resumed.
	eventsHaveOffsets bool
	frame             []byte
	// ctx ends with the attempt. The timer due ends it unless a response to the caller has begun.
	ctx context.Context //nolint:containedctx // It belongs to the attempt, like the relay.
	due *dueTimer
}

// stream relays the events of a response. A broken stream is resumed at its offset. If that is
// not possible, the response to the caller ends with an error event.
func (p *Pipe) stream(
	ctx context.Context, x *exchange.Exchange, lease *pool.Lease, response *http.Response, due *dueTimer,
) *failure {
	s := &streamRelay{p: p, x: x, lease: lease, eventsHaveOffsets: true, ctx: ctx, due: due}
	err := s.relayEvents(response.Body)
	for idle := 0; s.resumable(err) && idle < maxIdleResumes; {
		p.metrics.Resumes.Add(1)
		previous := s.nextOffset
		err = s.resume(ctx)
		idle++
		if s.nextOffset > previous {
			idle = 0
		}
	}
	if err == nil {
		x.Outcome = exchange.Ran
		return nil
	}
	return s.abort(err)
}

func (s *streamRelay) resumable(err error) bool {
	return err != nil && s.eventsHaveOffsets && !errors.Is(err, errCallerDisconnected) && s.ctx.Err() == nil
}

// relayEvents relays events until the body ends. Nothing is sent to the caller before the first
// event, so that a response that breaks earlier can be retried on another upstream.
func (s *streamRelay) relayEvents(body io.ReadCloser) error {
	idle := s.p.newIdleTimer(body)
	defer idle.stop()
	for event, err := range engine.Events(body) {
		if err != nil {
			return errors.Join(err, idle.err())
		}
		idle.reset()
		if err := s.relayEvent(event); err != nil {
			return err
		}
	}
	return nil
}

// relayEvent sends an event to the caller, unless the caller already has it.
func (s *streamRelay) relayEvent(event engine.Event) error {
	if event.ID == engine.NoID {
		s.eventsHaveOffsets = false
	}
	if s.eventsHaveOffsets {
		if event.ID < s.nextOffset {
			return nil
		}
		if event.ID > s.nextOffset {
			return fmt.Errorf("%w: expected offset %d, got %d", errEventOrder, s.nextOffset, event.ID)
		}
	}
	if !s.x.Writer.Started() {
		s.startResponse()
	}
	s.nextOffset++
	s.frame = appendFrame(s.frame[:0], event)
	return s.write(s.frame)
}

// startResponse sends the response headers to the caller.
func (s *streamRelay) startResponse() {
	s.due.stop()
	s.x.Outcome = exchange.Ran
	header := s.x.Writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	s.p.setResponseHeaders(s.x, s.lease, &http.Response{})
	s.x.Writer.WriteHeader(http.StatusOK)
}

// appendFrame appends an event in the format of server-sent events.
func appendFrame(frame []byte, event engine.Event) []byte {
	if event.ID != engine.NoID {
		frame = append(frame, "id: "...)
		frame = strconv.AppendInt(frame, event.ID, 10)
		frame = append(frame, '\n')
	}
	frame = append(frame, "data: "...)
	frame = append(frame, event.Data...)
	return append(frame, "\n\n"...)
}

// write sends data to the caller. The write fails if the caller does not accept it in time.
func (s *streamRelay) write(part []byte) error {
	s.p.extendWriteDeadline(s.x)
	if _, err := s.x.Writer.Write(part); err != nil {
		return fmt.Errorf("%w: %w", errCallerDisconnected, err)
	}
	if err := s.x.Writer.FlushNow(); err != nil {
		return fmt.Errorf("%w: %w", errCallerDisconnected, err)
	}
	return nil
}

// extendWriteDeadline restarts the write timeout of the caller's connection.
func (p *Pipe) extendWriteDeadline(x *exchange.Exchange) {
	// The error is ignored: only response writers of tests do not support deadlines, and tests have no
	// slow callers.
	_ = http.NewResponseController(x.Writer).SetWriteDeadline(time.Now().Add(p.writeTimeoutMs.Duration()))
}

// resume requests the rest of the stream from the same engine.
func (s *streamRelay) resume(ctx context.Context) error {
	target := url.URL{
		Scheme: "http", Host: s.lease.Row.Address, Path: "/v1/streams/" + s.x.ID,
		RawQuery: "from=" + strconv.FormatInt(s.nextOffset, 10),
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), http.NoBody)
	if err != nil {
		return fmt.Errorf("resume: %w", err)
	}
	response, err := s.p.client.Do(request)
	if err != nil {
		return fmt.Errorf("resume: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := headcheck.Response(response); err != nil {
		return fmt.Errorf("resume: %w", err)
	}
	if response.StatusCode != http.StatusOK || response.Header.Get(engine.HeaderRequestID) != s.x.ID {
		s.eventsHaveOffsets = false
		return fmt.Errorf("resume: %w %s", errStatus, statusText(response.StatusCode))
	}
	return s.relayEvents(response.Body)
}

// abort ends a response that can't be completed. If the response has started, it ends with an error
// event, so that it does not appear complete.
func (s *streamRelay) abort(cause error) *failure {
	s.cancelUpstream()
	if errors.Is(cause, errCallerDisconnected) ||
		s.ctx.Err() != nil && !s.x.Writer.Started() && !s.x.Stopping() {
		s.p.metrics.CallerDisconnects.Add(1)
		return &failure{cause: cause, responseStarted: s.x.Writer.Started()}
	}
	if !s.x.Writer.Started() {
		return &failure{cause: cause, upstreamFault: !s.x.Stopping()}
	}
	s.p.metrics.TruncatedStreams.Add(1)
	s.x.Outcome = exchange.Unknown
	// Write errors are ignored: the caller has disconnected and can't get the event.
	_ = s.write(errorFrame())
	return &failure{cause: cause, upstreamFault: !s.x.Stopping(), responseStarted: true}
}

// errorFrame returns the error event that ends an incomplete stream.
func errorFrame() []byte {
	problem := apierror.New(http.StatusBadGateway, "stream_cut", "the answer is incomplete: its stream broke")
	// Marshal can't fail: the body contains only strings.
	body, _ := json.Marshal(problem.Body())
	frame := append([]byte("event: error\ndata: "), body...)
	return append(frame, "\n\n"...)
}

// cancelUpstream frees the engine's slot. Engines keep running a request after its connection closes.
func (s *streamRelay) cancelUpstream() {
	if s.lease.AddPeerHeaders != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.x.Context()), cancelTimeoutMs.Duration())
	defer cancel()
	client := engine.Client{URL: "http://" + s.lease.Row.Address, Client: s.p.client}
	// Errors are ignored: an engine that is unreachable has nothing to cancel.
	_ = client.Cancel(ctx, s.x.ID)
}

// idleTimer closes a response body that yields no event for too long.
type idleTimer struct {
	timer   *time.Timer
	timeout time.Duration
	fired   chan struct{}
}

func (p *Pipe) newIdleTimer(body io.Closer) *idleTimer {
	t := &idleTimer{
		timeout: clock.Millis(p.settings.StreamIdleTimeoutMs).Duration(),
		fired:   make(chan struct{}),
	}
	t.timer = time.AfterFunc(t.timeout, func() {
		guard.Do("timeout of a stream", func() {
			close(t.fired)
			_ = body.Close()
		})
	})
	return t
}

func (t *idleTimer) reset() { t.timer.Reset(t.timeout) }

func (t *idleTimer) stop() { t.timer.Stop() }

func (t *idleTimer) err() error {
	select {
	case <-t.fired:
		return errIdleTimeout
	default:
		return nil
	}
}
