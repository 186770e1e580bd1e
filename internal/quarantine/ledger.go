package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
)

// Settings configure when a fingerprint is quarantined. They may change at run time.
type Settings struct {
	// MinCrashes is the number of crashed upstreams that starts the quarantine of a fingerprint. Values
	// below 1 disable the quarantine.
	MinCrashes int
	// HoldMs is how long a fingerprint stays quarantined after the latest crash.
	HoldMs clock.Millis
}

// retentionMs is how long the crashes of a fingerprint are kept after the latest one. It is
// longer than the quarantine, so that a single further crash starts the next quarantine.
func (s Settings) retentionMs() clock.Millis { return retentionHolds * s.HoldMs }

// CrashEvent is an event that boxes exchange: an upstream crashed while it ran a request with this
// fingerprint, or an upstream answered such a request completely.
type CrashEvent struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint Fingerprint
	// Upstream is the incarnation that crashed. It is not set if Answered is.
	Upstream namekey.Key
	// Answered is set if an upstream answered the request completely.
	Answered bool
	// AgeMs is the time since the event.
	AgeMs clock.Millis
}

func (e CrashEvent) withAge(age clock.Millis) CrashEvent {
	e.AgeMs = age
	return e
}

// Limits of a ledger.
const (
	// maxFingerprints limits the number of fingerprints, which take about 0.2 KB each. A crashed
	// upstream adds one fingerprint for each request that it ran.
	maxFingerprints = 4096
	// retentionHolds is how long crashes are kept, as a multiple of the hold time.
	retentionHolds = 2
	// answeredGraceMs is how long after an upstream answered a request no crash is attributed to its
	// fingerprint. A request that crashes upstreams is never answered. A request that callers repeat
	// often, such as a status poll, runs on nearly every upstream that crashes, and must not be
	// quarantined for that.
	answeredGraceMs = 60 * clock.Second
	// answerRepeatMs is the minimum time between two answers of which a box tells others when they report crashes. It is
	// shorter than answeredGraceMs, so that a frequent request stays protected.
	answerRepeatMs = answeredGraceMs / 2
)

// Ledger records the upstreams that crashed, by the fingerprints of the requests that they ran.
// An answer clears the crashes of its fingerprint that precede it. A Ledger is safe for
// concurrent use.
//
// Without the ledger, a request that crashes every upstream that starts to run it would be forwarded
// on each retry (TestFatalRequest). Each crash also breaks all other requests on that upstream.
type Ledger struct {
	monotonic func() clock.Millis
	settings  func() Settings

	mu           sync.Mutex
	fingerprints map[Fingerprint]crashes
	answered     recent[Fingerprint]
	// told holds the answers of which this box has told others that reported crashes.
	told   recent[Fingerprint]
	events eventLog[CrashEvent]
}

// crashRecord describes the crash of one upstream while it ran a request with a fingerprint.
type crashRecord struct {
	atMs clock.Millis
	// published is set once the crash is in this box's event log.
	published bool
}

// crashes holds the crashes of one fingerprint by upstream incarnation.
type crashes map[namekey.Key]crashRecord

// New returns an empty ledger. firstSeq is the sequence number of its first event. It must be
// greater than those that earlier processes of the box assigned.
func New(monotonic func() clock.Millis, settings func() Settings, firstSeq int64) *Ledger {
	return &Ledger{
		monotonic: monotonic, settings: settings, fingerprints: map[Fingerprint]crashes{},
		answered: newRecent[Fingerprint](maxGenerationSize), told: newRecent[Fingerprint](maxGenerationSize),
		events: eventLog[CrashEvent]{nextSeq: firstSeq},
	}
}

// Settings returns the current settings.
func (l *Ledger) Settings() Settings { return l.settings() }

// RecordCrash records that an upstream crashed while it ran a request with the fingerprint. It reports
// whether this starts a quarantine of the fingerprint.
func (l *Ledger) RecordCrash(fingerprint Fingerprint, upstream namekey.Key) (quarantined bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record(fingerprint, upstream, l.monotonic(), true)
}

// record records a crash, and reports whether this starts a quarantine. If publish is set, the crash is
// added to this box's event log at once, and otherwise once the fingerprint has minRelayedCrashes.
func (l *Ledger) record(fingerprint Fingerprint, upstream namekey.Key, at clock.Millis, publish bool) (started bool) {
	if l.answered.seenAfter(fingerprint, at-answeredGraceMs) {
		if !publish {
			l.tellAnswer(fingerprint)
		}
		return false
	}
	known := l.fingerprints[fingerprint]
	if _, again := known[upstream]; again {
		return false
	}
	if known == nil {
		l.evict()
		known = crashes{}
		l.fingerprints[fingerprint] = known
	}
	before := l.remainingMs(known)
	known[upstream] = crashRecord{atMs: at}
	if publish || len(known) >= minRelayedCrashes {
		l.publish(fingerprint, known)
	}
	return before == 0 && l.remainingMs(known) > 0
}

// tellAnswer adds to this box's event log that an upstream answered a request, for the boxes that report crashes under
// it. They have not seen the answer and would take it for a fatal one.
func (l *Ledger) tellAnswer(fingerprint Fingerprint) {
	at, _ := l.answered.last(fingerprint)
	if l.told.seenAfter(fingerprint, at-answerRepeatMs) {
		return
	}
	l.told.mark(fingerprint, at)
	l.events.add(CrashEvent{Fingerprint: fingerprint, Answered: true}, at)
}

// minRelayedCrashes is the number of crashes of a fingerprint at which a box starts to relay the
// crashes that it learned from other boxes. Below it, only the boxes that observed a crash publish
// it, because relaying every crash takes twenty times as many bytes in a fleet of dozens of boxes
// (TestCrashEventBytes).
const minRelayedCrashes = 2

// publish adds the crashes that are not yet published to this box's event log.
func (l *Ledger) publish(fingerprint Fingerprint, known crashes) {
	for _, upstream := range slices.Sorted(maps.Keys(known)) {
		r := known[upstream]
		if r.published {
			continue
		}
		l.events.add(CrashEvent{Fingerprint: fingerprint, Upstream: upstream}, r.atMs)
		known[upstream] = crashRecord{atMs: r.atMs, published: true}
	}
}

// RecordAnswer records that an upstream answered a request with the fingerprint completely. It reports
// whether this ends a quarantine of the fingerprint.
func (l *Ledger) RecordAnswer(fingerprint Fingerprint) (released bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clearAnswered(fingerprint, l.monotonic())
}

// clearAnswered removes the crashes up to the time of an answer.
func (l *Ledger) clearAnswered(fingerprint Fingerprint, at clock.Millis) (released bool) {
	l.answered.mark(fingerprint, at)
	known := l.fingerprints[fingerprint]
	before := l.remainingMs(known)
	count := len(known)
	maps.DeleteFunc(known, func(_ namekey.Key, r crashRecord) bool { return r.atMs <= at })
	if len(known) == count {
		return false
	}
	if len(known) == 0 {
		delete(l.fingerprints, fingerprint)
	}
	l.events.add(CrashEvent{Fingerprint: fingerprint, Answered: true}, at)
	return before > 0 && l.remainingMs(known) == 0
}

// RecordEvents merges events received from another box. If relay is set, crashes are relayed even
// below minRelayedCrashes, as needed in a fleet that is too large for each box to reach all others.
// It returns the fingerprints whose quarantine was started by the events.
func (l *Ledger) RecordEvents(list []CrashEvent, relay bool) (quarantined []Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, retention := l.monotonic(), l.settings().retentionMs()
	for _, e := range list {
		at := now - max(0, e.AgeMs)
		switch {
		case e.AgeMs >= retention:
		case e.Answered:
			l.clearAnswered(e.Fingerprint, at)
		case l.record(e.Fingerprint, e.Upstream, at, relay):
			quarantined = append(quarantined, e.Fingerprint)
		}
	}
	return quarantined
}

// QuarantineRemainingMs returns how much longer a fingerprint is quarantined, or 0.
func (l *Ledger) QuarantineRemainingMs(fingerprint Fingerprint) clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.remainingMs(l.fingerprints[fingerprint])
}

func (l *Ledger) remainingMs(known crashes) clock.Millis {
	s := l.settings()
	if s.MinCrashes < 1 || len(known) < s.MinCrashes {
		return 0
	}
	return max(0, known.newest()+s.HoldMs-l.monotonic())
}

// EventsSince returns at most limit events from a sequence number on, and the sequence number to
// continue from.
func (l *Ledger) EventsSince(from int64, limit int) ([]CrashEvent, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.events.since(from, limit, l.monotonic())
}

// Suspect is a fingerprint with the upstreams that crashed while they ran it.
type Suspect struct {
	Fingerprint Fingerprint
	// Upstreams lists the incarnations that crashed.
	Upstreams []namekey.Key
	// AgeMs is the time since the latest crash.
	AgeMs clock.Millis
}

// Quarantined returns all quarantined fingerprints in ascending order.
func (l *Ledger) Quarantined() []Suspect {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.suspects(func(known crashes) bool { return l.remainingMs(known) > 0 })
}

// Suspects returns all fingerprints with at least minUpstreams crashes in ascending order.
func (l *Ledger) Suspects(minUpstreams int) []Suspect {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.suspects(func(known crashes) bool { return len(known) >= minUpstreams })
}

func (l *Ledger) suspects(match func(known crashes) bool) []Suspect {
	list := []Suspect{}
	now := l.monotonic()
	for fingerprint, known := range l.fingerprints {
		if match(known) {
			list = append(list, Suspect{
				Fingerprint: fingerprint, Upstreams: slices.Sorted(maps.Keys(known)), AgeMs: now - known.newest(),
			})
		}
	}
	slices.SortFunc(list, func(a, b Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return list
}

// Expire removes fingerprints whose latest crash is older than the retention time.
func (l *Ledger) Expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	oldest := l.monotonic() - l.settings().retentionMs()
	maps.DeleteFunc(l.fingerprints, func(_ Fingerprint, known crashes) bool { return known.newest() <= oldest })
}

// Sizes holds the sizes of a ledger for metrics.
type Sizes struct {
	// Fingerprints is the number of fingerprints with crashes, Quarantined the number of those in
	// quarantine.
	Fingerprints int `json:"fingerprints"`
	Quarantined  int `json:"held"`
}

// Sizes returns the sizes of the ledger for metrics.
func (l *Ledger) Sizes() Sizes {
	quarantined := len(l.Quarantined())
	l.mu.Lock()
	defer l.mu.Unlock()
	return Sizes{Fingerprints: len(l.fingerprints), Quarantined: quarantined}
}

// evict keeps the ledger within its limit. It removes fingerprints with the fewest crashes
// first and, among those, the oldest.
func (l *Ledger) evict() {
	if len(l.fingerprints) < maxFingerprints {
		return
	}
	evictionOrder := slices.SortedFunc(maps.Keys(l.fingerprints), func(a, b Fingerprint) int {
		x, y := l.fingerprints[a], l.fingerprints[b]
		return cmp.Or(cmp.Compare(len(x), len(y)), cmp.Compare(x.newest(), y.newest()))
	})
	// Half of the entries are removed at once, so that a long series of crashes rarely needs
	// sorting.
	for _, fingerprint := range evictionOrder[:maxFingerprints/2] {
		delete(l.fingerprints, fingerprint)
	}
}

func (t crashes) newest() clock.Millis {
	newest := clock.Millis(0)
	for _, r := range t {
		newest = max(newest, r.atMs)
	}
	return newest
}
