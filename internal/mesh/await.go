package mesh

import (
	"context"
	"errors"

	"dooryard.example/dooryard/internal/clock"
)

const (
	// stallMs is how late a timer fires at least in a process that got no processor time.
	stallMs clock.Millis = 5
	// catchUpMs is how long such a process has to read what arrived meanwhile. Its timers fire before.
	catchUpMs clock.Millis = 10
)

// errUnanswered is returned when no answer has arrived in time.
var errUnanswered = errors.New("owner has not answered")

// awaitAnswer returns the next answer. It returns errUnanswered if none arrives within a span, or the error of the
// context.
func awaitAnswer[A any](ctx context.Context, c clock.Clock, answers <-chan A, span clock.Millis) (answer A, err error) {
	endMs := c.Monotonic() + span
	answer, err = awaitWithin(ctx, c, answers, span)
	if errors.Is(err, errUnanswered) && c.Monotonic() >= endMs+stallMs {
		return awaitWithin(ctx, c, answers, catchUpMs)
	}
	return answer, err
}

func awaitWithin[A any](ctx context.Context, c clock.Clock, answers <-chan A, span clock.Millis) (answer A, err error) {
	timedOut := make(chan struct{})
	timer := c.AfterFunc(span, func() { close(timedOut) })
	defer timer.Stop()
	select {
	case answer = <-answers:
		return answer, nil
	case <-timedOut:
		err = errUnanswered
	case <-ctx.Done():
		err = ctx.Err()
	}
	select {
	case answer = <-answers:
		// It arrived at the same time.
		return answer, nil
	default:
		return answer, err
	}
}
