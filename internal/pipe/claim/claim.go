// Package claim is the pipeline step for idempotency keys. It makes sure that a request that must
// not be repeated runs at most once.
package claim

import (
	"context"
	"errors"
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
	inDoubtRetryMs   = 5 * clock.Second
	claimLogRetryMs  = 2 * clock.Second
)

// Claims holds the functions of the claim service that this step uses.
type Claims struct {
	Claim  func(ctx context.Context, record claim.Record) (claim.Verdict, error)
	Submit func(record claim.Record)
}

// Pipe claims idempotency keys.
type Pipe struct {
	settings config.Claim
	claims   Claims
	metrics  *metrics.Metrics
	now      func() clock.Millis
}

// New returns the step. The clock is monotonic.
func New(claims Claims, m *metrics.Metrics, now func() clock.Millis) *Pipe {
	return &Pipe{claims: claims, metrics: m, now: now}
}

// String returns the name of the step in logs.
func (*Pipe) String() string { return "claim" }

// Default sets the defaults of the settings that this step uses.
func (p *Pipe) Default(settings *config.Router) {
	c := &settings.Claim
	config.SetDefault(&c.BatchMs, defaultBatchMs)
	config.SetDefault(&c.TimeoutMs, defaultTimeoutMs)
	config.SetDefault(&c.WindowMs, defaultWindowMs)
	p.settings = *c
}

// Run claims the idempotency key, or replays the recorded outcome if the key is already claimed.
func (p *Pipe) Run(x *exchange.Exchange) error {
	if x.Repeatable || x.IdempotencyKey == "" {
		return pipe.Skip("request needs no claim")
	}
	if x.FromPeer {
		return pipe.Skip("claimed by the box that received the request")
	}
	record := claim.Record{
		Type:   claim.TypeClaim,
		Key:    claim.NewKey(x.Organisation.Name, x.IdempotencyKey),
		Owner:  x.ID,
		Digest: claim.NewDigest(x.Request.Method, x.Request.RequestURI, x.Body),
	}
	start := p.now()
	awaiting, cancelAwaiting := x.Awaiting(start)
	defer cancelAwaiting()
	ctx, cancel := context.WithTimeout(awaiting, clock.Millis(p.settings.TimeoutMs).Duration())
	defer cancel()
	verdict, err := p.claims.Claim(ctx, record)
	if err != nil {
		p.metrics.ClaimsRefused.Add(1)
		return apierror.New(http.StatusServiceUnavailable, "claim_unavailable",
			"the request was not run: its key could not be recorded",
			apierror.WithRetryAfter(claimLogRetryMs), apierror.WithCause(err))
	}
	return p.onVerdict(x, record, verdict, start)
}

// onVerdict continues with the request or refuses it, depending on the verdict of the claim service.
func (p *Pipe) onVerdict(x *exchange.Exchange, record claim.Record, verdict claim.Verdict, start clock.Millis) error {
	if verdict.State == claim.Won {
		return p.proceedWithClaim(x, record, start)
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
		// Only the box that made the claim can report that the claimed request did not run. That box
		// may be paused now and still send the request later.
		x.Outcome = exchange.Unknown
		return apierror.New(http.StatusConflict, "in_doubt",
			"a request with this key was taken before and its end is not known yet",
			apierror.WithRetryAfter(inDoubtRetryMs))
	}
}

// proceedWithClaim continues with a request that holds the claim. It refuses the request if so
// much of the window has passed that the key could expire while the request runs.
func (p *Pipe) proceedWithClaim(x *exchange.Exchange, record claim.Record, start clock.Millis) error {
	p.metrics.ClaimsWon.Add(1)
	recorder := newResponseRecorder()
	x.Writer.Record(recorder.add)
	x.OnSettle(func(x *exchange.Exchange) { p.settle(x, record, recorder) })
	sendBefore := start + clock.Millis(p.settings.WindowMs)/sendWindowDivisor
	if p.now() > sendBefore {
		return apierror.New(http.StatusServiceUnavailable, "claim_too_old",
			"the request was not run: this box was paused for too long", apierror.WithRetryAfter(claimLogRetryMs))
	}
	x.SendBefore = sendBefore
	p.detach(x)
	return nil
}

// detach keeps the request running after its caller disconnects, so that the response is
// recorded for the caller's next attempt. The end of the box's stop still ends it.
func (p *Pipe) detach(x *exchange.Exchange) {
	remaining := (x.Deadline - p.now()).Duration()
	detached, end := context.WithCancelCause(context.WithoutCancel(x.Context()))
	attached := x.Context()
	stopWaiting := context.AfterFunc(attached, func() {
		if cause := context.Cause(attached); errors.Is(cause, exchange.ErrStopping) {
			end(cause)
		}
	})
	ctx, cancel := context.WithTimeout(detached, remaining)
	x.SetContext(ctx)
	x.OnSettle(func(*exchange.Exchange) {
		stopWaiting()
		cancel()
		end(context.Canceled)
	})
}

// sendWindowDivisor limits sending to the first half of the claim window, so that the owner of a
// claim does not send its request shortly before the key expires.
const sendWindowDivisor = 2

// settle records the outcome of a claimed request, or releases the claim if the request did not run.
func (p *Pipe) settle(x *exchange.Exchange, record claim.Record, recorder *responseRecorder) {
	if x.Outcome == exchange.NotRun {
		p.claims.Submit(claim.Record{Type: claim.TypeRelease, Key: record.Key, Owner: record.Owner})
		return
	}
	p.claims.Submit(claim.Record{
		Type: claim.TypeSettle, Key: record.Key, Owner: record.Owner, Answer: recorder.answer(x),
	})
}

// replay responds with the recorded outcome of the first request with this key.
func replay(x *exchange.Exchange, verdict claim.Verdict) error {
	answer := verdict.Answer
	if answer.Unknown {
		x.Outcome = exchange.Unknown
		return apierror.New(http.StatusConflict, "in_doubt",
			"a request with this key may have run; its answer was not seen")
	}
	x.Outcome = exchange.Ran
	x.Writer.Header().Set(headerReplayed, "true")
	if answer.Truncated {
		return apierror.New(http.StatusConflict, "answer_not_kept",
			"a request with this key ran; its answer was too long to be kept")
	}
	x.SetOutcomeHeaders()
	if answer.ContentType != "" {
		x.Writer.Header().Set("Content-Type", answer.ContentType)
	}
	x.Writer.WriteHeader(answer.Status)
	// A caller that has disconnected can send the request again.
	_, _ = x.Writer.Write(answer.Body)
	return exchange.ErrAnswered
}

const headerReplayed = "Idempotency-Replayed"
