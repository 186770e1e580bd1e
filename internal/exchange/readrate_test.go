package exchange

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/clock"
)

// TestReadRateBehindKernelBuffer guards against cutting off a caller who reads at the minimum rate what the kernel took
// long before, and against one who keeps that and reads nothing.
func TestReadRateBehindKernelBuffer(t *testing.T) {
	const bufferBytes = 512 << 10
	const untilMs = 30 * clock.Second
	cutOffMs := func(bytesPerSecond int64, known bool) (cutMs clock.Millis) {
		r := newReadRate(untilMs)
		r.record(bufferBytes, 0)
		for now := clock.Millis(0); now < 20*clock.Second || !known; {
			span := r.waitMs(now)
			now += span
			r.record(0, span)
			if !known {
				r.recordUnknown()
			}
			if r.check(now, bufferBytes-bytesPerSecond*int64(now/clock.Second)) != nil {
				return now
			}
		}
		return 0
	}
	assert.Zero(t, cutOffMs(minRate, true), "reads at the minimum rate")
	assert.Equal(t, unreadTimeoutMs, cutOffMs(0, true), "reads nothing")
	assert.Equal(t, untilMs, cutOffMs(0, false), "may read, as the kernel does not tell")
}
