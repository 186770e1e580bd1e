package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
)

// Limits of a part ledger.
const (
	// maxParts limits the parts with crashes, which take about 0.3 KB each.
	maxParts = 4096
	// maxCrashesPerPart limits the crashes that are kept of a part. The oldest one makes room for another.
	maxCrashesPerPart = 64
	// maxPartsPerCrash limits the parts to which one box attributes a crash, so that long prompts can't flood the event
	// log. Parts with earlier crashes go first.
	maxPartsPerCrash = 128
	// maxAnsweredParts limits the parts in each of two generations of answered ones, at about 40 bytes each.
	maxAnsweredParts = 4096
)

// PartLedger records the upstreams that crashed, by the prompt parts of the requests that they ran. A part under which
// upstreams crash and no request is answered is fatal, whatever else its requests hold; a Ledger can't recognise it,
// because the requests differ. Each crash is attributed to all parts of all requests on the upstream. Those that are
// not at fault are told apart by requests with them that are answered, or that don't have the fatal part. A PartLedger
// is safe for concurrent use.
type PartLedger struct {
	monotonic func() clock.Millis
	settings  func() Settings
	// sendsTrials reports whether this box is the one of the fleet that sends trial requests with a part.
	sendsTrials func(part PartKey) bool

	mu    sync.Mutex
	parts map[PartKey]*suspectPart
	// answered holds when upstreams last answered requests with a part.
	answered recent[poolPart]
	events   eventLog[PartEvent]
	// screened counts the requests to each pool while there were parts with crashes.
	screened map[namekey.Key]int64
}

// suspectPart is a part with crashes that no answer has cleared.
type suspectPart struct {
	crashes map[namekey.Key]partCrash
	// nextTrialMs is when this box may send the next trial request.
	nextTrialMs clock.Millis
	// shares holds how many requests to a pool have the part.
	shares map[namekey.Key]partShare
}

// partCrash is the crash of one upstream.
type partCrash struct {
	pool namekey.Key
	atMs clock.Millis
	// published is set once the crash is in this box's event log.
	published bool
}

// poolPart is a part in requests to one pool.
type poolPart struct {
	part PartKey
	pool namekey.Key
}

// PartUse is a request that an upstream ran when it crashed.
type PartUse struct {
	Parts Parts
	// SentMs is the monotonic time at which the request was sent.
	SentMs clock.Millis
}

// NewPartLedger returns an empty ledger. firstSeq is the sequence number of its first event. It must be greater than
// those that earlier processes of the box assigned.
func NewPartLedger(
	monotonic func() clock.Millis, settings func() Settings, sendsTrials func(part PartKey) bool, firstSeq int64,
) *PartLedger {
	return &PartLedger{
		monotonic: monotonic, settings: settings, sendsTrials: sendsTrials, parts: map[PartKey]*suspectPart{},
		answered: newRecent[poolPart](maxAnsweredParts), events: eventLog[PartEvent]{nextSeq: firstSeq},
		screened: map[namekey.Key]int64{},
	}
}

// CrashReport is what a crash changes.
type CrashReport struct {
	// Quarantined are the parts that are quarantined by the crash.
	Quarantined []PartKey
	// Urgent is set if other boxes should learn of the crash at once, because it is not the first one of a part.
	Urgent bool
	// First holds the first crashes of parts, of which their owners should learn at once. In a large fleet they are not
	// in the event log.
	First []PartEvent
}

// RecordCrash records that an upstream crashed while it ran some requests. In a large fleet, first crashes of parts are
// left out of the event log.
func (l *PartLedger) RecordCrash(upstream namekey.Key, uses []PartUse, largeFleet bool) CrashReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.monotonic()
	report := CrashReport{}
	for _, a := range l.attribute(uses) {
		if l.record(a, upstream, now, !largeFleet) {
			report.Quarantined = append(report.Quarantined, a.part)
		}
		switch l.crashCount(a.part) {
		case 0:
		case 1:
			report.First = append(report.First, PartEvent{Part: a.part, Pool: a.pool, Upstream: upstream})
		default:
			report.Urgent = true
		}
	}
	return report
}

// attribute returns the parts to which a crash is attributed, those with earlier crashes first. A part that was
// answered since its request was sent is not at fault.
func (l *PartLedger) attribute(uses []PartUse) []poolPart {
	seen := map[poolPart]bool{}
	list := []poolPart{}
	for _, use := range uses {
		for _, key := range use.Parts.Keys {
			a := poolPart{part: key, pool: use.Parts.Pool}
			if seen[a] || l.answered.seenAfter(a, use.SentMs) {
				continue
			}
			seen[a] = true
			list = append(list, a)
		}
	}
	slices.SortStableFunc(list, func(a, b poolPart) int {
		return cmp.Compare(l.crashCount(b.part), l.crashCount(a.part))
	})
	return list[:min(len(list), maxPartsPerCrash)]
}

func (l *PartLedger) crashCount(part PartKey) int {
	if s := l.parts[part]; s != nil {
		return len(s.crashes)
	}
	return 0
}

// record records a crash, and reports whether this starts a quarantine. If publish is set, the crash is added to this
// box's event log at once, and otherwise once the part has minRelayedCrashes.
func (l *PartLedger) record(a poolPart, upstream namekey.Key, at clock.Millis, publish bool) (started bool) {
	if l.answered.seenAfter(a, at) {
		return false
	}
	s := l.parts[a.part]
	if s == nil {
		l.evict()
		s = &suspectPart{crashes: map[namekey.Key]partCrash{}, shares: map[namekey.Key]partShare{}}
		l.parts[a.part] = s
	}
	if _, again := s.crashes[upstream]; again {
		return false
	}
	if len(s.crashes) >= maxCrashesPerPart {
		s.dropOldest()
	}
	s.crashes[upstream] = partCrash{pool: a.pool, atMs: at}
	if publish || len(s.crashes) >= minRelayedCrashes {
		l.publish(a.part, s)
	}
	if len(s.crashes) == minRelayedCrashes {
		l.publishAnswer(a)
	}
	return len(s.crashes) == l.settings().MinCrashes && !l.answered.seenAfter(a, l.monotonic()-answeredSilenceMs)
}

// publish adds the crashes that are not yet published to this box's event log.
func (l *PartLedger) publish(part PartKey, s *suspectPart) {
	for _, upstream := range slices.Sorted(maps.Keys(s.crashes)) {
		c := s.crashes[upstream]
		if c.published {
			continue
		}
		l.events.add(PartEvent{Part: part, Pool: c.pool, Upstream: upstream}, c.atMs)
		c.published = true
		s.crashes[upstream] = c
	}
}

// publishAnswer adds to this box's event log that a part was answered before its crashes. Boxes that have never seen it
// answered would take it for a fatal one.
func (l *PartLedger) publishAnswer(a poolPart) {
	if at, known := l.answered.last(a); known {
		l.events.add(PartEvent{Part: a.part, Pool: a.pool, Answered: true}, at)
	}
}

// RecordAnswer records that an upstream answered a request completely. It returns the parts whose quarantine ends by
// this.
func (l *PartLedger) RecordAnswer(parts Parts) (released []PartKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.monotonic()
	for _, key := range parts.Keys {
		if l.clear(poolPart{part: key, pool: parts.Pool}, now) {
			released = append(released, key)
		}
	}
	return released
}

// clear removes the crashes in a pool up to the time of an answer there. It reports whether this ends a quarantine.
func (l *PartLedger) clear(a poolPart, at clock.Millis) (released bool) {
	isNew := l.answered.mark(a, at)
	s := l.parts[a.part]
	if s == nil {
		return false
	}
	before := len(s.crashes)
	maps.DeleteFunc(s.crashes, func(_ namekey.Key, c partCrash) bool { return c.pool == a.pool && c.atMs <= at })
	if len(s.crashes) < before || isNew {
		l.events.add(PartEvent{Part: a.part, Pool: a.pool, Answered: true}, at)
	}
	if len(s.crashes) == 0 {
		delete(l.parts, a.part)
	}
	minCrashes := l.settings().MinCrashes
	return before >= minCrashes && len(s.crashes) < minCrashes
}

// RecordEvents merges events received from another box or from the store. It relays the crashes of parts that have
// minRelayedCrashes. It returns the parts whose quarantine was started by the events, and whether there are crashes to
// relay.
func (l *PartLedger) RecordEvents(list []PartEvent) (quarantined []PartKey, relays bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, retention, seq := l.monotonic(), l.settings().retentionMs(), l.events.nextSeq
	for _, e := range list {
		a, at := poolPart{part: e.Part, pool: e.Pool}, now-max(0, e.AgeMs)
		switch {
		case e.AgeMs >= retention:
		case e.Answered:
			l.clear(a, at)
		case l.record(a, e.Upstream, at, false):
			quarantined = append(quarantined, e.Part)
		}
	}
	return quarantined, l.events.nextSeq > seq
}

// EventsSince returns at most limit events from a sequence number on, and the sequence number to continue from.
func (l *PartLedger) EventsSince(from int64, limit int) ([]PartEvent, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.events.since(from, limit, l.monotonic())
}

// SuspectPart is a part with the crashes of upstreams that ran requests with it.
type SuspectPart struct {
	Part PartKey
	// Crashes lists the crashes as events, by upstream.
	Crashes []PartEvent
}

// Suspects returns all parts with at least minUpstreams crashes in ascending order.
func (l *PartLedger) Suspects(minUpstreams int) []SuspectPart {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.monotonic()
	list := []SuspectPart{}
	for _, key := range slices.Sorted(maps.Keys(l.parts)) {
		s := l.parts[key]
		if len(s.crashes) < minUpstreams {
			continue
		}
		suspect := SuspectPart{Part: key}
		for _, upstream := range slices.Sorted(maps.Keys(s.crashes)) {
			c := s.crashes[upstream]
			e := PartEvent{Part: key, Pool: c.pool, Upstream: upstream}
			suspect.Crashes = append(suspect.Crashes, e.withAge(now-c.atMs))
		}
		list = append(list, suspect)
	}
	return list
}

// Expire removes parts that have been quiet for the retention time since their latest crash or the end of their hold.
func (l *PartLedger) Expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	settings := l.settings()
	oldest, spans := l.monotonic()-settings.retentionMs(), holdSpansOf(settings, false, false)
	maps.DeleteFunc(l.parts, func(_ PartKey, s *suspectPart) bool {
		return s.newest() <= oldest && holdEnd(s.times(), settings.MinCrashes, spans) <= oldest
	})
}

// PartSizes holds the sizes of a part ledger for metrics.
type PartSizes struct {
	// Parts is the number of parts with crashes, Quarantined the number of those in quarantine.
	Parts       int `json:"parts"`
	Quarantined int `json:"held"`
}

// Sizes returns the sizes of the ledger for metrics.
func (l *PartLedger) Sizes() PartSizes {
	l.mu.Lock()
	defer l.mu.Unlock()
	sizes := PartSizes{Parts: len(l.parts)}
	for _, s := range l.parts {
		if l.isHeld(s) {
			sizes.Quarantined++
		}
	}
	return sizes
}

// isHeld reports whether a part has enough crashes for a quarantine.
func (l *PartLedger) isHeld(s *suspectPart) bool {
	minCrashes := l.settings().MinCrashes
	return minCrashes > 0 && len(s.crashes) >= minCrashes
}

// evict keeps the ledger within its limit. It removes parts with the fewest crashes first and, among those, the oldest.
func (l *PartLedger) evict() {
	if len(l.parts) < maxParts {
		return
	}
	evictionOrder := slices.SortedFunc(maps.Keys(l.parts), func(a, b PartKey) int {
		x, y := l.parts[a], l.parts[b]
		return cmp.Or(cmp.Compare(len(x.crashes), len(y.crashes)), cmp.Compare(x.newest(), y.newest()))
	})
	// Half of the entries are removed at once, so that a long series of crashes rarely needs sorting.
	for _, key := range evictionOrder[:maxParts/2] {
		delete(l.parts, key)
	}
}

func (s *suspectPart) newest() clock.Millis {
	newest := clock.Millis(0)
	for _, c := range s.crashes {
		newest = max(newest, c.atMs)
	}
	return newest
}

func (s *suspectPart) dropOldest() {
	oldest := slices.MinFunc(slices.Collect(maps.Keys(s.crashes)), func(a, b namekey.Key) int {
		return cmp.Compare(s.crashes[a].atMs, s.crashes[b].atMs)
	})
	delete(s.crashes, oldest)
}

// times returns the times of all crashes in ascending order.
func (s *suspectPart) times() []clock.Millis {
	times := make([]clock.Millis, 0, len(s.crashes))
	for _, c := range s.crashes {
		times = append(times, c.atMs)
	}
	slices.Sort(times)
	return times
}
