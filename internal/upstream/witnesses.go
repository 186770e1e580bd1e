package upstream

import (
	"context"
	"maps"
	"net"
	"sync"

	"dooryard.example/dooryard/internal/clock"
)

// forgetWitnessMs is how long after the latest response a Witness is forgotten, with what it has learned.
const forgetWitnessMs = 600 * clock.Second

// Witnesses holds a Witness for each address. It is safe for concurrent use.
type Witnesses struct {
	dial      Dial
	monotonic func() clock.Millis

	mu        sync.Mutex
	byAddress map[string]*Witness
}

// NewWitnesses returns witnesses whose connections a function opens.
func NewWitnesses(dial Dial, monotonic func() clock.Millis) *Witnesses {
	return &Witnesses{dial: dial, monotonic: monotonic, byAddress: map[string]*Witness{}}
}

// At returns the Witness of the upstream at an address.
func (w *Witnesses) At(address string) *Witness {
	now := w.monotonic()
	w.mu.Lock()
	defer w.mu.Unlock()
	maps.DeleteFunc(w.byAddress, func(_ string, one *Witness) bool { return one.unusedSince(now - forgetWitnessMs) })
	found := w.byAddress[address]
	if found == nil {
		found = newWitness(func(ctx context.Context) (net.Conn, error) {
			return dialWithin(ctx, w.dial, address, connectTimeoutMs)
		}, w.monotonic)
		w.byAddress[address] = found
	}
	return found
}

// unusedSince reports whether no response has begun since a monotonic time, and none is under way.
func (w *Witness) unusedSince(sinceMs clock.Millis) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.underWay+w.expected == 0 && w.begunMs < sinceMs
}
