package gateway

import (
	"bytes"
	"context"
	"os"
	"runtime/metrics"
	"strconv"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/decision"
)

const (
	// memoryCheckMs is short compared with the time in which a burst fills the memory of a small box.
	memoryCheckMs clock.Millis = 250
	// memoryWarnPercent is above what the garbage collector leaves of the box's memory.
	memoryWarnPercent = 80
)

// memoryUse is the memory of this process in bytes, as far as it is known.
type memoryUse struct {
	// LimitBytes is that of the settings.
	LimitBytes int64 `json:"limit_bytes"`
	// GoBytes is what the Go runtime holds: the heap, stacks of goroutines and its own structures.
	GoBytes int64 `json:"go_bytes"`
	// HeapBytes are the objects of the heap, of which some may be garbage, and StackBytes the stacks of goroutines.
	HeapBytes  int64 `json:"heap_bytes"`
	StackBytes int64 `json:"stack_bytes"`
	// ResidentBytes is the resident set, or 0 if the system doesn't tell.
	ResidentBytes int64 `json:"resident_bytes"`
	// HostSocketBytes is what the kernel holds for TCP connections of all processes of the host, or 0 if it doesn't
	// tell. Unread bytes of this process are a part of it.
	HostSocketBytes int64 `json:"host_socket_bytes"`
}

// goMemory returns the memory use as far as the Go runtime knows it, without a system call.
func goMemory(limit int64) memoryUse {
	samples := []metrics.Sample{
		{Name: "/memory/classes/total:bytes"},
		{Name: "/memory/classes/heap/released:bytes"},
		{Name: "/memory/classes/heap/objects:bytes"},
		{Name: "/memory/classes/heap/stacks:bytes"},
	}
	metrics.Read(samples)
	bytesOf := func(i int) int64 {
		if samples[i].Value.Kind() != metrics.KindUint64 {
			return 0
		}
		return int64(samples[i].Value.Uint64())
	}
	return memoryUse{LimitBytes: limit, GoBytes: bytesOf(0) - bytesOf(1), HeapBytes: bytesOf(2), StackBytes: bytesOf(3)}
}

// withSystem adds what the system tells.
func (m memoryUse) withSystem(read func(path string) ([]byte, error)) memoryUse {
	pageBytes := int64(os.Getpagesize())
	if statm, err := read("/proc/self/statm"); err == nil {
		m.ResidentBytes = fieldAfter(statm, nil, 1) * pageBytes
	}
	if sockets, err := read("/proc/net/sockstat"); err == nil {
		m.HostSocketBytes = fieldAfter(sockets, []byte(" mem "), 0) * pageBytes
	}
	return m
}

// fieldAfter returns the number in a field, counted from 0, after the first occurrence of a mark, or 0.
func fieldAfter(text, mark []byte, field int) int64 {
	_, rest, _ := bytes.Cut(text, mark)
	fields := bytes.Fields(rest)
	if field >= len(fields) {
		return 0
	}
	n, err := strconv.ParseInt(string(fields[field]), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// memoryUse returns the memory of this process, with what the system tells.
func (b *Box) memoryUse() memoryUse {
	return goMemory(b.settings.Load().Capacity.MemoryMb * mebibyte).withSystem(os.ReadFile)
}

// watchMemory checks the memory of this process until the context ends.
func (b *Box) watchMemory(ctx context.Context) {
	b.metrics.Publish("memory", func() any { return b.memoryUse() })
	b.clock.Every(ctx, memoryCheckMs, func(clock.Millis) {
		b.checkMemory(goMemory(b.settings.Load().Capacity.MemoryMb * mebibyte))
	})
}

// checkMemory writes a line if the process is near the limit of its memory, at a limited rate. What goes beyond it may
// end the process without any line.
func (b *Box) checkMemory(use memoryUse) {
	if use.GoBytes*percent < use.LimitBytes*memoryWarnPercent || !b.ignoredInputs.shouldLog("memory") {
		return
	}
	use = use.withSystem(os.ReadFile)
	b.log.Record(decision.MemoryNearLimit{
		LimitBytes: use.LimitBytes, GoBytes: use.GoBytes, HeapBytes: use.HeapBytes, StackBytes: use.StackBytes,
		ResidentBytes: use.ResidentBytes, HostSocketBytes: use.HostSocketBytes, Requests: b.requests.Load(),
	})
}
