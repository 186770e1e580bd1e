// Package identify is the pipeline step that authenticates and parses a request. It determines the
// organisation, the target, the session, whether the request may be repeated, and the deadline.
package identify

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dooryard.example/dooryard/internal/apierror"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/engine"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/route"
	"dooryard.example/dooryard/internal/table"
	"dooryard.example/dooryard/internal/urlpath"
	"dooryard.example/dooryard/pkg/config"
)

// Defaults of the settings that this step uses.
const (
	defaultMaxBodyBytes   = 8 << 20
	defaultMaxHeaders     = 64
	defaultMaxHeaderBytes = 32 << 10
	defaultMaxJSONDepth   = 64
	defaultBodyTimeoutMs  = 30_000
	defaultDeadlineMs     = 120_000
	defaultMaxDeadlineMs  = 600_000
)

const (
	// firstTableMs is how long requests wait for the first table after a start, which usually takes milliseconds.
	firstTableMs = clock.Second
	// noTableRetryMs is the Retry-After of requests that come before the first table.
	noTableRetryMs = clock.Second
)

// maxKeyHeaderBytes limits the length of a session name and of an idempotency key.
const maxKeyHeaderBytes = 512

// Pipe authenticates and parses requests.
type Pipe struct {
	settings  config.Request
	state     func() *table.State
	awaitRead func(ctx context.Context) error
	now       func() clock.Millis
}

// New returns the step. The state function returns the active table, and awaitRead waits until one has been read.
func New(state func() *table.State, awaitRead func(ctx context.Context) error, now func() clock.Millis) *Pipe {
	return &Pipe{state: state, awaitRead: awaitRead, now: now}
}

// String returns the name of the step in logs.
func (*Pipe) String() string { return "identify" }

// Default sets the defaults of the settings that this step uses.
func (p *Pipe) Default(settings *config.Router) {
	r := &settings.Request
	config.SetDefault(&r.MaxBodyBytes, defaultMaxBodyBytes)
	config.SetDefault(&r.MaxHeaders, defaultMaxHeaders)
	config.SetDefault(&r.MaxHeaderBytes, defaultMaxHeaderBytes)
	config.SetDefault(&r.MaxJSONDepth, defaultMaxJSONDepth)
	config.SetDefault(&r.BodyTimeoutMs, defaultBodyTimeoutMs)
	config.SetDefault(&r.DefaultDeadlineMs, defaultDeadlineMs)
	config.SetDefault(&r.MaxDeadlineMs, defaultMaxDeadlineMs)
	p.settings = *r
}

// Run authenticates and parses the request of an exchange.
func (p *Pipe) Run(x *exchange.Exchange) error {
	x.State = p.firstState(x.Context())
	if err := p.checkHeaders(x.Request); err != nil {
		return err
	}
	if err := p.identifyOrganisation(x); err != nil {
		return err
	}
	if err := p.readBody(x); err != nil {
		return err
	}
	if err := p.readTarget(x); err != nil {
		return err
	}
	if x.FromPeer {
		x.Repeatable = x.Repeatable && x.Request.Header.Get(exchange.HeaderRepeatable) == "true"
	}
	x.IdempotencyKey = x.Request.Header.Get(exchange.HeaderIdempotencyKey)
	return p.readDeadline(x)
}

// firstState returns the active table. It waits for the first one, since the process before may have
// closed its listeners.
func (p *Pipe) firstState(ctx context.Context) *table.State {
	if !read(p.state()) {
		ctx, cancel := context.WithTimeout(ctx, firstTableMs.Duration())
		defer cancel()
		// Without a table the request is refused.
		_ = p.awaitRead(ctx)
	}
	return p.state()
}

// read reports whether a table has been read.
func read(state *table.State) bool { return state.Offset() > 0 }

func (p *Pipe) checkHeaders(r *http.Request) error {
	count := 0
	for _, values := range r.Header {
		count += len(values)
	}
	if count > p.settings.MaxHeaders {
		return apierror.New(http.StatusRequestHeaderFieldsTooLarge, "too_many_headers",
			fmt.Sprintf("more than %d header fields", p.settings.MaxHeaders))
	}
	for _, name := range []string{exchange.HeaderSession, exchange.HeaderIdempotencyKey} {
		if len(r.Header.Get(name)) > maxKeyHeaderBytes {
			return apierror.New(http.StatusBadRequest, "header_too_long",
				fmt.Sprintf("%s: longer than %d bytes", name, maxKeyHeaderBytes), apierror.WithParam(name))
		}
	}
	return nil
}

func (p *Pipe) identifyOrganisation(x *exchange.Exchange) error {
	if x.FromPeer {
		return p.identifyFromBox(x)
	}
	organisation, err := Caller(x.State, x.Request)
	x.Organisation = organisation
	return err
}

// Caller returns the organisation that the API key of a request belongs to.
func Caller(state *table.State, r *http.Request) (*table.Organisation, error) {
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found || key == "" {
		return nil, apierror.New(http.StatusUnauthorized, "missing_key", "Authorization: a bearer key is needed")
	}
	organisation := state.OrganisationByKeyHash(table.HashKey(key))
	if organisation == nil && !read(state) {
		return nil, apierror.New(http.StatusServiceUnavailable, "no_table", "this box has not read the table yet",
			apierror.WithRetryAfter(noTableRetryMs))
	}
	if organisation == nil {
		return nil, apierror.New(http.StatusUnauthorized, "unknown_key", "Authorization: no organisation has this key")
	}
	return organisation, nil
}

// identifyFromBox uses the organisation named by the box that forwarded the request. That box has
// checked the caller's key, and the peer listener has authenticated the box.
func (p *Pipe) identifyFromBox(x *exchange.Exchange) error {
	name := x.Request.Header.Get(exchange.HeaderOrganisation)
	x.Organisation = x.State.Organisation(name)
	if x.Organisation == nil {
		return apierror.New(http.StatusServiceUnavailable, "unknown_organisation",
			"this box does not know the organisation yet")
	}
	return nil
}

func (p *Pipe) readBody(x *exchange.Exchange) error {
	controller := http.NewResponseController(x.Writer)
	// The error is ignored: only response writers of tests do not support deadlines, and tests have no
	// slow callers.
	_ = controller.SetReadDeadline((p.now() + clock.Millis(p.settings.BodyTimeoutMs)).Time())
	stopWaiting := context.AfterFunc(x.Context(), func() { x.Writer.SetReadTimeout(1) })
	body, err := io.ReadAll(http.MaxBytesReader(x.Writer, x.Request.Body, p.settings.MaxBodyBytes))
	stopWaiting()
	_ = controller.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return apierror.New(http.StatusRequestEntityTooLarge, "body_too_large",
			fmt.Sprintf("body: longer than %d bytes", tooLarge.Limit), apierror.WithParam("body"))
	}
	if err != nil {
		return apierror.New(http.StatusRequestTimeout, "body_incomplete",
			"body: did not arrive whole in time", apierror.WithParam("body"), apierror.WithCause(err))
	}
	x.Body = body
	return nil
}

func (p *Pipe) readTarget(x *exchange.Exchange) error {
	if x.Kind == exchange.Service {
		return readService(x)
	}
	return p.readChat(x)
}

func (p *Pipe) readChat(x *exchange.Exchange) error {
	chat, err := engine.ParseChatRequest(x.Body, p.settings.MaxJSONDepth)
	if err != nil {
		return apierror.New(http.StatusBadRequest, "bad_request", err.Error(), apierror.WithCause(err))
	}
	if x.State.Model(chat.Model) == nil {
		return apierror.New(http.StatusNotFound, "model_not_found", "model: unknown", apierror.WithParam("model"))
	}
	x.Target = chat.Model
	x.Path = urlpath.Sent(x.Request.URL)
	x.Streamed = chat.Stream
	x.FirstTurn = chat.IsFirstTurn()
	x.Repeatable = x.Request.Header.Get(exchange.HeaderIdempotencyKey) == ""
	x.Session = chatSession(x, &chat)
	x.Key = route.NewKey(x.Organisation.Name, x.Session)
	return nil
}

// chatSession returns the session name: the session header, the OpenAI prompt_cache_key field, or
// else a hash of the opening messages, which stay the same in every turn of a chat.
func chatSession(x *exchange.Exchange, chat *engine.ChatRequest) string {
	if session := x.Request.Header.Get(exchange.HeaderSession); session != "" {
		return session
	}
	if chat.PromptCacheKey != "" {
		return chat.PromptCacheKey
	}
	digest := sha256.Sum256(chat.Opening())
	return hex.EncodeToString(digest[:])
}

// Names of the path values of a request to a service.
const (
	// PathService is the name of the service.
	PathService = "service"
	// PathRest is the path at the service as the caller sent it.
	PathRest = "path"
)

func readService(x *exchange.Exchange) error {
	name := x.Request.PathValue(PathService)
	service := x.State.Service(name)
	if service == nil {
		return apierror.New(http.StatusNotFound, "service_not_found", "service: unknown", apierror.WithParam("service"))
	}
	x.Target = name
	x.Path = x.Request.PathValue(PathRest)
	x.Repeatable = service.IsRepeatable(x.Request.Method, x.Path)
	x.Session = x.Request.Header.Get(exchange.HeaderSession)
	if x.Session == "" {
		x.Session = x.ID
	}
	x.Key = route.NewKey(x.Organisation.Name, x.Session)
	return nil
}

func (p *Pipe) readDeadline(x *exchange.Exchange) error {
	timeout := p.defaultTimeout(x)
	if value := x.Request.Header.Get(exchange.HeaderDeadline); value != "" {
		requested, err := strconv.ParseInt(value, 10, 64)
		if err != nil || requested <= 0 {
			return apierror.New(http.StatusBadRequest, "bad_deadline",
				exchange.HeaderDeadline+": must be a whole number of milliseconds above 0",
				apierror.WithParam(exchange.HeaderDeadline))
		}
		timeout = clock.Millis(requested)
	}
	x.Deadline = x.Arrived + min(timeout, clock.Millis(p.settings.MaxDeadlineMs))
	if x.RemainingMs(p.now()) <= 0 {
		return apierror.New(http.StatusGatewayTimeout, "deadline_passed", "the deadline passed before the request ran")
	}
	ctx, cancel := context.WithTimeout(x.Context(), x.RemainingMs(p.now()).Duration())
	x.SetContext(ctx)
	x.OnSettle(func(*exchange.Exchange) { cancel() })
	return nil
}

func (p *Pipe) defaultTimeout(x *exchange.Exchange) clock.Millis {
	if model := x.State.Model(x.Target); x.Kind == exchange.Chat && model != nil && model.DeadlineMs > 0 {
		return model.DeadlineMs
	}
	if service := x.State.Service(x.Target); x.Kind == exchange.Service && service != nil && service.DeadlineMs > 0 {
		return service.DeadlineMs
	}
	return clock.Millis(p.settings.DefaultDeadlineMs)
}
