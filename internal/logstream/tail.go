// Package logstream follows one stream of the platform's log, from the platform
// or from a peer that relays it, and delivers each record once and in order.
package logstream

import (
	"context"
	"fmt"
	"sync"

	"dooryard.example/dooryard/internal/backing"
)

// Tail keeps the newest records of a stream in memory, for peers that read them
// from this box. It is safe for concurrent use.
type Tail struct {
	capacity int

	mu      sync.Mutex
	records []backing.Record
	end     int64
	changed chan struct{}
}

// NewTail returns an empty tail that keeps up to capacity records.
func NewTail(capacity int) *Tail {
	return &Tail{capacity: capacity, changed: make(chan struct{})}
}

// Add appends a record. Records below the end offset are ignored. If there is a
// gap before the record, all earlier records are dropped.
func (t *Tail) Add(record backing.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if record.Offset < t.end {
		return
	}
	if record.Offset > t.end {
		t.records = nil
	}
	t.records = append(t.records, record)
	if len(t.records) > t.capacity {
		t.records = append([]backing.Record(nil), t.records[len(t.records)-t.capacity:]...)
	}
	t.end = record.Offset + 1
	close(t.changed)
	t.changed = make(chan struct{})
}

// Reset drops all records and advances the end offset to end, for state that was
// obtained up to that offset without its records. It ignores an end that is not
// newer.
func (t *Tail) Reset(end int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if end <= t.end {
		return
	}
	t.records = nil
	t.end = end
	close(t.changed)
	t.changed = make(chan struct{})
}

// End returns the offset after the newest record.
func (t *Tail) End() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.end
}

// Read returns records starting at an offset. It waits for the first one, and
// returns an empty page if the context is canceled before. ErrExpired means that
// the offset is older than the oldest record in the tail.
func (t *Tail) Read(ctx context.Context, from int64, limit int) (backing.Page, error) {
	for {
		page, changed := t.page(from, limit)
		if from < page.FirstOffset {
			return page, fmt.Errorf("%w: requested offset %d, oldest is %d", backing.ErrExpired, from, page.FirstOffset)
		}
		if len(page.Records) > 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return page, nil
		}
	}
}

func (t *Tail) page(from int64, limit int) (backing.Page, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := t.end - int64(len(t.records))
	page := backing.Page{FirstOffset: first, EndOffset: t.end}
	if from >= first && from < t.end {
		remaining := t.records[from-first:]
		page.Records = remaining[:min(limit, len(remaining))]
	}
	return page, t.changed
}
