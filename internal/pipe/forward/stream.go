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
	"dooryard.example/dooryard/internal/pool"
)

// maxIdleResumes is how often in a row a stream is taken up again without one
// more event. Resuming adds no work to an engine, so as long as there is progress
// only the deadline bounds it.
const maxIdleResumes = 2

// cancelTimeoutMs bounds the call that stops an engine's work.
const cancelTimeoutMs = 2 * clock.Second

// Errors of a stream.
var (
	errCallerGone = errors.New("the caller left")
	errStalled    = errors.New("stream stalled")
	errOrder      = errors.New("stream offsets out of order")
)

func isEventStream(response *http.Response) bool {
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// streaming is one answer's stream on its way to the caller.
type streaming struct {
	p     *Pipe
	x     *exchange.Exchange
	lease *pool.Lease
	// next is the offset of the next event that the caller has not got.
	next int64
	// numbered is set while the engine numbers its events.
	numbered bool
	frame    []byte
}

// stream passes on the events of an answer. A stream that breaks is taken up
// again at its offset; one that can't be ends in an error event.
func (p *Pipe) stream(ctx context.Context, x *exchange.Exchange, lease *pool.Lease, response *http.Response) *failure {
	s := &streaming{p: p, x: x, lease: lease, numbered: true}
	err := s.relay(response.Body)
	for idle := 0; s.resumable(err) && idle < maxIdleResumes; {
		p.metrics.Resumes.Add(1)
		before := s.next
		err = s.resume(ctx)
		idle++
		if s.next > before {
			idle = 0
		}
	}
	if err == nil {
		x.Outcome = exchange.Ran
		return nil
	}
	return s.giveUp(err)
}

func (s *streaming) resumable(err error) bool {
	return err != nil && s.numbered && !errors.Is(err, errCallerGone) && s.x.Context().Err() == nil
}

// relay passes on events until the closing one. The caller sees nothing before
// the first event, so that an answer which breaks before can be had elsewhere.
func (s *streaming) relay(body io.ReadCloser) error {
	idle := s.p.newIdleTimer(body)
	defer idle.stop()
	for event, err := range engine.Events(body) {
		if err != nil {
			return errors.Join(err, idle.err())
		}
		idle.reset()
		if err := s.pass(event); err != nil {
			return err
		}
	}
	return nil
}

func (s *streaming) pass(event engine.Event) error {
	if event.ID == engine.NoID {
		s.numbered = false
	}
	if s.numbered {
		if event.ID < s.next {
			return nil
		}
		if event.ID > s.next {
			return fmt.Errorf("%w: wanted %d, got %d", errOrder, s.next, event.ID)
		}
	}
	if !s.x.Writer.Started() {
		s.start()
	}
	s.next++
	s.frame = appendFrame(s.frame[:0], event)
	return s.write(s.frame)
}

func (s *streaming) start() {
	s.x.Outcome = exchange.Ran
	header := s.x.Writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	s.p.begin(s.x, s.lease, &http.Response{})
	s.x.Writer.WriteHeader(http.StatusOK)
}

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

// write hands a part to the caller. A caller that takes too long is cut.
func (s *streaming) write(part []byte) error {
	s.p.extendWrite(s.x)
	if _, err := s.x.Writer.Write(part); err != nil {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	if err := s.x.Writer.FlushNow(); err != nil {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	return nil
}

// extendWrite gives the caller its time for the next part.
func (p *Pipe) extendWrite(x *exchange.Exchange) {
	// A writer without deadlines, as tests use, has no slow callers.
	_ = http.NewResponseController(x.Writer).SetWriteDeadline((p.clock.Now() + p.write).Time())
}

// resume asks the same engine for the rest of the stream.
func (s *streaming) resume(ctx context.Context) error {
	target := url.URL{
		Scheme: "http", Host: s.lease.Row.Address, Path: "/v1/streams/" + s.x.ID,
		RawQuery: "from=" + strconv.FormatInt(s.next, 10),
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
	if response.StatusCode != http.StatusOK || response.Header.Get(engine.HeaderRequestID) != s.x.ID {
		s.numbered = false
		return fmt.Errorf("resume: %w %s", errStatus, statusText(response.StatusCode))
	}
	return s.relay(response.Body)
}

// giveUp ends an answer that can't be completed: by an error event when the
// caller has a part of it, never as if it were whole.
func (s *streaming) giveUp(cause error) *failure {
	s.cancelUpstream()
	if errors.Is(cause, errCallerGone) || s.x.Context().Err() != nil && !s.x.Writer.Started() {
		s.p.metrics.CallerGone.Add(1)
		return &failure{cause: cause, answered: s.x.Writer.Started()}
	}
	if !s.x.Writer.Started() {
		return &failure{cause: cause, upstreamFault: true}
	}
	s.p.metrics.CutStreams.Add(1)
	s.x.Outcome = exchange.Unknown
	// A caller that is gone can't be told.
	_ = s.write(errorFrame())
	return &failure{cause: cause, upstreamFault: true, answered: true}
}

// errorFrame is the event that ends an incomplete stream.
func errorFrame() []byte {
	problem := apierror.New(http.StatusBadGateway, "stream_cut", "the answer is incomplete: its stream broke")
	// The body holds only strings, so encoding it can't fail.
	body, _ := json.Marshal(problem.Body())
	frame := append([]byte("event: error\ndata: "), body...)
	return append(frame, "\n\n"...)
}

// cancelUpstream frees the engine's slot; engines go on after a connection ends.
func (s *streaming) cancelUpstream() {
	if s.lease.Remote != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.x.Context()), cancelTimeoutMs.Duration())
	defer cancel()
	client := engine.Client{URL: "http://" + s.lease.Row.Address, Client: s.p.client}
	// An engine that can't be reached has nothing to stop.
	_ = client.Cancel(ctx, s.x.ID)
}

// idleTimer closes a body that stays silent for too long.
type idleTimer struct {
	timer  *time.Timer
	period time.Duration
	fired  chan struct{}
}

func (p *Pipe) newIdleTimer(body io.Closer) *idleTimer {
	t := &idleTimer{
		period: clock.Millis(p.settings.StreamIdleTimeoutMs).Duration(),
		fired:  make(chan struct{}),
	}
	t.timer = time.AfterFunc(t.period, func() {
		close(t.fired)
		_ = body.Close()
	})
	return t
}

func (t *idleTimer) reset() { t.timer.Reset(t.period) }

func (t *idleTimer) stop() { t.timer.Stop() }

func (t *idleTimer) err() error {
	select {
	case <-t.fired:
		return errStalled
	default:
		return nil
	}
}
