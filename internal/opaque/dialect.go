// Package opaque defines requests that the router forwards byte for byte: the state of a request
// while it is processed, and the names of the headers that carry its metadata.
package opaque

import (
	"net/http"
	"strconv"
	"strings"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/prompt"
	"dooryard.example/dooryard/internal/work"
)

// Dialect holds the names of the headers that callers, boxes and upstreams exchange. A header with
// an empty name is not used.
type Dialect struct {
	// RequestID is set by callers and echoed by upstreams.
	RequestID string
	// DeadlineMs carries the time that the sender still waits for the response, in milliseconds.
	DeadlineMs string
	// Organisation carries the organisation that the caller belongs to.
	Organisation string
	// ExpectUpstream carries the only upstream incarnation that may run the request.
	ExpectUpstream string
	// UpstreamID carries the incarnation of the upstream that responds to a health check.
	UpstreamID string
	// NotRun is set on responses of upstreams that did not run any part of the request.
	NotRun string
	// DecodeSignals decodes the signals that an upstream sends in the header of a response.
	DecodeSignals func(status int, header http.Header) Signals
	// BoxResponseHeaders lists response headers that are addressed to the box and are not forwarded
	// to the caller.
	BoxResponseHeaders []string
	// Urgency carries the priority of a request at engines. 0 is the highest.
	Urgency string
	// Prompt carries the parts of a prompt as a comma-separated list of ID:TOKENS.
	Prompt string
	// DecodeDemand decodes what a caller tells of the size of a request. It is nil if the dialect has no such headers.
	DecodeDemand func(header http.Header) work.Demand
	// LastEventID carries the ID of the last event received, from which a stream resumes.
	LastEventID string
	// ResumedID carries the ID of the request that brought the first event of a stream, from a caller that
	// takes up the stream with another request.
	ResumedID string
	// FetchFrom carries the address of an engine that has parts of the prompt cached.
	FetchFrom string
	// Reserved lists further headers that only the system may set. They are removed from callers'
	// requests.
	Reserved []string
	// Key returns the key of a request from its headers.
	Key func(header http.Header) string
	// ReportPath is where upstreams tell about themselves, without a key and beside their requests, or "".
	ReportPath string
	// DecodeStart decodes the start time of an upstream's process from its report. It returns 0 if the report has none.
	DecodeStart func(report []byte) clock.Millis
	// RetryAfter formats a duration as the value of a Retry-After header.
	RetryAfter func(span clock.Millis) string
}

// hopByHopHeaders lists the headers that apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// RequestHeader returns the headers of a caller's request that are forwarded to the upstream.
func (d *Dialect) RequestHeader(header http.Header) http.Header {
	out := endToEndHeaders(header)
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

// ResponseHeader returns the headers of an upstream's response that are forwarded to the caller.
func (d *Dialect) ResponseHeader(header http.Header) http.Header {
	out := endToEndHeaders(header)
	for _, name := range d.BoxResponseHeaders {
		out.Del(name)
	}
	return out
}

// endToEndHeaders returns a copy of the headers without those that apply to a single connection.
func endToEndHeaders(header http.Header) http.Header {
	out := header.Clone()
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// ParsePrompt parses the parts of a prompt. It stops at the first malformed part and returns those
// before it.
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
