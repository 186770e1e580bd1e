package decision

import "go.uber.org/zap/zapcore"

// MemoryNearLimit records that the process uses nearly all the memory that its settings allow. Sizes are in bytes.
type MemoryNearLimit struct {
	LimitBytes, GoBytes, HeapBytes, StackBytes int64
	// ResidentBytes is the resident set, and HostSocketBytes what the kernel holds for all TCP connections of the host;
	// 0 if the system doesn't tell.
	ResidentBytes, HostSocketBytes int64
	// Requests is the number of requests in flight.
	Requests int64
}

// Name implements Event.
func (MemoryNearLimit) Name() string { return "memory near limit" }

// Routine implements Event.
func (MemoryNearLimit) Routine() bool { return false }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e MemoryNearLimit) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddInt64("limit_bytes", e.LimitBytes)
	o.AddInt64("go_bytes", e.GoBytes)
	o.AddInt64("heap_bytes", e.HeapBytes)
	o.AddInt64("stack_bytes", e.StackBytes)
	o.AddInt64("resident_bytes", e.ResidentBytes)
	o.AddInt64("host_socket_bytes", e.HostSocketBytes)
	o.AddInt64("in_flight", e.Requests)
	return nil
}
