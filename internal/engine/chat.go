package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// ErrBadRequest means that a chat request cannot be used; the text names the
// field.
var ErrBadRequest = errors.New("bad request")

// Bounds of names in a chat request.
const (
	maxModelBytes = 256
	maxKeyBytes   = 512
)

// ChatRequest is the part of a chat completion request that routing needs. The
// body goes to the engine as it came.
type ChatRequest struct {
	Model          string            `json:"model"`
	Stream         bool              `json:"stream"`
	PromptCacheKey string            `json:"prompt_cache_key"`
	Messages       []json.RawMessage `json:"messages"`
}

// ParseChatRequest decodes and checks a body whose nesting is at most maxDepth.
func ParseChatRequest(body []byte, maxDepth int) (ChatRequest, error) {
	if err := checkDepth(body, maxDepth); err != nil {
		return ChatRequest{}, err
	}
	var request ChatRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return ChatRequest{}, badJSON(err)
	}
	switch {
	case request.Model == "":
		return ChatRequest{}, fmt.Errorf("%w: model: is missing", ErrBadRequest)
	case len(request.Model) > maxModelBytes:
		return ChatRequest{}, fmt.Errorf("%w: model: longer than %d bytes", ErrBadRequest, maxModelBytes)
	case len(request.PromptCacheKey) > maxKeyBytes:
		return ChatRequest{}, fmt.Errorf("%w: prompt_cache_key: longer than %d bytes", ErrBadRequest, maxKeyBytes)
	case len(request.Messages) == 0:
		return ChatRequest{}, fmt.Errorf("%w: messages: must have at least one", ErrBadRequest)
	}
	return request, nil
}

// badJSON names the field of a decoding error without echoing its value.
func badJSON(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return fmt.Errorf("%w: %s: must not be a %s", ErrBadRequest, wrongType.Field, wrongType.Value)
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return fmt.Errorf("%w: body: not JSON at byte %d", ErrBadRequest, syntax.Offset)
	}
	return fmt.Errorf("%w: body: not a JSON object", ErrBadRequest)
}

// openingMessages is how many messages name a session that brings no key: the
// system prompt and the first turn stay the same for a session's whole life.
const openingMessages = 2

// Opening returns the bytes of the opening messages, compacted, so that white
// space does not change them.
func (c *ChatRequest) Opening() []byte {
	var opening bytes.Buffer
	for _, message := range c.Messages[:min(openingMessages, len(c.Messages))] {
		// The whole body was decoded before, so each message is valid JSON.
		_ = json.Compact(&opening, message)
	}
	return opening.Bytes()
}

// Fresh reports whether no answer stands among the messages yet.
func (c *ChatRequest) Fresh() bool { return len(c.Messages) <= openingMessages }

// checkDepth bounds the nesting before the decoder recurses into it.
func checkDepth(body []byte, maxDepth int) error {
	depth, inString, escaped := 0, false, false
	for _, b := range body {
		switch {
		case escaped:
			escaped = false
		case inString && b == '\\':
			escaped = true
		case b == '"':
			inString = !inString
		case inString:
		case b == '{' || b == '[':
			depth++
		case b == '}' || b == ']':
			depth--
		}
		if depth > maxDepth {
			return fmt.Errorf("%w: body: nested deeper than %d", ErrBadRequest, maxDepth)
		}
	}
	return nil
}

// Usage is the token count of an answer.
type Usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	Details          UsageDetails `json:"prompt_tokens_details"`
}

// UsageDetails splits the prompt's tokens.
type UsageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Completion is an answer that is not streamed, or one part of a streamed one.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is one alternative of an answer.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Chat is a whole request as callers of ours and the stand-ins build it.
type Chat struct {
	Model          string    `json:"model"`
	Messages       []Message `json:"messages"`
	Stream         bool      `json:"stream,omitempty"`
	MaxTokens      int       `json:"max_tokens,omitempty"`
	PromptCacheKey string    `json:"prompt_cache_key,omitempty"`
}

// Prompt returns all turns as one text, the way the cache sees them.
func (c *Chat) Prompt() string {
	var prompt strings.Builder
	for _, message := range c.Messages {
		prompt.WriteString(message.Role)
		prompt.WriteByte('\n')
		prompt.WriteString(message.Content)
		prompt.WriteByte('\n')
	}
	return prompt.String()
}
