// Package claim is the step that makes sure a request which may not be repeated
// runs at most once.
package claim

import (
	"context"
	"net/http"

	"dooryard.example/dooryard/internal/apierror"
	"dooryard.example/dooryard/internal/claim"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/exchange"
	"dooryard.example/dooryard/internal/metrics"
	"dooryard.example/dooryard/internal/pipe"
	"dooryard.example/dooryard/pkg/config"
)

// Defaults of the settings that this step uses.
const (
	defaultBatchMs   = 20
	defaultTimeoutMs = 3000
	defaultWindowMs  = 60 * 60 * 1000
	unknownRetryMs   = 5 * clock.Second
	logRetryMs       = 2 * clock.Second
)

// Claims is what the step needs of the claim service.
type Claims struct {
	Claim  func(ctx context.Context, record claim.Record) (claim.Verdict, error)
	Submit func(record claim.Record)
}

// Pipe claims requests.
type Pipe struct {
	settings config.Claim
	claims   Claims
	metrics  *metrics.Metrics
	now      func() clock.Millis
}

// New returns the step.
func New(claims Claims, m *metrics.Metrics, now func() clock.Millis) *Pipe {
	return &Pipe{claims: claims, metrics: m, now: now}
}

// String names the step in logs.
func (*Pipe) String() string { return "claim" }

// Default fills in the settings that this step uses.
func (p *Pipe) Default(settings *config.Router) {
	c := &settings.Claim
	config.Fill(&c.BatchMs, defaultBatchMs)
	config.Fill(&c.TimeoutMs, defaultTimeoutMs)
	config.Fill(&c.WindowMs, defaultWindowMs)
	p.settings = *c
}

// Run claims the request's key, or answers from what its first run left behind.
func (p *Pipe) Run(x *exchange.Exchange) error {
	if x.Repeatable || x.IdempotencyKey == "" {
		return pipe.Skip("nothing to claim")
	}
	if x.FromPeer {
		return pipe.Skip("claimed by the box that took the request in")
	}
	record := claim.Record{
		Type:   claim.TypeClaim,
		Key:    claim.NewKey(x.Organisation.Name, x.IdempotencyKey),
		Owner:  x.ID,
		Digest: claim.NewDigest(x.Request.Method, x.Request.URL.Path, x.Body),
	}
	began := p.now()
	ctx, cancel := context.WithTimeout(x.Context(), clock.Millis(p.settings.TimeoutMs).Duration())
	defer cancel()
	verdict, err := p.claims.Claim(ctx, record)
	if err != nil {
		p.metrics.ClaimsRefused.Add(1)
		return apierror.New(http.StatusServiceUnavailable, "claim_unavailable",
			"the request was not run: its key could not be recorded",
			apierror.WithRetryAfter(logRetryMs), apierror.WithCause(err))
	}
	return p.follow(x, record, verdict, began)
}

func (p *Pipe) follow(x *exchange.Exchange, record claim.Record, verdict claim.Verdict, began clock.Millis) error {
	if verdict.State == claim.Won {
		return p.won(x, record, began)
	}
	p.metrics.ClaimsLost.Add(1)
	switch verdict.State {
	case claim.Settled:
		return replay(x, verdict)
	case claim.Mismatch:
		return apierror.New(http.StatusUnprocessableEntity, "key_reused",
			exchange.HeaderIdempotencyKey+": was used for a different request",
			apierror.WithParam(exchange.HeaderIdempotencyKey))
	default:
		// Only the holder may say that its request did not run: it may be
		// paused and still send.
		x.Outcome = exchange.Unknown
		return apierror.New(http.StatusConflict, "in_doubt",
			"a request with this key was taken before and its end is not known yet",
			apierror.WithRetryAfter(unknownRetryMs))
	}
}

// won lets the request go on, unless so much of the window has passed that the
// key could be forgotten while the request runs.
func (p *Pipe) won(x *exchange.Exchange, record claim.Record, began clock.Millis) error {
	p.metrics.ClaimsWon.Add(1)
	answer := newAnswerRecorder()
	x.Writer.Record(answer.add)
	x.OnSettle(func(x *exchange.Exchange) { p.settle(x, record, answer) })
	latest := began + clock.Millis(p.settings.WindowMs)/windowParts
	if p.now() > latest {
		return apierror.New(http.StatusServiceUnavailable, "claim_too_old",
			"the request was not run: this box was paused for too long", apierror.WithRetryAfter(logRetryMs))
	}
	x.SendBefore = latest
	p.detach(x)
	return nil
}

// detach lets the request run on when its caller leaves, so that its answer is
// recorded for the caller's next try.
func (p *Pipe) detach(x *exchange.Exchange) {
	remaining := x.RemainingMs(p.now()).Duration()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.Context()), remaining)
	x.SetContext(ctx)
	x.OnSettle(func(*exchange.Exchange) { cancel() })
}

// windowParts keeps a claimant from sending late in its key's window.
const windowParts = 2

func (p *Pipe) settle(x *exchange.Exchange, record claim.Record, answer *answerRecorder) {
	if x.Outcome == exchange.NotRun {
		p.claims.Submit(claim.Record{Type: claim.TypeRelease, Key: record.Key, Owner: record.Owner})
		return
	}
	p.claims.Submit(claim.Record{
		Type: claim.TypeSettle, Key: record.Key, Owner: record.Owner, Answer: answer.answer(x),
	})
}

// replay answers with what the first run was answered.
func replay(x *exchange.Exchange, verdict claim.Verdict) error {
	answer := verdict.Answer
	if answer.Unknown {
		x.Outcome = exchange.Unknown
		return apierror.New(http.StatusConflict, "in_doubt",
			"a request with this key may have run; its answer was not seen")
	}
	x.Outcome = exchange.Ran
	x.Writer.Header().Set(headerReplayed, "true")
	if answer.Cut {
		return apierror.New(http.StatusConflict, "answer_not_kept",
			"a request with this key ran; its answer was too long to be kept")
	}
	x.StampOutcome()
	if answer.ContentType != "" {
		x.Writer.Header().Set("Content-Type", answer.ContentType)
	}
	x.Writer.WriteHeader(answer.Status)
	// A caller that is gone can ask again.
	_, _ = x.Writer.Write(answer.Body)
	return exchange.ErrAnswered
}

const headerReplayed = "Idempotency-Replayed"
