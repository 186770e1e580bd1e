package balance

import (
	"maps"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/prompt"
)

// partMemory tells when an engine was last known to read a part, from this box's
// requests and from what other boxes tell. It is a hint: the engine may have dropped
// the part since.
type partMemory map[namekey.Key]clock.Millis

const (
	// maxParts bounds a memory; beyond it the oldest half goes.
	maxParts = 1024
	// partLifeMs is how long a part counts as kept after its last use.
	partLifeMs = 30 * clock.Second
	// retellMs is how old the newest word on a part must be before other boxes are
	// told again: short against partLifeMs, so that they never forget a part in use.
	retellMs = 5 * clock.Second
)

func (p partMemory) note(key namekey.Key, now clock.Millis) {
	p[key] = now
	if len(p) > maxParts {
		p.shrink(now)
	}
}

func (p partMemory) shrink(now clock.Millis) {
	oldest := now
	for _, at := range p {
		oldest = min(oldest, at)
	}
	middle := (oldest + now) / 2
	maps.DeleteFunc(p, func(_ namekey.Key, at clock.Millis) bool { return at <= middle })
}

// knows reports whether a part was read within a span.
func (p partMemory) knows(key namekey.Key, now, span clock.Millis) bool {
	at, known := p[key]
	return known && now-at <= span
}

// held returns how many tokens at the beginning of the prompt are likely kept. A
// part that is kept was read after all parts before it.
func (p partMemory) held(parts []prompt.Keyed, now clock.Millis) int {
	sum, held := 0, 0
	for _, part := range parts {
		sum += part.Tokens
		if p.knows(part.Key, now, partLifeMs) {
			held = sum
		}
	}
	return held
}

// keptLog is the newest of what this box has engines read and others may not know,
// numbered from 0.
type keptLog struct {
	next int64
	list []prompt.Kept
}

// maxKept bounds a log: more than a box sends out in a few rounds.
const maxKept = 256

func (k *keptLog) add(one prompt.Kept) {
	k.list = append(k.list, one)
	k.next++
	if len(k.list) >= 2*maxKept {
		// The older half goes at once, so that an addition costs little.
		k.list = append([]prompt.Kept(nil), k.list[len(k.list)-maxKept:]...)
	}
}

// since returns what was added from a number on, at most so much, and the number
// to go on from.
func (k *keptLog) since(from int64, most int) ([]prompt.Kept, int64) {
	oldest := k.next - int64(len(k.list))
	from = min(max(from, oldest), k.next)
	to := min(k.next, from+int64(most))
	return k.list[from-oldest : to-oldest], to
}

// KeptSince returns what this box had engines read and has not told since a number,
// at most so much, and the number to go on from. Numbers begin at 0.
func (m *Manager) KeptSince(from int64, most int) ([]prompt.Kept, int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	list, next := m.kept.since(from, most)
	return append([]prompt.Kept(nil), list...), next
}

// LearnKept takes in what other boxes had engines read.
func (m *Manager) LearnKept(list []prompt.Kept) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.steady()
	for _, one := range list {
		if member := m.byKey[one.Upstream]; member != nil {
			member.parts.note(one.Part, now)
		}
	}
}

// notePrompt notes that the engine is about to read a prompt's shared parts, and
// which of them are news.
func (l *Lease) notePrompt(now clock.Millis) {
	for _, part := range l.shared {
		if !l.parts.knows(part.Key, now, retellMs) {
			l.news = append(l.news, part.Key)
			l.pending[part.Key]++
		}
		l.parts.note(part.Key, now)
	}
}

// tellNews notes for other boxes what the engine has read by the time it answers.
func (l *Lease) tellNews() {
	for _, key := range l.news {
		l.read(key)
		l.manager.kept.add(prompt.Kept{Part: key, Upstream: l.key})
	}
	l.news = nil
}

// read notes that the engine is not reading a part for this request any longer.
func (l *Lease) read(key namekey.Key) {
	if l.pending[key]--; l.pending[key] <= 0 {
		delete(l.pending, key)
	}
}

// settleNews ends what is left of the reading of a request that has ended without an answer.
func (l *Lease) settleNews() {
	for _, key := range l.news {
		l.read(key)
	}
	l.news = nil
}

// forgetNews takes back what the engine was to read, as it may not have.
func (l *Lease) forgetNews() {
	for _, key := range l.news {
		l.read(key)
		delete(l.parts, key)
	}
	l.news = nil
}
