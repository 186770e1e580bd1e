// Package identify is the step that reads a request: who sends it, for which
// session, what it asks for, whether it may be repeated and how long it may
// take.
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
	"dooryard.example/dooryard/pkg/config"
)

// Defaults of the settings that this step uses.
const (
	defaultMaxBodyBytes   = 8 << 20
	defaultMaxHeaders     = 64
	defaultMaxHeaderBytes = 32 << 10
	defaultMaxDepth       = 64
	defaultBodyTimeoutMs  = 30_000
	defaultDeadlineMs     = 120_000
	defaultMaxDeadlineMs  = 600_000
)

const maxNameBytes = 512

// Pipe reads requests.
type Pipe struct {
	settings config.Request
	state    func() *table.State
	now      func() clock.Millis
}

// New returns the step. State returns the table in force.
func New(state func() *table.State, now func() clock.Millis) *Pipe {
	return &Pipe{state: state, now: now}
}

// String names the step in logs.
func (*Pipe) String() string { return "identify" }

// Default fills in the settings that this step uses.
func (p *Pipe) Default(settings *config.Router) {
	r := &settings.Request
	config.Fill(&r.MaxBodyBytes, defaultMaxBodyBytes)
	config.Fill(&r.MaxHeaders, defaultMaxHeaders)
	config.Fill(&r.MaxHeaderBytes, defaultMaxHeaderBytes)
	config.Fill(&r.MaxJSONDepth, defaultMaxDepth)
	config.Fill(&r.BodyTimeoutMs, defaultBodyTimeoutMs)
	config.Fill(&r.DefaultDeadlineMs, defaultDeadlineMs)
	config.Fill(&r.MaxDeadlineMs, defaultMaxDeadlineMs)
	p.settings = *r
}

// Run reads the request of an exchange.
func (p *Pipe) Run(x *exchange.Exchange) error {
	x.State = p.state()
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
		if len(r.Header.Get(name)) > maxNameBytes {
			return apierror.New(http.StatusBadRequest, "header_too_long",
				fmt.Sprintf("%s: longer than %d bytes", name, maxNameBytes), apierror.WithParam(name))
		}
	}
	return nil
}

func (p *Pipe) identifyOrganisation(x *exchange.Exchange) error {
	if x.FromPeer {
		return p.identifyFromPeer(x)
	}
	organisation, err := Caller(x.State, x.Request)
	x.Organisation = organisation
	return err
}

// Caller returns the organisation whose key a request carries.
func Caller(state *table.State, r *http.Request) (*table.Organisation, error) {
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found || key == "" {
		return nil, apierror.New(http.StatusUnauthorized, "missing_key", "Authorization: a bearer key is needed")
	}
	organisation := state.OrganisationByKeyHash(table.HashKey(key))
	if organisation == nil {
		return nil, apierror.New(http.StatusUnauthorized, "unknown_key", "Authorization: no organisation has this key")
	}
	return organisation, nil
}

// identifyFromPeer trusts the box that took the request in: it has checked the
// caller's key, and the peers' listener has checked the box's.
func (p *Pipe) identifyFromPeer(x *exchange.Exchange) error {
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
	// A writer without deadlines, as tests use, has no slow callers.
	_ = controller.SetReadDeadline((p.now() + clock.Millis(p.settings.BodyTimeoutMs)).Time())
	body, err := io.ReadAll(http.MaxBytesReader(x.Writer, x.Request.Body, p.settings.MaxBodyBytes))
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
	x.Path = x.Request.URL.Path
	x.Streamed = chat.Stream
	x.Fresh = chat.Fresh()
	x.Repeatable = x.Request.Header.Get(exchange.HeaderIdempotencyKey) == ""
	x.Session = chatSession(x, &chat)
	x.Key = route.NewKey(x.Organisation.Name, x.Session)
	return nil
}

// chatSession names the session: by header, by the OpenAI field, or else by the
// messages that open it and never change.
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

func readService(x *exchange.Exchange) error {
	name := x.Request.PathValue("service")
	service := x.State.Service(name)
	if service == nil {
		return apierror.New(http.StatusNotFound, "service_not_found", "service: unknown", apierror.WithParam("service"))
	}
	x.Target = name
	x.Path = "/" + x.Request.PathValue("path")
	x.Repeatable = service.MayRepeat(x.Request.Method, x.Path)
	x.Session = x.Request.Header.Get(exchange.HeaderSession)
	if x.Session == "" {
		x.Session = x.ID
	}
	x.Key = route.NewKey(x.Organisation.Name, x.Session)
	return nil
}

func (p *Pipe) readDeadline(x *exchange.Exchange) error {
	span := p.tableDeadline(x)
	if value := x.Request.Header.Get(exchange.HeaderDeadline); value != "" {
		asked, err := strconv.ParseInt(value, 10, 64)
		if err != nil || asked <= 0 {
			return apierror.New(http.StatusBadRequest, "bad_deadline",
				exchange.HeaderDeadline+": must be a whole number of milliseconds above 0",
				apierror.WithParam(exchange.HeaderDeadline))
		}
		span = clock.Millis(asked)
	}
	x.Deadline = x.Arrived + min(span, clock.Millis(p.settings.MaxDeadlineMs))
	if x.RemainingMs(p.now()) <= 0 {
		return apierror.New(http.StatusGatewayTimeout, "deadline_passed", "the deadline passed before the request ran")
	}
	ctx, cancel := context.WithTimeout(x.Context(), x.RemainingMs(p.now()).Duration())
	x.SetContext(ctx)
	x.OnSettle(func(*exchange.Exchange) { cancel() })
	return nil
}

func (p *Pipe) tableDeadline(x *exchange.Exchange) clock.Millis {
	if model := x.State.Model(x.Target); x.Kind == exchange.Chat && model != nil && model.DeadlineMs > 0 {
		return model.DeadlineMs
	}
	if service := x.State.Service(x.Target); x.Kind == exchange.Service && service != nil && service.DeadlineMs > 0 {
		return service.DeadlineMs
	}
	return clock.Millis(p.settings.DefaultDeadlineMs)
}
