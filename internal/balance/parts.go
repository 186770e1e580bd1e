package balance

import (
	"maps"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/prompt"
)

// partIndex holds when an engine was last known to prefill each part of a prompt, from this box's
// requests and the announcements of other boxes. It is a hint: the engine may have evicted the part
// since.
type partIndex map[namekey.Key]clock.Millis

const (
	// maxParts bounds an index; beyond it, the entries in the older half of its time range are
	// removed.
	maxParts = 1024
	// partTTLMs is how long a part is assumed to be cached after its last use.
	partTTLMs = 30 * clock.Second
	// reannounceMs is the minimum age of the newest record of a part before it is announced to other
	// boxes again. It is short compared to partTTLMs, so that the other boxes' record of a part in use
	// never expires.
	reannounceMs = 5 * clock.Second
)

func (p partIndex) record(key namekey.Key, now clock.Millis) {
	p[key] = now
	if len(p) > maxParts {
		p.shrink(now)
	}
}

func (p partIndex) shrink(now clock.Millis) {
	oldest := now
	for _, at := range p {
		oldest = min(oldest, at)
	}
	middle := (oldest + now) / 2
	maps.DeleteFunc(p, func(_ namekey.Key, at clock.Millis) bool { return at <= middle })
}

// seenWithin reports whether a part was prefilled within a window of time.
func (p partIndex) seenWithin(key namekey.Key, now, window clock.Millis) bool {
	at, known := p[key]
	return known && now-at <= window
}

// cachedTokens returns how many tokens at the beginning of the prompt are likely cached. If a part is
// cached, all parts before it count as cached too, because they were prefilled before it.
func (p partIndex) cachedTokens(parts []prompt.KeyedPart, now clock.Millis) int {
	sum, cachedTokens := 0, 0
	for _, part := range parts {
		sum += part.Tokens
		if p.seenWithin(part.Key, now, partTTLMs) {
			cachedTokens = sum
		}
	}
	return cachedTokens
}

// announceLog holds the newest parts that this box had engines prefill and that others may not know
// of. Its entries are numbered from 0.
type announceLog struct {
	next int64
	list []prompt.CachedPart
}

// maxAnnouncements is the number of entries to which a log is cut once it holds twice as many. It
// exceeds what a box sends in a few rounds of messages.
const maxAnnouncements = 256

func (a *announceLog) add(entry prompt.CachedPart) {
	a.list = append(a.list, entry)
	a.next++
	if len(a.list) >= 2*maxAnnouncements {
		// The older half is removed at once, so that appending stays cheap.
		a.list = append([]prompt.CachedPart(nil), a.list[len(a.list)-maxAnnouncements:]...)
	}
}

// since returns up to limit entries from a number on, and the number to continue from.
func (a *announceLog) since(from int64, limit int) ([]prompt.CachedPart, int64) {
	oldest := a.next - int64(len(a.list))
	from = min(max(from, oldest), a.next)
	to := min(a.next, from+int64(limit))
	return a.list[from-oldest : to-oldest], to
}

// AnnouncementsSince returns up to limit parts that this box had engines prefill, from a number on,
// and the number to continue from. Numbers start at 0.
func (m *Manager) AnnouncementsSince(from int64, limit int) ([]prompt.CachedPart, int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	list, next := m.announcements.since(from, limit)
	return append([]prompt.CachedPart(nil), list...), next
}

// RecordAnnouncements records the parts that other boxes had engines prefill.
func (m *Manager) RecordAnnouncements(list []prompt.CachedPart) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.monotonic()
	for _, entry := range list {
		if member := m.byKey[entry.Upstream]; member != nil {
			member.parts.record(entry.Part, now)
		}
	}
}

// recordPrompt records that the engine is about to prefill a prompt's shared parts, and which of
// them are to be announced.
func (l *Lease) recordPrompt(now clock.Millis) {
	for _, part := range l.shared {
		if !l.parts.seenWithin(part.Key, now, reannounceMs) {
			l.newParts = append(l.newParts, part.Key)
			l.prefilling[part.Key]++
		}
		l.parts.record(part.Key, now)
	}
}

// announceParts announces to other boxes what the engine has prefilled by the time it responds.
func (l *Lease) announceParts() {
	for _, key := range l.newParts {
		l.finishPrefill(key)
		l.manager.announcements.add(prompt.CachedPart{Part: key, Upstream: l.key})
	}
	l.newParts = nil
}

// finishPrefill records that the engine no longer prefills a part for this request.
func (l *Lease) finishPrefill(key namekey.Key) {
	if l.prefilling[key]--; l.prefilling[key] <= 0 {
		delete(l.prefilling, key)
	}
}

// clearNewParts ends the remaining prefill of a request that ended without a response.
func (l *Lease) clearNewParts() {
	for _, key := range l.newParts {
		l.finishPrefill(key)
	}
	l.newParts = nil
}

// discardNewParts removes the records of parts that the engine may not have prefilled.
func (l *Lease) discardNewParts() {
	for _, key := range l.newParts {
		l.finishPrefill(key)
		delete(l.parts, key)
	}
	l.newParts = nil
}
