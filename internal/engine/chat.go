package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// ErrInvalidRequest is returned for an invalid chat request. The message names the
// field.
var ErrInvalidRequest = errors.New("bad request")

// Limits of the strings in a chat request.
const (
	maxModelBytes    = 256
	maxCacheKeyBytes = 512
)

// ChatRequest is the part of a chat completion request that routing needs. The
// body is forwarded to the engine unchanged.
type ChatRequest struct {
	Model          string            `json:"model"`
	Stream         bool              `json:"stream"`
	PromptCacheKey string            `json:"prompt_cache_key"`
	Messages       []json.RawMessage `json:"messages"`
}

// ParseChatRequest decodes and validates a body. It rejects a body that is nested
// deeper than maxDepth.
func ParseChatRequest(body []byte, maxDepth int) (ChatRequest, error) {
	if err := checkDepth(body, maxDepth); err != nil {
		return ChatRequest{}, err
	}
	var request ChatRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return ChatRequest{}, newDecodeError(err)
	}
	switch {
	case request.Model == "":
		return ChatRequest{}, fmt.Errorf("%w: model: is missing", ErrInvalidRequest)
	case len(request.Model) > maxModelBytes:
		return ChatRequest{}, fmt.Errorf("%w: model: longer than %d bytes", ErrInvalidRequest, maxModelBytes)
	case len(request.PromptCacheKey) > maxCacheKeyBytes:
		return ChatRequest{}, fmt.Errorf("%w: prompt_cache_key: longer than %d bytes", ErrInvalidRequest, maxCacheKeyBytes)
	case len(request.Messages) == 0:
		return ChatRequest{}, fmt.Errorf("%w: messages: must have at least one", ErrInvalidRequest)
	}
	return request, nil
}

// newDecodeError converts a decoding error into one that names the field without
// echoing its value.
func newDecodeError(err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return fmt.Errorf("%w: %s: must not be a %s", ErrInvalidRequest, typeError.Field, typeError.Value)
	}
	var syntaxError *json.SyntaxError
	if errors.As(err, &syntaxError) {
		return fmt.Errorf("%w: body: not JSON at byte %d", ErrInvalidRequest, syntaxError.Offset)
	}
	return fmt.Errorf("%w: body: not a JSON object", ErrInvalidRequest)
}

// openingMessages is the number of messages that identify a session without a
// prompt cache key: the system prompt and the first turn do not change during a
// session.
const openingMessages = 2

// Opening returns the opening messages as compacted JSON, so that white space makes
// no difference.
func (c *ChatRequest) Opening() []byte {
	var opening bytes.Buffer
	for _, message := range c.Messages[:min(openingMessages, len(c.Messages))] {
		// Compacting cannot fail: the body was decoded, so each message is valid JSON.
		_ = json.Compact(&opening, message)
	}
	return opening.Bytes()
}

// IsFirstTurn reports whether the messages contain no answer of the model yet.
func (c *ChatRequest) IsFirstTurn() bool { return len(c.Messages) <= openingMessages }

// checkDepth limits the nesting of a body before the decoder recurses into it.
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
			return fmt.Errorf("%w: body: nested deeper than %d", ErrInvalidRequest, maxDepth)
		}
	}
	return nil
}

// Usage holds the token counts of a completion.
type Usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	Details          UsageDetails `json:"prompt_tokens_details"`
}

// UsageDetails breaks down the tokens of the prompt.
type UsageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Completion is a complete response, or one chunk of a streamed response.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is one alternative of a completion.
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

// Chat is a complete chat completion request, as this project's own clients and
// stand-in engines use it.
type Chat struct {
	Model          string    `json:"model"`
	Messages       []Message `json:"messages"`
	Stream         bool      `json:"stream,omitempty"`
	MaxTokens      int       `json:"max_tokens,omitempty"`
	PromptCacheKey string    `json:"prompt_cache_key,omitempty"`
}

// Prompt returns all messages as one text, which is the input of the prompt cache.
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
