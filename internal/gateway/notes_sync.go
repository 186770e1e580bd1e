package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/quarantine"
)

// Notes are what boxes keep in the store for boxes that start later, or can't hear them.
type Notes struct {
	// Keep writes a note under a name; an empty one drops it.
	Keep func(ctx context.Context, name string, note []byte) error
	// All returns all notes by their names, and the era of the store that holds them.
	All func(ctx context.Context) (notes map[string][]byte, era int64, err error)
	// Era is the newest era of the store that was met. In a later one notes may be lost.
	Era func() int64
}

const (
	// keepEachMs is how often a box looks for fingerprints to note: a short part of the time
	// in which all boxes may be killed after an end.
	keepEachMs clock.Millis = 250
	// readNotesMs is how often a box that reads for others, and misses one that was there,
	// reads the notes again: on both sides of a cut upstreams may end under a request.
	readNotesMs clock.Millis = 2500
	// firstNotesRetryMs and lastNotesRetryMs bound the growing waits after calls that
	// failed, each of which is paid for. The last one is shorter than the time after which
	// boxes are held to what the store has told.
	firstNotesRetryMs clock.Millis = 500
	lastNotesRetryMs  clock.Millis = 2000
	// notedEnds is how many upstreams must have ended under a request for a note while a box
	// is missing: requests that only stood beside one rarely meet a second end.
	notedEnds = 2
)

// errNote marks a note that can't be read.
var errNote = errors.New("invalid note")

// suspectNote is what the store keeps of a fingerprint under which upstreams ended.
type suspectNote struct {
	Fingerprint quarantine.Fingerprint `json:"fingerprint"`
	// Upstreams are the incarnations that ended under it.
	Upstreams []namekey.Key `json:"upstreams"`
	// EndedMs is the time of day of the newest end, by the box that wrote the note. It only
	// bounds an age of minutes: clocks that are some seconds off do no harm.
	EndedMs clock.Millis `json:"ended_ms"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (n *suspectNote) UnmarshalJSON(data []byte) error {
	type plain suspectNote
	if err := json.Unmarshal(data, (*plain)(n)); err != nil {
		return fmt.Errorf("%w: %w", errNote, err)
	}
	switch {
	case n.Fingerprint == 0:
		return fmt.Errorf("%w: fingerprint: none", errNote)
	case len(n.Upstreams) == 0:
		return fmt.Errorf("%w: upstreams: none", errNote)
	default:
		return nil
	}
}

// endings returns what the note says.
func (n *suspectNote) endings(now clock.Millis) []quarantine.Ending {
	list := make([]quarantine.Ending, 0, len(n.Upstreams))
	for _, upstream := range n.Upstreams {
		list = append(list, quarantine.Ending{
			Fingerprint: n.Fingerprint, Upstream: upstream, AgeMs: max(0, now-n.EndedMs),
		})
	}
	return list
}

// noteKeeper reads the notes, and keeps those of its failure domain up to date while this box
// reads the store for others. Without notes upstreams end anew after all boxes were killed: 11
// of 20 tries later than 3 s after the third end are sent on, none with them
// (TestFatalRequest).
type noteKeeper struct {
	box   *Box
	notes Notes
	// written is how many ends each note tells of, by name, as far as this box knows.
	written map[string]int
	// read is set once the notes were read in an era, at readMs.
	read     bool
	era      int64
	readMs   clock.Millis
	failures int
}

func (b *Box) keepNotes(ctx context.Context) {
	k := &noteKeeper{box: b, notes: b.source.Notes, written: map[string]int{}}
	if k.notes.Keep == nil {
		return
	}
	for ctx.Err() == nil {
		// The context's end shows at the head of the loop.
		_ = b.clock.Sleep(ctx, k.step(ctx))
	}
}

// step does what is due, and returns how long to wait then.
func (k *noteKeeper) step(ctx context.Context) clock.Millis {
	err := k.readIfDue(ctx)
	if err == nil {
		err = k.writeIfDue(ctx)
	}
	if err == nil {
		k.failures = 0
		return keepEachMs
	}
	if k.failures == 0 && ctx.Err() == nil {
		k.box.Ignored("notes in the store", err)
	}
	wait := min(firstNotesRetryMs<<min(k.failures, maxDoublings), lastNotesRetryMs)
	k.failures++
	return wait
}

// maxDoublings keeps a wait from overflowing.
const maxDoublings = 8

func (k *noteKeeper) readIfDue(ctx context.Context) error {
	now := k.box.clock.Steady()
	if k.read && k.notes.Era() != k.era {
		// What was written since the store's copy is written again.
		k.read = false
		clear(k.written)
	}
	again := k.missing() && now-k.readMs >= readNotesMs
	if k.read && !again {
		return nil
	}
	all, era, err := k.notes.All(ctx)
	if err != nil {
		return err
	}
	k.read, k.readMs, k.era = true, now, era
	for name, data := range all {
		k.learn(name, data)
	}
	return nil
}

// missing reports whether this box reads for others and can't hear all of them.
func (k *noteKeeper) missing() bool {
	return k.box.peering.mesh.IsSource() && k.box.peering.mesh.Missing()
}

func (k *noteKeeper) learn(name string, data []byte) {
	var note suspectNote
	if err := json.Unmarshal(data, &note); err != nil {
		k.box.Ignored("note "+name+" in the store", err)
		return
	}
	k.written[name] = len(note.Upstreams)
	k.box.endings.learnFrom("store", note.endings(k.box.clock.Now()))
}

// nameOf is the name of this failure domain's note: sources on two sides of a cut must not
// write over each other's.
func (k *noteKeeper) nameOf(s quarantine.Suspect) string {
	return fmt.Sprintf("%v-%08x", s.Fingerprint, uint32(namekey.Of(k.box.Settings().FailureDomain)))
}

// writeIfDue writes the notes that there should be, and drops those of fingerprints that are
// suspects no longer, of all failure domains: some may be gone.
func (k *noteKeeper) writeIfDue(ctx context.Context) error {
	if !k.box.peering.mesh.IsSource() {
		return nil
	}
	ledger := k.box.quarantine
	for _, s := range k.due() {
		if err := k.write(ctx, s); err != nil {
			return err
		}
	}
	known := map[string]bool{}
	for _, s := range ledger.Suspects(1) {
		known[s.Fingerprint.String()] = true
	}
	for name := range maps.Clone(k.written) {
		if fingerprint := name[:min(len(name), fingerprintDigits)]; known[fingerprint] {
			continue
		}
		if err := k.notes.Keep(ctx, name, nil); err != nil {
			return err
		}
		delete(k.written, name)
	}
	return nil
}

// fingerprintDigits is the length of a fingerprint at the beginning of a note's name.
const fingerprintDigits = 16

// due are the fingerprints that should be noted: those that are held back, and while a box is
// missing those that are about to be.
func (k *noteKeeper) due() []quarantine.Suspect {
	if k.missing() {
		return k.box.quarantine.Suspects(min(notedEnds, max(1, k.box.quarantine.Settings().Ends)))
	}
	return k.box.quarantine.Held()
}

func (k *noteKeeper) write(ctx context.Context, s quarantine.Suspect) error {
	name := k.nameOf(s)
	if k.written[name] >= min(len(s.Upstreams), k.box.quarantine.Settings().Ends) {
		return nil
	}
	// Numbers always encode.
	data, _ := json.Marshal(suspectNote{
		Fingerprint: s.Fingerprint, Upstreams: s.Upstreams, EndedMs: k.box.clock.Now() - s.AgeMs,
	})
	if err := k.notes.Keep(ctx, name, data); err != nil {
		return err
	}
	k.written[name] = len(s.Upstreams)
	return nil
}
