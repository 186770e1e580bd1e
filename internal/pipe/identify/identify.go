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

	"dooryard.example/dooryard/internal/apierror"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/deadline"
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
	// defaultRoundTripMs is a round trip between data centers of a region through a balancer.
	defaultRoundTripMs = 15
	// defaultMaxLeadMs covers a round trip around the world.
	defaultMaxLeadMs = 250
	// defaultMaxLeadPercent leaves most of a short deadline for the response.
	defaultMaxLeadPercent = 10
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
	settings config.Request
	leads    deadline.Limits
	deps     Dependencies
}

// Dependencies are the parts of the box that the step uses.
type Dependencies struct {
	// State returns the active table.
	State func() *table.State
	// AwaitRead waits until a table has been read.
	AwaitRead func(ctx context.Context) error
	// LatenessMs returns by how much the box was late lately when it acted at a set time.
	LatenessMs func() clock.Millis
	// Monotonic reads the monotonic clock.
	Monotonic func() clock.Millis
}

// New returns the step.
func New(d Dependencies) *Pipe { return &Pipe{deps: d} }

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
	d := &settings.Deadline
	config.SetDefault(&d.RoundTripMs, defaultRoundTripMs)
	config.SetDefault(&d.MaxLeadMs, defaultMaxLeadMs)
	config.SetDefault(&d.MaxLeadPercent, defaultMaxLeadPercent)
	p.leads = deadline.Limits{
		RoundTripMs: clock.Millis(d.RoundTripMs), MaxLeadMs: clock.Millis(d.MaxLeadMs), MaxLeadPercent: d.MaxLeadPercent,
	}
}

// Run authenticates and parses the request of an exchange.
func (p *Pipe) Run(x *exchange.Exchange) error {
	if err := p.checkHeaders(x.Request); err != nil {
		return err
	}
	if err := p.readDeadline(x); err != nil {
		return err
	}
	x.State = p.firstState(x)
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
	if x.Deadline == 0 {
		return p.setDeadline(x, p.defaultTimeout(x))
	}
	return p.checkDeadline(x)
}

// firstState returns the active table. It waits for the first one, since the process before may have
// closed its listeners.
func (p *Pipe) firstState(x *exchange.Exchange) *table.State {
	if !read(p.deps.State()) {
		awaiting, cancel := x.Awaiting(p.deps.Monotonic())
		defer cancel()
		ctx, cancelFirst := context.WithTimeout(awaiting, firstTableMs.Duration())
		defer cancelFirst()
		// Without a table the request is refused.
		_ = p.deps.AwaitRead(ctx)
	}
	return p.deps.State()
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
	timeoutMs := clock.Millis(p.settings.BodyTimeoutMs)
	if x.Deadline != 0 {
		timeoutMs = max(1, min(timeoutMs, x.RemainingMs(p.deps.Monotonic())))
	}
	x.Writer.SetReadTimeout(timeoutMs.Duration())
	stopWaiting := context.AfterFunc(x.Context(), func() { x.Writer.SetReadTimeout(1) })
	body, err := io.ReadAll(http.MaxBytesReader(x.Writer, x.Request.Body, p.settings.MaxBodyBytes))
	stopWaiting()
	if err != nil {
		// The server would wait for the rest of a short body before it sends the response.
		x.Writer.SetReadTimeout(1)
	} else {
		x.Writer.SetReadTimeout(0)
	}
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

// readDeadline sets the deadline that the caller asks for, if it asks for one.
func (p *Pipe) readDeadline(x *exchange.Exchange) error {
	value := x.Request.Header.Get(exchange.HeaderDeadline)
	if value == "" {
		return nil
	}
	requested, err := strconv.ParseInt(value, 10, 64)
	if err != nil || requested <= 0 {
		return apierror.New(http.StatusBadRequest, "bad_deadline",
			exchange.HeaderDeadline+": must be a whole number of milliseconds above 0",
			apierror.WithParam(exchange.HeaderDeadline))
	}
	return p.setDeadline(x, clock.Millis(requested))
}

// setDeadline sets the deadline of a request whose sender waits for a time from its arrival.
func (p *Pipe) setDeadline(x *exchange.Exchange, timeout clock.Millis) error {
	timeout = min(timeout, clock.Millis(p.settings.MaxDeadlineMs))
	limits := p.leads
	if x.FromPeer {
		// Boxes connect to each other directly.
		limits.RoundTripMs = 0
	}
	x.Deadline = x.Arrived + timeout
	x.RespondBy = x.Deadline - limits.LeadMs(timeout, x.Caller, p.deps.LatenessMs())
	ctx, cancel := context.WithTimeout(x.Context(), (x.Deadline - p.deps.Monotonic()).Duration())
	x.SetContext(ctx)
	x.OnSettle(func(*exchange.Exchange) { cancel() })
	return p.checkDeadline(x)
}

// checkDeadline refuses a request that can't be served in time.
func (p *Pipe) checkDeadline(x *exchange.Exchange) error {
	if x.RemainingMs(p.deps.Monotonic()) <= 0 {
		// The server would wait for a short body before it sends the response.
		x.Writer.SetReadTimeout(1)
		return apierror.New(http.StatusGatewayTimeout, "deadline_passed", "the deadline passed before the request ran")
	}
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
