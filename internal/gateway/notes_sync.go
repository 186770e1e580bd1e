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

// suspectNote is the stored form of a fingerprint, or of a part of prompts, whose requests crashed upstreams.
type suspectNote struct {
	// Fingerprint is the fingerprint or the key of the part. Boxes of earlier releases take both for fingerprints.
	Fingerprint uint64 `json:"fingerprint"`
	// Upstreams are the incarnations that crashed while running such a request.
	Upstreams []namekey.Key `json:"upstreams"`
	// Pools are the pools of these upstreams if the note is about a part, and otherwise empty.
	Pools []namekey.Key `json:"pools,omitempty"`
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
	case len(n.Pools) != 0 && len(n.Pools) != len(n.Upstreams):
		return fmt.Errorf("%w: %d pools for %d upstreams", errInvalidNote, len(n.Pools), len(n.Upstreams))
	default:
		return nil
	}
}

// isPart reports whether the note is about a part of prompts.
func (n *suspectNote) isPart() bool { return len(n.Pools) > 0 }

// crashEvents returns the crashes that a note about a fingerprint records.
func (n *suspectNote) crashEvents(now clock.Millis) []quarantine.CrashEvent {
	list := make([]quarantine.CrashEvent, 0, len(n.Upstreams))
	for _, upstream := range n.Upstreams {
		list = append(list, quarantine.CrashEvent{
			Fingerprint: quarantine.Fingerprint(n.Fingerprint), Upstream: upstream, AgeMs: max(0, now-n.CrashedMs),
		})
	}
	return list
}

// partEvents returns the crashes that a note about a part records.
func (n *suspectNote) partEvents(now clock.Millis) []quarantine.PartEvent {
	list := make([]quarantine.PartEvent, 0, len(n.Upstreams))
	for i, upstream := range n.Upstreams {
		list = append(list, quarantine.PartEvent{
			Part: quarantine.PartKey(n.Fingerprint), Pool: n.Pools[i], Upstream: upstream, AgeMs: max(0, now-n.CrashedMs),
		})
	}
	return list
}

// noteOf returns the note on a fingerprint.
func noteOf(s quarantine.Suspect, now clock.Millis) suspectNote {
	return suspectNote{Fingerprint: uint64(s.Fingerprint), Upstreams: s.Upstreams, CrashedMs: now - s.AgeMs}
}

// noteOfPart returns the note on a part.
func noteOfPart(s quarantine.SuspectPart, now clock.Millis) suspectNote {
	n := suspectNote{Fingerprint: uint64(s.Part)}
	for _, c := range s.Crashes {
		n.Upstreams, n.Pools = append(n.Upstreams, c.Upstream), append(n.Pools, c.Pool)
		n.CrashedMs = max(n.CrashedMs, now-c.AgeMs)
	}
	return n
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
	now := n.box.clock.Now()
	if note.isPart() {
		n.box.crashDetector.recordPartsFrom("store", note.partEvents(now))
		return
	}
	n.box.crashDetector.recordFrom("store", note.crashEvents(now), true)
}

// noteKey returns the start of the names of the notes on a fingerprint or a part.
func noteKey(fingerprint uint64) string { return fmt.Sprintf("%0*x", fingerprintDigits, fingerprint) }

// noteName returns the name of this failure domain's note on a suspect. The failure domain is part of it because
// boxes on two sides of a partition must not overwrite each other's notes.
func (n *noteSyncer) noteName(note suspectNote) string {
	return fmt.Sprintf("%s-%08x", noteKey(note.Fingerprint), uint32(namekey.Of(n.box.Settings().FailureDomain)))
}

// writeIfDue writes missing and outdated notes, and deletes the notes of fingerprints and parts that are no longer
// suspects. It deletes the notes of all failure domains, since some domains may no longer exist.
func (n *noteSyncer) writeIfDue(ctx context.Context) error {
	if !n.box.peering.mesh.IsStoreReader() {
		return nil
	}
	for _, note := range n.dueNotes() {
		if err := n.write(ctx, note); err != nil {
			return err
		}
	}
	known := n.knownKeys()
	for name := range maps.Clone(n.written) {
		if known[name[:min(len(name), fingerprintDigits)]] {
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

// knownKeys returns the fingerprints and parts that have crashes, in the form in which the names of notes begin.
func (n *noteSyncer) knownKeys() map[string]bool {
	known := map[string]bool{}
	for _, s := range n.box.quarantine.Suspects(1) {
		known[noteKey(uint64(s.Fingerprint))] = true
	}
	for _, s := range n.box.parts.Suspects(1) {
		known[noteKey(uint64(s.Part))] = true
	}
	return known
}

// dueNotes returns the notes on all that is quarantined and, while a known box is unreachable, on what is about to be.
func (n *noteSyncer) dueNotes() []suspectNote {
	now, minCrashes := n.box.clock.Now(), n.box.quarantine.Settings().MinCrashes
	if minCrashes < 1 {
		return nil
	}
	suspects := n.box.quarantine.Quarantined()
	if n.readerMissesPeer() {
		minCrashes = min(minNotedCrashes, minCrashes)
		suspects = n.box.quarantine.Suspects(minCrashes)
	}
	list := []suspectNote{}
	for _, s := range suspects {
		list = append(list, noteOf(s, now))
	}
	for _, s := range n.box.parts.Suspects(minCrashes) {
		list = append(list, noteOfPart(s, now))
	}
	return list
}

func (n *noteSyncer) write(ctx context.Context, note suspectNote) error {
	name := n.noteName(note)
	if n.written[name] >= min(len(note.Upstreams), n.box.quarantine.Settings().MinCrashes) {
		return nil
	}
	// A suspectNote consists of numbers, which always encode.
	data, _ := json.Marshal(note)
	if err := n.notes.Put(ctx, name, data); err != nil {
		return err
	}
	n.written[name] = len(note.Upstreams)
	return nil
}
