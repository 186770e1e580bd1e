// Package opaque holds requests that the router passes on byte for byte: what
// is known of one on its way, and the names of the headers that carry it.
package opaque

import (
	"net/http"
	"strconv"
	"strings"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/prompt"
)

// Dialect names the headers that callers, boxes and upstreams speak. A name
// that is empty is not spoken.
type Dialect struct {
	// RequestID is set by callers and echoed by upstreams.
	RequestID string
	// DeadlineMs holds how long the sender waits, in milliseconds.
	DeadlineMs string
	// Organisation tells upstreams who the caller belongs to.
	Organisation string
	// ExpectUpstream names the incarnation that alone may run the request.
	ExpectUpstream string
	// NotRun is set in answers of upstreams that ran nothing of the request.
	NotRun string
	// Word decodes what an upstream says of itself in the head of an answer.
	Word func(status int, header http.Header) Word
	// ToBox are the headers of answers that speak to the box and aren't passed on.
	ToBox []string
	// Urgency ranks requests at engines; 0 comes first.
	Urgency string
	// Prompt holds a prompt's parts as ID:TOKENS, with commas between.
	Prompt string
	// LastEventID is where a stream goes on.
	LastEventID string
	// FetchFrom is the address of an engine that keeps parts of the prompt.
	FetchFrom string
	// Reserved are the headers that only the system may set, beside those above.
	Reserved []string
	// Key returns a request's key from its headers.
	Key func(header http.Header) string
	// RetryAfter writes a span as a Retry-After value.
	RetryAfter func(span clock.Millis) string
}

// hopHeaders end at each connection.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// Forwarded returns the headers that pass from a caller to an upstream.
func (d *Dialect) Forwarded(header http.Header) http.Header {
	out := endToEnd(header)
	for _, name := range d.Reserved {
		out.Del(name)
	}
	for _, name := range []string{
		"Authorization", d.Organisation, d.ExpectUpstream, d.Urgency, d.FetchFrom, d.DeadlineMs,
	} {
		if name != "" {
			out.Del(name)
		}
	}
	return out
}

// Returned returns the headers that pass from an upstream to a caller.
func (d *Dialect) Returned(header http.Header) http.Header {
	out := endToEnd(header)
	for _, name := range d.ToBox {
		out.Del(name)
	}
	return out
}

// endToEnd returns the headers that do not concern one connection only.
func endToEnd(header http.Header) http.Header {
	out := header.Clone()
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// ParsePrompt reads a prompt's parts; what is no part ends the list.
func ParsePrompt(value string) prompt.Prompt {
	if value == "" {
		return nil
	}
	parts := prompt.Prompt{}
	for item := range strings.SplitSeq(value, ",") {
		id, count, found := strings.Cut(strings.TrimSpace(item), ":")
		tokens, err := strconv.Atoi(count)
		if !found || err != nil || tokens < 0 {
			break
		}
		parts = append(parts, prompt.Part{ID: id, Tokens: tokens})
	}
	return parts
}
