package exchange

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
)

// ErrOverReserve means that a response needs more memory than the reserve has. It must be passed on as it is read: two
// half-read responses of which neither fits into the reserve would wait for each other.
var ErrOverReserve = errors.New("response exceeds the reserve for one response")

// maxReserveBytes is the size of the largest response that is buffered, and of the buffer that it ends in.
const maxReserveBytes = 16<<20 + 64<<10

// Memory limits the bytes that a box holds of responses that callers have not read: buffered responses, and streams
// whose callers read slowly. Callers with slow connections and large responses would otherwise use up a small box.
//
// A part of the limit is reserved for one buffered response at a time, the one that has waited for longest. Otherwise
// several that are half read could wait for each other.
type Memory struct {
	limit, reserve int64

	mu sync.Mutex
	// used includes streamBytes.
	used, streamBytes int64
	waiting           []*waiter
	// reserveHolder is the only hold that may use the reserve, or nil.
	reserveHolder *Hold
	sizes         MemorySizes
}

// MemorySizes describes a Memory for metrics. The fields from Waits on count since the start of the process.
type MemorySizes struct {
	LimitBytes  int64 `json:"limit_bytes"`
	UsedBytes   int64 `json:"used_bytes"`
	StreamBytes int64 `json:"stream_bytes"`
	// Waiting is the number of responses that are not read further.
	Waiting int `json:"waiting"`
	// PeakBytes is the largest value of UsedBytes.
	PeakBytes int64 `json:"peak_bytes"`
	// Waits, Refused and CutOff count responses that had to wait, requests refused for want of memory, and callers that
	// were cut off because they did not read.
	Waits   int `json:"waits"`
	Refused int `json:"refused"`
	CutOff  int `json:"cut_off"`
	// Unbuffered counts responses that were passed on as they were read, since the reserve can't hold them.
	Unbuffered int `json:"unbuffered"`
	// CutOffReasons divides CutOff by reason.
	CutOffReasons map[CutReason]int `json:"cut_off_reasons"`
}

// waiter is a hold that waits for further bytes.
type waiter struct {
	hold  *Hold
	bytes int64
	// ended is closed at the end of the wait. If err is nil, the hold has the bytes.
	ended chan struct{}
	err   error
}

// NewMemory returns a memory with a limit in bytes.
func NewMemory(limit int64) *Memory {
	return &Memory{limit: limit, reserve: reserveOf(limit), sizes: MemorySizes{CutOffReasons: map[CutReason]int{}}}
}

func reserveOf(limit int64) int64 { return min(maxReserveBytes, limit/2) }

// SetLimit changes the limit. Responses that hold more than a smaller limit permits keep it, and further ones wait.
func (m *Memory) SetLimit(limit int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit, m.reserve = limit, reserveOf(limit)
	m.waiting = slices.DeleteFunc(m.waiting, func(w *waiter) bool {
		if w.hold.bytes+w.bytes <= m.reserve {
			return false
		}
		w.err = ErrOverReserve
		close(w.ended)
		return true
	})
	m.grant()
}

// Sizes returns the sizes for metrics.
func (m *Memory) Sizes() MemorySizes {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.sizes
	s.CutOffReasons = maps.Clone(s.CutOffReasons)
	s.LimitBytes, s.UsedBytes, s.StreamBytes, s.Waiting = m.limit, m.used, m.streamBytes, len(m.waiting)
	return s
}

// Refuse reports whether the limit is reached, so that a request with a buffered response must be refused, which it
// counts.
func (m *Memory) Refuse() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.waiting) == 0 && m.fits(nil, blockBytes) {
		return false
	}
	m.sizes.Refused++
	return true
}

// Holds reports whether the reserve can hold a buffered response of a size, which is negative if it is unknown.
func (m *Memory) Holds(size int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return size <= m.reserve
}

// CountUnbuffered counts a response that is passed on as it is read.
func (m *Memory) CountUnbuffered() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sizes.Unbuffered++
}

// Hold returns an empty hold for a buffered response.
func (m *Memory) Hold() *Hold { return &Hold{memory: m} }

// Hold is the memory of one buffered response. It is used by one goroutine.
type Hold struct {
	memory *Memory
	bytes  int64
}

// Grow takes further bytes. If the limit is reached, it calls onWait and waits until other responses have ended. It
// returns an error if the context ends before, or ErrOverReserve if the reserve can't hold the response.
func (h *Hold) Grow(ctx context.Context, bytes int64, onWait func(MemorySizes)) error {
	m := h.memory
	m.mu.Lock()
	switch {
	case h.bytes+bytes > m.reserve:
		m.mu.Unlock()
		return ErrOverReserve
	case (m.reserveHolder == h || len(m.waiting) == 0) && m.fits(h, bytes):
		m.take(h, bytes)
		m.mu.Unlock()
		return nil
	}
	w := &waiter{hold: h, bytes: bytes, ended: make(chan struct{})}
	m.waiting = append(m.waiting, w)
	m.sizes.Waits++
	m.grant()
	m.mu.Unlock()
	select {
	case <-w.ended:
		return w.err
	default:
	}
	onWait(m.Sizes())
	select {
	case <-w.ended:
		return w.err
	case <-ctx.Done():
		return h.withdraw(ctx, w)
	}
}

// withdraw ends a wait for memory.
func (h *Hold) withdraw(ctx context.Context, w *waiter) error {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiting = slices.DeleteFunc(m.waiting, func(other *waiter) bool { return other == w })
	m.grant()
	return ctx.Err()
}

// Release gives back all bytes.
func (h *Hold) Release() {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= h.bytes
	h.bytes = 0
	if m.reserveHolder == h {
		m.reserveHolder = nil
	}
	m.grant()
}

// takeStream takes bytes for a stream, and reports whether there are as many. Streams take at most half of the limit,
// so that they leave some to buffered responses.
func (m *Memory) takeStream(bytes int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.streamBytes+bytes > m.limit/2 || len(m.waiting) > 0 || !m.fits(nil, bytes) {
		return false
	}
	m.streamBytes += bytes
	m.add(bytes)
	return true
}

func (m *Memory) releaseStream(bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.streamBytes -= bytes
	m.used -= bytes
	m.grant()
}

func (m *Memory) countCutOff(reason CutReason) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sizes.CutOff++
	m.sizes.CutOffReasons[reason]++
}

// fits reports whether a response may take further bytes. The reserve's holder may take the whole reserve even where a
// reload of the settings has lowered the limit below what is used: the others may wait for it.
func (m *Memory) fits(h *Hold, bytes int64) bool {
	if h != nil && m.reserveHolder == h {
		return m.used+bytes <= m.limit || h.bytes+bytes <= m.reserve
	}
	return m.used+bytes <= m.limit-m.reserve
}

func (m *Memory) take(h *Hold, bytes int64) {
	h.bytes += bytes
	m.add(bytes)
}

func (m *Memory) add(bytes int64) {
	m.used += bytes
	m.sizes.PeakBytes = max(m.sizes.PeakBytes, m.used)
}

// grant gives memory to the responses that wait, in their order. The first of them gets the reserve, if no other has
// it.
func (m *Memory) grant() {
	if m.reserveHolder == nil && len(m.waiting) > 0 {
		m.reserveHolder = m.waiting[0].hold
	}
	blocked := false
	m.waiting = slices.DeleteFunc(m.waiting, func(w *waiter) bool {
		if blocked && w.hold != m.reserveHolder || !m.fits(w.hold, w.bytes) {
			blocked = true
			return false
		}
		m.take(w.hold, w.bytes)
		close(w.ended)
		return true
	})
}
