package opaque

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/streams"
)

// Headers of requests that one box forwards to another and of the responses. They are only read on the
// listener for boxes.
const (
	// headerHop names the box that sent the request or the response.
	headerHop = "Dooryard-Hop"
	// headerSent is how many upstreams may have received the request so far.
	headerSent = "Dooryard-Attempts"
	// headerElapsedMs is the time since the caller's request arrived.
	headerElapsedMs = "Dooryard-Elapsed-Ms"
	// headerVersion is the version of the routing state that the request was matched against.
	headerVersion = "Dooryard-Version"
	// headerOrigin is the origin of the stream that the request continues.
	headerOrigin = "Dooryard-Stream-Origin"
	// headerCause and headerRetryMs describe a refusal by the box itself.
	headerCause   = "Dooryard-Cause"
	headerRetryMs = "Dooryard-Retry-Ms"
)

var hopHeaders = []string{
	headerHop, headerSent, headerElapsedMs, headerVersion, headerOrigin, headerCause, headerRetryMs,
}

// Hop is what a box tells another one with a request that it forwards.
type Hop struct {
	// Box is the name of the forwarding box.
	Box       string
	Sent      int
	ElapsedMs clock.Millis
	Version   int64
	// Origin is the origin of the stream that the request continues, or streams.Unknown.
	Origin streams.OriginKey
}

// SetHeader writes the hop to the header of a request.
func (h Hop) SetHeader(header http.Header) {
	header.Set(headerHop, h.Box)
	header.Set(headerSent, strconv.Itoa(h.Sent))
	header.Set(headerElapsedMs, strconv.FormatInt(int64(h.ElapsedMs), 10))
	header.Set(headerVersion, strconv.FormatInt(h.Version, 10))
	if h.Origin != streams.Unknown {
		header.Set(headerOrigin, strconv.FormatUint(uint64(h.Origin), originBase))
	}
}

// originBase is the base in which headerOrigin is written.
const originBase = 16

// IsForwarded reports whether another box has forwarded a request.
func IsForwarded(header http.Header) bool { return header.Get(headerHop) != "" }

// ParseHop reads the hop of a forwarded request and removes its headers.
func ParseHop(header http.Header) (Hop, error) {
	h := Hop{Box: header.Get(headerHop)}
	var values [3]int64
	for i, name := range []string{headerSent, headerElapsedMs, headerVersion} {
		value, err := strconv.ParseInt(header.Get(name), 10, 64)
		if err != nil || value < 0 {
			return Hop{}, fmt.Errorf("%s: %q is not a count", name, header.Get(name))
		}
		values[i] = value
	}
	h.Sent, h.ElapsedMs, h.Version = int(values[0]), clock.Millis(values[1]), values[2]
	if value := header.Get(headerOrigin); value != "" {
		origin, err := strconv.ParseUint(value, originBase, 32)
		if err != nil {
			return Hop{}, fmt.Errorf("%s: %q is not a key", headerOrigin, value)
		}
		h.Origin = streams.OriginKey(origin)
	}
	removeHopHeaders(header)
	return h, nil
}

func removeHopHeaders(header http.Header) {
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

// SetHopHeaders marks the response as that of this box, if another box forwarded the request.
func (r *Request) SetHopHeaders() {
	if r.FromBox == "" {
		return
	}
	header := r.Writer.Header()
	removeHopHeaders(header)
	header.Set(headerHop, r.Box)
	header.Set(headerSent, strconv.Itoa(r.Sent-r.SentBefore))
	header.Set(r.Dialect.RequestID, r.ID)
}

// setHopHeaders adds the refusal to the response to a forwarded request.
func (e *RefusalError) setHopHeaders(header http.Header) {
	header.Set(headerCause, string(e.Cause))
	header.Set(headerRetryMs, strconv.FormatInt(int64(e.RetryAfterMs), 10))
}

// HopResponse is what a box tells about its response to a forwarded request.
type HopResponse struct {
	// Box is the name of the box that responded.
	Box string
	// Sent is how many upstreams may have received the request from that box.
	Sent int
	// Refusal is set if the response is a refusal by that box.
	Refusal *RefusalError
}

// ParseHopResponse reads the headers of a response to a forwarded request and removes them.
func ParseHopResponse(status int, header http.Header) (HopResponse, error) {
	defer removeHopHeaders(header)
	sent, err := strconv.Atoi(header.Get(headerSent))
	if err != nil || sent < 0 {
		return HopResponse{}, fmt.Errorf("%s: %q is not a count", headerSent, header.Get(headerSent))
	}
	h := HopResponse{Box: header.Get(headerHop), Sent: sent}
	if cause := Cause(header.Get(headerCause)); cause != "" {
		retryMs, err := strconv.ParseInt(header.Get(headerRetryMs), 10, 64)
		if err != nil || retryMs < 0 {
			return HopResponse{}, fmt.Errorf("%s: %q is not a time", headerRetryMs, header.Get(headerRetryMs))
		}
		h.Refusal = NewRefusal(status, cause, clock.Millis(retryMs), nil)
	}
	return h, nil
}

// AnotherBoxMayServe reports whether a refusal with this cause says nothing about what other boxes would do.
func (c Cause) AnotherBoxMayServe() bool {
	return slices.Contains([]Cause{NoState, StaleState, BoxFull, NoUpstream, BoxStopping}, c)
}
