package mesh

import "dooryard.example/dooryard/internal/clock"

// pingTokenShift is the weight of the incarnation in a ping token. Monotonic clocks start anew with each process, and
// a reply may arrive after the process that sent the ping was replaced. The tokens of two processes are so far apart
// that such a reply yields a time outside the life of the new one.
const pingTokenShift = 20

// pingToken returns the token of a ping that is sent at a monotonic time.
func (m *Mesh) pingToken(nowMs clock.Millis) int64 {
	return m.self.Incarnation<<pingTokenShift + int64(nowMs)
}

// pingedMs returns when this process sent the ping with a token, or 0 if it did not send it.
func (m *Mesh) pingedMs(token int64) clock.Millis {
	atMs := clock.Millis(token - m.self.Incarnation<<pingTokenShift)
	if atMs <= 0 || atMs > m.clock.Monotonic() {
		return 0
	}
	return atMs
}
