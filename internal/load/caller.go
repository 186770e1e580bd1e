// Package load is a load generator. It sends chats and non-idempotent service calls to a fleet as its users do, checks
// every answer against the guarantees of the fleet, and measures latency, cache reuse and load skew.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/engine"
	"dooryard.example/dooryard/internal/exchange"
)

// Caller sends requests and checks their answers.
type Caller struct {
	Client *http.Client
	Clock  clock.Clock
}

// Verdict is the result of checking an answer.
type Verdict string

// Verdicts of an answer. ConnectionFailed and the verdicts after it violate a guarantee.
const (
	// Complete is a complete and correct answer.
	Complete Verdict = "whole"
	// Refused is an error response before any part of an answer.
	Refused Verdict = "refused"
	// Incomplete is an answer that ended in an explicit error event.
	Incomplete Verdict = "incomplete"
	// ConnectionFailed is a connection that failed or was closed before the answer ended.
	ConnectionFailed Verdict = "broken"
	// Truncated is an incomplete answer that looked complete.
	Truncated Verdict = "cut-as-whole"
	// Mixed is an answer that contains parts of another request's answer.
	Mixed Verdict = "crossed"
	// Duplicated is an answer that contains a part twice.
	Duplicated Verdict = "doubled"
	// Late is a complete answer that arrived after the deadline.
	Late Verdict = "late"
)

// Result is the result of a request as its caller saw it.
type Result struct {
	Verdict      Verdict
	Status       int
	Outcome      exchange.Outcome
	Upstream     string
	RetryAfter   string
	Attempts     int
	FirstTokenMs clock.Millis
	DurationMs   clock.Millis
	MaxGapMs     clock.Millis
	Tokens       int
	PromptTokens int
	CachedTokens int
	Err          error
}

// ChatRequest holds the parameters of a chat request.
type ChatRequest struct {
	URL     string
	Key     string
	Session string
	// Mark is a word that the stand-in engines repeat in each token, so that an answer can be matched to its request.
	Mark       string
	Chat       engine.Chat
	DeadlineMs clock.Millis
	// Headers holds additional headers.
	Headers map[string]string
}

var errIncomplete = errors.New("answer is incomplete")

// Chat sends a chat request and checks the answer.
func (c Caller) Chat(ctx context.Context, r ChatRequest) Result {
	start := c.Clock.Now()
	request, err := chatRequest(ctx, r)
	if err != nil {
		return Result{Verdict: ConnectionFailed, Err: err}
	}
	response, err := c.Client.Do(request)
	if err != nil {
		return Result{Verdict: ConnectionFailed, Err: err, DurationMs: c.Clock.Now() - start}
	}
	defer func() { _ = response.Body.Close() }()
	result := resultOf(response)
	switch {
	case response.StatusCode != http.StatusOK:
		result.Verdict = Refused
		_, result.Err = io.Copy(io.Discard, response.Body)
	case r.Chat.Stream:
		c.readStream(response.Body, r, start, &result)
	default:
		readBody(response.Body, r, &result)
	}
	result.DurationMs = c.Clock.Now() - start
	if result.Verdict == Complete && r.DeadlineMs > 0 && result.DurationMs > r.DeadlineMs+lateMarginMs {
		result.Verdict = Late
	}
	return result
}

// lateMarginMs allows for the latency between the router and the caller.
const lateMarginMs = 100

func chatRequest(ctx context.Context, r ChatRequest) (*http.Request, error) {
	body, err := json.Marshal(r.Chat)
	if err != nil {
		return nil, fmt.Errorf("encode chat: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, r.URL+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("create chat request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+r.Key)
	request.Header.Set("Content-Type", "application/json")
	if r.Session != "" {
		request.Header.Set(exchange.HeaderSession, r.Session)
	}
	if r.DeadlineMs > 0 {
		request.Header.Set(exchange.HeaderDeadline, strconv.FormatInt(int64(r.DeadlineMs), 10))
	}
	for name, value := range r.Headers {
		request.Header.Set(name, value)
	}
	return request, nil
}

func resultOf(response *http.Response) Result {
	attempts, _ := strconv.Atoi(response.Header.Get(exchange.HeaderAttempts))
	return Result{
		Status:     response.StatusCode,
		Outcome:    exchange.Outcome(response.Header.Get(exchange.HeaderOutcome)),
		Upstream:   response.Header.Get(exchange.HeaderUpstream),
		RetryAfter: response.Header.Get("Retry-After"),
		Attempts:   attempts,
	}
}

func readBody(body io.Reader, r ChatRequest, result *Result) {
	data, err := io.ReadAll(body)
	if err != nil {
		result.Verdict, result.Err = ConnectionFailed, err
		return
	}
	var completion engine.Completion
	if err := json.Unmarshal(data, &completion); err != nil || len(completion.Choices) == 0 || completion.Usage == nil {
		result.Verdict, result.Err = Truncated, errors.Join(errIncomplete, err)
		return
	}
	check := newTokenCheck(r.Mark)
	check.add(completion.Choices[0].Message.Content)
	result.finish(check, completion.Usage)
}

// readStream reads a streamed answer up to its final event.
func (c Caller) readStream(body io.Reader, r ChatRequest, start clock.Millis, result *Result) {
	reading := &streamReading{check: newTokenCheck(r.Mark), lastMs: start, startMs: start, result: result}
	for event, err := range engine.Events(body) {
		if err != nil {
			result.Verdict, result.Err = ConnectionFailed, err
			return
		}
		reading.recordTime(c.Clock.Now())
		if event.Done() {
			result.finish(reading.check, reading.usage)
			return
		}
		if err := reading.handle(event); err != nil {
			result.Verdict, result.Err = Incomplete, err
			return
		}
	}
}

// streamReading is the state of a streamed answer that is being read.
type streamReading struct {
	check           *tokenCheck
	usage           *engine.Usage
	startMs, lastMs clock.Millis
	result          *Result
}

func (s *streamReading) recordTime(now clock.Millis) {
	if s.result.FirstTokenMs == 0 {
		s.result.FirstTokenMs = max(1, now-s.startMs)
	} else {
		s.result.MaxGapMs = max(s.result.MaxGapMs, now-s.lastMs)
	}
	s.lastMs = now
}

func (s *streamReading) handle(event engine.Event) error {
	var part chunk
	if err := json.Unmarshal([]byte(event.Data), &part); err != nil || part.Error != nil {
		return errors.Join(errIncomplete, err)
	}
	if part.Usage != nil {
		s.usage = part.Usage
	}
	if len(part.Choices) > 0 && part.Choices[0].Delta != nil {
		s.check.add(part.Choices[0].Delta.Content)
	}
	return nil
}

// chunk is an event of a streamed answer: a part of the completion, or an error.
type chunk struct {
	engine.Completion
	Error *struct {
		Code string `json:"code"`
	} `json:"error"`
}

func (r *Result) finish(check *tokenCheck, usage *engine.Usage) {
	r.Tokens = check.next
	if usage != nil {
		r.PromptTokens = usage.PromptTokens
		r.CachedTokens = usage.Details.CachedTokens
	}
	r.Verdict = check.verdict
	if r.Verdict == Complete && (usage == nil || usage.CompletionTokens != check.next) {
		r.Verdict = Truncated
	}
}

// tokenCheck checks the tokens of a stand-in engine's answer. Each token consists of the request's mark and the token's
// index, which must be consecutive from 0.
type tokenCheck struct {
	mark    string
	next    int
	verdict Verdict
}

func newTokenCheck(mark string) *tokenCheck { return &tokenCheck{mark: mark, verdict: Complete} }

func (t *tokenCheck) add(content string) {
	for token := range strings.FieldsSeq(content) {
		mark, number, _ := strings.Cut(token, ":")
		index, err := strconv.Atoi(number)
		switch {
		case t.verdict != Complete:
			return
		case err != nil || mark != t.mark:
			t.verdict = Mixed
		case index < t.next:
			t.verdict = Duplicated
		case index > t.next:
			t.verdict = Truncated
		default:
			t.next++
		}
	}
}

// ServiceCall holds the parameters of a call of a plain service.
type ServiceCall struct {
	URL        string
	Key        string
	Service    string
	Path       string
	Idempotent string
	Body       string
	DeadlineMs clock.Millis
}

// Post sends a non-idempotent call, as a POST request.
func (c Caller) Post(ctx context.Context, f ServiceCall) Result {
	return c.callService(ctx, http.MethodPost, f)
}

// Get sends an idempotent call, as a GET request.
func (c Caller) Get(ctx context.Context, f ServiceCall) Result {
	return c.callService(ctx, http.MethodGet, f)
}

func (c Caller) callService(ctx context.Context, method string, f ServiceCall) Result {
	start := c.Clock.Now()
	url := f.URL + "/services/" + f.Service + f.Path
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(f.Body))
	if err != nil {
		return Result{Verdict: ConnectionFailed, Err: err}
	}
	request.Header.Set("Authorization", "Bearer "+f.Key)
	if f.Idempotent != "" {
		request.Header.Set(exchange.HeaderIdempotencyKey, f.Idempotent)
	}
	if f.DeadlineMs > 0 {
		request.Header.Set(exchange.HeaderDeadline, strconv.FormatInt(int64(f.DeadlineMs), 10))
	}
	response, err := c.Client.Do(request)
	if err != nil {
		return Result{Verdict: ConnectionFailed, Err: err, DurationMs: c.Clock.Now() - start}
	}
	defer func() { _ = response.Body.Close() }()
	result := resultOf(response)
	data, err := io.ReadAll(response.Body)
	result.DurationMs = c.Clock.Now() - start
	result.Verdict, result.Err = checkServiceCall(f, response.StatusCode, data, err)
	return result
}

func checkServiceCall(f ServiceCall, status int, data []byte, err error) (Verdict, error) {
	if err != nil {
		return ConnectionFailed, err
	}
	if status >= http.StatusBadRequest {
		return Refused, nil
	}
	var reply struct {
		Key  string `json:"key"`
		Body string `json:"body"`
	}
	if err := json.Unmarshal(data, &reply); err != nil {
		return Truncated, err
	}
	if reply.Key != f.Idempotent || reply.Body != f.Body {
		return Mixed, nil
	}
	return Complete, nil
}
