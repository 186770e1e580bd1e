package decision

import (
	"fmt"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"dooryard.example/dooryard/internal/clock"
)

// AdmissionDecided records whether a prompt was admitted to an engine, and what owners of engines answered.
type AdmissionDecided struct {
	Request string
	Pool    string
	// Upstream is the engine to which the prompt is sent, or the last one asked.
	Upstream string
	// Verdict is "granted", "late", "unknown", "forced", "denied" or "abandoned".
	Verdict string
	// StartInMs is the expected time to the first event at the upstream.
	StartInMs clock.Millis
	// WaitedMs is how long the prompt waited at an owner.
	WaitedMs clock.Millis
	// PrefillTokens, OwnTokens and SharedTokens are what the upstream would prefill and hold.
	PrefillTokens, OwnTokens, SharedTokens int
	// Rechecked is the number of engines that became unusable after they had admitted the prompt.
	Rechecked int
	// Answers are those of all engines asked, in this order.
	Answers []AdmissionAnswer
}

// AdmissionAnswer is what the owner of one engine answered.
type AdmissionAnswer struct {
	Upstream string
	Verdict  string
	// StartInMs and DrainMs are the expected times to the first event, and until a prompt like this one can be granted.
	StartInMs, DrainMs clock.Millis
	// Unknown is set if no owner answered. OwnerAgeMs is the time since it last did, or -1.
	Unknown    bool
	OwnerAgeMs clock.Millis
	// Provisional is set if the owner has counted for a short time only.
	Provisional bool
}

// String returns the answer in one field of a line.
func (a AdmissionAnswer) String() string {
	text := fmt.Sprintf("%s %s start_ms=%d", a.Upstream, a.Verdict, a.StartInMs)
	switch {
	case a.Unknown:
		text = fmt.Sprintf("%s unknown start_ms=%d owner_age_ms=%d", a.Upstream, a.StartInMs, a.OwnerAgeMs)
	case a.DrainMs > 0:
		text += fmt.Sprintf(" drain_ms=%d", a.DrainMs)
	}
	if a.Provisional {
		text += " provisional"
	}
	return text
}

// Name implements Event.
func (AdmissionDecided) Name() string { return "admission decided" }

// Routine implements Event. A denied request has another line that is not routine, with the same cause.
func (AdmissionDecided) Routine() bool { return true }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e AdmissionDecided) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("request", e.Request)
	o.AddString("pool", e.Pool)
	addIfSet(o, "upstream", e.Upstream)
	o.AddString("verdict", e.Verdict)
	o.AddInt64("start_ms", int64(e.StartInMs))
	o.AddInt64("waited_ms", int64(e.WaitedMs))
	o.AddInt("prefill_tokens", e.PrefillTokens)
	o.AddInt("own_tokens", e.OwnTokens)
	o.AddInt("shared_tokens", e.SharedTokens)
	if e.Rechecked > 0 {
		o.AddInt("rechecked", e.Rechecked)
	}
	answers := make([]string, len(e.Answers))
	for i, answer := range e.Answers {
		answers[i] = answer.String()
	}
	zap.Strings("answers", answers).AddTo(o)
	return nil
}
