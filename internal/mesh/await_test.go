package mesh

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/clock"
)

// TestAwaitAnswer guards against owners that count as silent because the box that asked got no processor time.
func TestAwaitAnswer(t *testing.T) {
	const span clock.Millis = 20
	for _, c := range []struct {
		name string
		// stallMs is for how long the process doesn't run after the span, and answerMs when it then reads the answer, or 0
		// if there is none.
		stallMs, answerMs clock.Millis
		tookMs            clock.Millis
		err               error
	}{
		{"an answer in time", 0, span / 2, span / 2, nil},
		{"an answer right before the end of the span", 0, span - 1, span - 1, nil},
		{"a late answer", 0, span + 1, span, errUnanswered},
		{"none", 0, 0, span, errUnanswered},
		{"an answer that is read after a stall", 500, span + 2, span + 2, nil},
		{"none after a stall", 500, 0, span + catchUpMs, errUnanswered},
		{"an answer long after a stall", 500, span + catchUpMs + 1, span + catchUpMs, errUnanswered},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				own := clock.New(clock.WithMonotonic(func() clock.Millis {
					now := clock.FromDuration(time.Since(start))
					if now >= span {
						now += c.stallMs
					}
					return now
				}))
				answers := make(chan int, 1)
				if c.answerMs > 0 {
					time.AfterFunc(c.answerMs.Duration(), func() { answers <- 1 })
				}
				_, err := awaitAnswer(t.Context(), own, answers, span)
				require.ErrorIs(t, err, c.err)
				assert.Equal(t, c.tookMs.Duration(), time.Since(start))
			})
		})
	}
	t.Run("an answer that is there when the caller leaves", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		answers := make(chan int, 1)
		for range 50 {
			// Which of the two is seen first varies.
			answers <- 1
			_, err := awaitAnswer(ctx, clock.New(), answers, span)
			require.NoError(t, err)
		}
	})
	t.Run("of a caller that leaves", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := awaitAnswer(ctx, clock.New(), make(chan int), span)
		require.ErrorIs(t, err, context.Canceled)
	})
}
