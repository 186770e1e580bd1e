// Package clock is the project's only source of time: whole milliseconds
// since the Unix epoch, read through a Clock that tests can replace.
package clock

import (
	"context"
	"time"
)

// Millis is an instant or a duration in milliseconds. Instants count from the Unix
// epoch.
type Millis int64

// Second is one second.
const Second Millis = 1000

// Resolution is by how much readings of a clock may be rounded down. A span that must not end early has to be longer by
// it.
const Resolution Millis = 1

// Duration returns the duration as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Time returns the instant as a time.Time.
func (m Millis) Time() time.Time { return time.UnixMilli(int64(m)) }

// FromDuration rounds a duration up to whole milliseconds, so that a positive
// duration never becomes zero.
func FromDuration(d time.Duration) Millis {
	return Millis((d + time.Millisecond - 1) / time.Millisecond)
}

// Clock reads the time and starts timers. The zero value is not usable; use New.
// Copies share their timers.
type Clock struct {
	now       func() Millis
	monotonic func() Millis
	// sleep replaces the implementation of Sleep, if it is set.
	sleep  func(ctx context.Context, span Millis) error
	timers *timers
}

// Option configures a Clock.
type Option func(*Clock)

// WithNow replaces the source of the current time.
func WithNow(now func() Millis) Option {
	return func(c *Clock) { c.now = now }
}

// WithSleep replaces the implementation of Sleep.
func WithSleep(sleep func(ctx context.Context, span Millis) error) Option {
	return func(c *Clock) { c.sleep = sleep }
}

// WithMonotonic replaces the source of the monotonic time.
func WithMonotonic(monotonic func() Millis) Option {
	return func(c *Clock) { c.monotonic = monotonic }
}

// WithBootTime makes the monotonic time include the time in which the machine is suspended.
// Without it, a box that was suspended for seconds treats outdated confirmations of keys and
// versions as recent, and passed deadlines as still ahead. A reading takes 68 ns instead of
// 37 ns (BenchmarkMonotonic).
func WithBootTime() Option { return WithMonotonic(bootMonotonic()) }

// New returns the system clock, modified by the options. By default its monotonic time stops
// while the machine is suspended, and follows the fake time of synctest bubbles.
func New(options ...Option) Clock {
	c := Clock{now: systemNow, monotonic: systemMonotonic()}
	for _, option := range options {
		option(&c)
	}
	c.timers = newTimers(c.monotonic)
	return c
}

// Now returns the current instant.
func (c Clock) Now() Millis { return c.now() }

// Monotonic returns the monotonic time since a fixed instant in this process. Clock
// adjustments don't affect it, so ages and deadlines are measured with it.
func (c Clock) Monotonic() Millis { return c.monotonic() }

// Sleep waits for the span to elapse. If the context ends first, it returns the context's error.
func (c Clock) Sleep(ctx context.Context, span Millis) error {
	if c.sleep != nil {
		return c.sleep(ctx, span)
	}
	if span <= 0 {
		// Start no timer: one that is due immediately crashes Go 1.26's runtime in a
		// synctest bubble under the race detector.
		return ctx.Err()
	}
	passed := make(chan struct{})
	timer := c.AfterFunc(span, func() { close(passed) })
	defer timer.Stop()
	select {
	case <-passed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Every calls the function periodically until the context ends. The first call
// is made after one period.
func (c Clock) Every(ctx context.Context, period Millis, call func(now Millis)) {
	for c.Sleep(ctx, period) == nil {
		call(c.Now())
	}
}

// WithTimeout returns a context that ends after a span of the monotonic time, with
// context.DeadlineExceeded as its cause. Call cancel to release its resources.
func (c Clock) WithTimeout(parent context.Context, span Millis) (ctx context.Context, cancel context.CancelFunc) {
	ctx, end := context.WithCancelCause(parent)
	timer := c.AfterFunc(span, func() { end(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		end(context.Canceled)
	}
}

// AfterFunc calls a function in its own goroutine after a span of the monotonic time.
func (c Clock) AfterFunc(span Millis, call func()) *Timer { return c.timers.start(span, call) }

// Resumed reschedules all timers. Call it when the process resumes after a suspension: timers
// that are overdue by the monotonic time fire immediately, others wait for their remaining time.
func (c Clock) Resumed() { c.timers.resumed() }

// pendingTimers returns the number of pending timers.
func (c Clock) pendingTimers() int { return c.timers.count() }

func systemNow() Millis { return Millis(time.Now().UnixMilli()) }

// systemMonotonic returns a monotonic clock that starts at one second, so that no reading is zero.
func systemMonotonic() func() Millis {
	start := time.Now().Add(-time.Second)
	return func() Millis { return Millis(time.Since(start) / time.Millisecond) }
}
