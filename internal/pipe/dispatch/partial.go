package dispatch

import (
	"bytes"

	"dooryard.example/dooryard/internal/exchange"
)

// smallEventBytes is the size up to which the beginning of an event is not counted. Nearly all events fit into it.
const smallEventBytes = 2 * streamBufferBytes

// partialEvent is the beginning of an event that is held until the event is complete. A large one takes its bytes from
// the memory for responses that callers have not read, because a box that has little memory may relay many streams.
type partialEvent struct {
	data []byte
	hold *exchange.Hold
	// held is how many bytes the hold has.
	held int
	// take takes bytes for the hold, and may wait for them.
	take func(hold *exchange.Hold, bytes int64) error
}

// grow takes memory for further bytes.
func (p *partialEvent) grow(count int) error {
	need := len(p.data) + count
	if need <= max(smallEventBytes, p.held) {
		return nil
	}
	size := min(2*max(smallEventBytes, p.held), maxEventBytes+streamBufferBytes)
	if err := p.take(p.hold, int64(size-p.held)); err != nil {
		return err
	}
	p.held, p.data = size, append(make([]byte, 0, size), p.data...)
	return nil
}

// add appends a part that belongs to the event.
func (p *partialEvent) add(part []byte) { p.data = append(p.data, part...) }

// complete returns the event, which a part completes, and any others in that part.
func (p *partialEvent) complete(part []byte) []byte {
	if len(p.data) == 0 {
		return part
	}
	p.add(part)
	return p.data
}

// restart begins another event, after the last one was relayed.
func (p *partialEvent) restart(part []byte) {
	if p.held > 0 {
		p.hold.Release()
	}
	p.held, p.data = 0, bytes.Clone(part)
}
