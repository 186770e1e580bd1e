package claim

import (
	"dooryard.example/dooryard/internal/claim"
	"dooryard.example/dooryard/internal/exchange"
)

// responseRecorder records the response body sent to the caller, up to the maximum size that the
// claim log stores.
type responseRecorder struct {
	body      []byte
	truncated bool
}

func newResponseRecorder() *responseRecorder { return &responseRecorder{} }

func (r *responseRecorder) add(part []byte) {
	if r.truncated || len(r.body)+len(part) > claim.MaxAnswerBytes {
		r.truncated = true
		r.body = nil
		return
	}
	r.body = append(r.body, part...)
}

// answer returns the record for the claim log. It is Unknown unless the request is known to have run.
func (r *responseRecorder) answer(x *exchange.Exchange) *claim.Answer {
	if x.Outcome != exchange.Ran {
		return &claim.Answer{Unknown: true}
	}
	return &claim.Answer{
		Status:      x.Writer.Status(),
		ContentType: x.Writer.Header().Get("Content-Type"),
		Body:        r.body,
		Truncated:   r.truncated,
	}
}
