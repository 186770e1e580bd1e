package claim

import (
	"dooryard.example/dooryard/internal/claim"
	"dooryard.example/dooryard/internal/exchange"
)

// answerRecorder keeps the body that a caller gets, up to the size that a claim
// stream holds.
type answerRecorder struct {
	body []byte
	cut  bool
}

func newAnswerRecorder() *answerRecorder { return &answerRecorder{} }

func (a *answerRecorder) add(part []byte) {
	if a.cut || len(a.body)+len(part) > claim.MaxAnswerBytes {
		a.cut = true
		a.body = nil
		return
	}
	a.body = append(a.body, part...)
}

func (a *answerRecorder) answer(x *exchange.Exchange) *claim.Answer {
	if x.Outcome != exchange.Ran {
		return &claim.Answer{Unknown: true}
	}
	return &claim.Answer{
		Status:      x.Writer.Status(),
		ContentType: x.Writer.Header().Get("Content-Type"),
		Body:        a.body,
		Cut:         a.cut,
	}
}
