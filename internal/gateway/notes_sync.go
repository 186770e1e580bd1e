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

// Notes gives access to the notes in the store: small records that boxes write for boxes that start later or that
// they can't reach.
type Notes struct {
	// Put writes a note under a name; an empty note deletes it.
	Put func(ctx context.Context, name string, note []byte) error
	// List returns all notes by their names, and the era of the store that holds them.
	List func(ctx context.Context) (notes map[string][]byte, era int64, err error)
	// Era returns the newest era of the store that was observed. A change of era means that notes may be lost.
	Era func() int64
}

const (
	// noteSyncIntervalMs is how often a box checks for fingerprints to write notes about. It is short compared to the
	// time between a crash and a possible kill of all boxes.
	noteSyncIntervalMs clock.Millis = 250
	// noteRereadIntervalMs is how often a box that reads the store for others rereads the notes while a known box is
	// unreachable. A request may crash upstreams on both sides of a partition, and the boxes of the other side can
	// report their crashes only through notes.
	noteRereadIntervalMs clock.Millis = 2500
	// minNotesRetryMs and maxNotesRetryMs bound the exponential backoff after failed calls. Each failed call is
	// charged for. The maximum is shorter than the time within which boxes must act on what the store has returned.
	minNotesRetryMs clock.Millis = 500
	maxNotesRetryMs clock.Millis = 2000
	// minNotedCrashes is the minimum number of upstreams that crashed while running a request for a note about the
	// request to be written while a box is unreachable. Harmless requests that ran on an upstream when another request
	// crashed it are rarely involved in a second crash.
	minNotedCrashes = 2
)

// errInvalidNote marks a note that can't be decoded.
var errInvalidNote = errors.New("invalid note")

// suspectNote is the stored form of a fingerprint whose requests crashed upstreams.
type suspectNote struct {
	Fingerprint quarantine.Fingerprint `json:"fingerprint"`
	// Upstreams are the incarnations that crashed while running such a request.
	Upstreams []namekey.Key `json:"upstreams"`
	// CrashedMs is the wall-clock time of the newest crash, by the clock of the box that wrote the note. It only
	// bounds an age of minutes, so a clock skew of some seconds does no harm.
	CrashedMs clock.Millis `json:"ended_ms"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (n *suspectNote) UnmarshalJSON(data []byte) error {
	type plain suspectNote
	if err := json.Unmarshal(data, (*plain)(n)); err != nil {
		return fmt.Errorf("%w: %w", errInvalidNote, err)
	}
	switch {
	case n.Fingerprint == 0:
		return fmt.Errorf("%w: fingerprint is missing", errInvalidNote)
	case len(n.Upstreams) == 0:
		return fmt.Errorf("%w: upstreams are missing", errInvalidNote)
	default:
		return nil
	}
}

// crashEvents returns the crashes that the note records.
func (n *suspectNote) crashEvents(now clock.Millis) []quarantine.CrashEvent {
	list := make([]quarantine.CrashEvent, 0, len(n.Upstreams))
	for _, upstream := range n.Upstreams {
		list = append(list, quarantine.CrashEvent{
			Fingerprint: n.Fingerprint, Upstream: upstream, AgeMs: max(0, now-n.CrashedMs),
		})
	}
	return list
}

// noteSyncer reads the notes and, while this box reads the store for others, keeps the notes of its failure domain up
// to date. Without notes a request that is quarantined would crash more upstreams after all boxes were killed
// (TestFatalRequest).
type noteSyncer struct {
	box   *Box
	notes Notes
	// written is the number of crashes in each note, by name, as far as this box knows.
	written map[string]int
	// read is set once the notes were read in the current era, at readMs.
	read     bool
	era      int64
	readMs   clock.Millis
	failures int
	// attempted is set once this process has tried to read the notes.
	attempted bool
}

// syncNotes synchronises the notes with the store until the context ends.
func (b *Box) syncNotes(ctx context.Context) {
	n := &noteSyncer{box: b, notes: b.source.Notes, written: map[string]int{}}
	if n.notes.Put == nil {
		close(b.notesRead)
		return
	}
	if b.settings.Load().FirstStart {
		// There are no notes yet.
		n.markAttempted()
	}
	for ctx.Err() == nil {
		// The loop condition handles the end of the context.
		_ = b.clock.Sleep(ctx, n.syncOnce(ctx))
	}
}

// syncOnce reads and writes the notes that are due, and returns how long to wait until the next call.
func (n *noteSyncer) syncOnce(ctx context.Context) clock.Millis {
	err := n.readIfDue(ctx)
	if err == nil {
		err = n.writeIfDue(ctx)
	}
	if err == nil {
		n.failures = 0
		return noteSyncIntervalMs
	}
	if n.failures == 0 && ctx.Err() == nil {
		n.box.ReportInvalidInput("notes in the store", err)
	}
	wait := min(minNotesRetryMs<<min(n.failures, maxDoublings), maxNotesRetryMs)
	n.failures++
	return wait
}

// maxDoublings keeps the backoff from overflowing.
const maxDoublings = 8

func (n *noteSyncer) readIfDue(ctx context.Context) error {
	now := n.box.clock.Monotonic()
	if n.read && n.notes.Era() != n.era {
		// The store was restored from a snapshot and may lack the notes written after it was taken. All notes are
		// read again, and missing ones are written again.
		n.read = false
		clear(n.written)
	}
	reread := n.readerMissesPeer() && now-n.readMs >= noteRereadIntervalMs
	if n.read && !reread || !n.mayRead() {
		return nil
	}
	all, era, err := n.notes.List(ctx)
	defer n.markAttempted()
	if err != nil {
		return err
	}
	n.read, n.readMs, n.era = true, now, era
	for name, data := range all {
		n.applyNote(name, data)
	}
	return nil
}

// noteSettleMs is how long a box that starts waits until it knows which box of its failure domain reads the store: a
// gossip round and a round trip.
const noteSettleMs clock.Millis = 400

// markAttempted releases the requests that wait for the first read of the notes, whether it succeeded or not.
func (n *noteSyncer) markAttempted() {
	if !n.attempted {
		n.attempted = true
		close(n.box.notesRead)
	}
}

// mayRead reports whether this box reads the notes itself. A box that starts tries once, because it may be sent a fatal
// request before another box reaches it. After that, it learns of the crashes in the notes from the box that reads the
// store for its failure domain.
func (n *noteSyncer) mayRead() bool {
	p := n.box.peering
	return !n.attempted || n.box.clock.Monotonic()-p.startedMs >= noteSettleMs && p.mesh.IsStoreReader()
}

// readerMissesPeer reports whether this box reads the store for others and a known box is unreachable.
func (n *noteSyncer) readerMissesPeer() bool {
	return n.box.peering.mesh.IsStoreReader() && n.box.peering.mesh.HasMissingBox()
}

// applyNote adds the crashes of a note to the quarantine.
func (n *noteSyncer) applyNote(name string, data []byte) {
	var note suspectNote
	if err := json.Unmarshal(data, &note); err != nil {
		n.box.ReportInvalidInput("note "+name+" in the store", err)
		return
	}
	n.written[name] = len(note.Upstreams)
	n.box.crashDetector.recordFrom("store", note.crashEvents(n.box.clock.Now()), true)
}

// noteName returns the name of this failure domain's note on a suspect. The failure domain is part of it because
// boxes on two sides of a partition must not overwrite each other's notes.
func (n *noteSyncer) noteName(s quarantine.Suspect) string {
	return fmt.Sprintf("%v-%08x", s.Fingerprint, uint32(namekey.Of(n.box.Settings().FailureDomain)))
}

// writeIfDue writes missing and outdated notes, and deletes the notes of fingerprints that are no longer suspects.
// It deletes the notes of all failure domains, since some domains may no longer exist.
func (n *noteSyncer) writeIfDue(ctx context.Context) error {
	if !n.box.peering.mesh.IsStoreReader() {
		return nil
	}
	ledger := n.box.quarantine
	for _, s := range n.fingerprintsToNote() {
		if err := n.write(ctx, s); err != nil {
			return err
		}
	}
	known := map[string]bool{}
	for _, s := range ledger.Suspects(1) {
		known[s.Fingerprint.String()] = true
	}
	for name := range maps.Clone(n.written) {
		if fingerprint := name[:min(len(name), fingerprintDigits)]; known[fingerprint] {
			continue
		}
		if err := n.notes.Put(ctx, name, nil); err != nil {
			return err
		}
		delete(n.written, name)
	}
	return nil
}

// fingerprintDigits is the length of the fingerprint at the start of a note's name.
const fingerprintDigits = 16

// fingerprintsToNote returns the fingerprints that should be noted: the quarantined ones and, while a known box is
// unreachable, those that are about to be quarantined.
func (n *noteSyncer) fingerprintsToNote() []quarantine.Suspect {
	if n.readerMissesPeer() {
		return n.box.quarantine.Suspects(min(minNotedCrashes, max(1, n.box.quarantine.Settings().MinCrashes)))
	}
	return n.box.quarantine.Quarantined()
}

func (n *noteSyncer) write(ctx context.Context, s quarantine.Suspect) error {
	name := n.noteName(s)
	if n.written[name] >= min(len(s.Upstreams), n.box.quarantine.Settings().MinCrashes) {
		return nil
	}
	// A suspectNote consists of numbers, which always encode.
	data, _ := json.Marshal(suspectNote{
		Fingerprint: s.Fingerprint, Upstreams: s.Upstreams, CrashedMs: n.box.clock.Now() - s.AgeMs,
	})
	if err := n.notes.Put(ctx, name, data); err != nil {
		return err
	}
	n.written[name] = len(s.Upstreams)
	return nil
}
