package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/quarantine"
)

// Notes are what boxes keep in the store for boxes that start later, or can't hear them.
type Notes struct {
	// Keep writes a note under a name; an empty one drops it.
	Keep func(ctx context.Context, name string, note []byte) error
	// All returns all notes by their names.
	All func(ctx context.Context) (map[string][]byte, error)
}

const (
	// keepEachMs is how often a box looks for fingerprints to note: a short part of the time
	// in which all boxes may be killed after an end.
	keepEachMs clock.Millis = 250
	// readNotesMs is how often a box that reads for others, and misses one that was there,
	// reads the notes again: on both sides of a cut fingerprints may come to be held back.
	readNotesMs clock.Millis = 2500
	// firstNotesRetryMs and lastNotesRetryMs bound the growing waits after calls that
	// failed, each of which is paid for.
	firstNotesRetryMs clock.Millis = 500
	lastNotesRetryMs  clock.Millis = 8000
)

// errNote marks a note that can't be read.
var errNote = errors.New("invalid note")

// heldNote is what the store keeps of a fingerprint that is held back; its name is the fingerprint.
type heldNote struct {
	// Upstreams are the incarnations that ended under it.
	Upstreams []namekey.Key `json:"upstreams"`
	// EndedMs is the time of day of the newest end, by the box that wrote the note. It only
	// bounds an age of minutes: clocks that are some seconds off do no harm.
	EndedMs clock.Millis `json:"ended_ms"`
}

func parseNote(name string, note []byte) (quarantine.Fingerprint, heldNote, error) {
	const hex, bits = 16, 64
	fingerprint, err := strconv.ParseUint(name, hex, bits)
	if err != nil {
		return 0, heldNote{}, fmt.Errorf("%w: name: %w", errNote, err)
	}
	var held heldNote
	if err := json.Unmarshal(note, &held); err != nil {
		return 0, heldNote{}, fmt.Errorf("%w: %s: %w", errNote, name, err)
	}
	if len(held.Upstreams) == 0 {
		return 0, heldNote{}, fmt.Errorf("%w: %s: upstreams: none", errNote, name)
	}
	return quarantine.Fingerprint(fingerprint), held, nil
}

// endings returns what the note says.
func (n heldNote) endings(fingerprint quarantine.Fingerprint, now clock.Millis) []quarantine.Ending {
	list := make([]quarantine.Ending, 0, len(n.Upstreams))
	for _, upstream := range n.Upstreams {
		list = append(list, quarantine.Ending{Fingerprint: fingerprint, Upstream: upstream, AgeMs: max(0, now-n.EndedMs)})
	}
	return list
}

// noteKeeper reads the notes of fingerprints that are held back, and keeps them up to date while
// this box reads the store for others. Without notes upstreams end anew after all boxes were
// killed: 11 of 20 tries later than 3 s after the third end are sent on, none with them
// (TestFatalRequest).
type noteKeeper struct {
	box   *Box
	notes Notes
	// written is how many ends each note tells of, as far as this box knows.
	written map[quarantine.Fingerprint]int
	// read is set once the notes were read, at readMs.
	read     bool
	readMs   clock.Millis
	failures int
}

func (b *Box) keepNotes(ctx context.Context) {
	k := &noteKeeper{box: b, notes: b.source.Notes, written: map[quarantine.Fingerprint]int{}}
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
	again := k.box.peering.mesh.IsSource() && k.box.peering.mesh.Missing() && now-k.readMs >= readNotesMs
	if k.read && !again {
		return nil
	}
	all, err := k.notes.All(ctx)
	if err != nil {
		return err
	}
	k.read, k.readMs = true, now
	for name, note := range all {
		fingerprint, held, err := parseNote(name, note)
		if err != nil {
			k.box.Ignored("note in the store", err)
			continue
		}
		k.written[fingerprint] = len(held.Upstreams)
		k.box.endings.learnFrom("store", held.endings(fingerprint, k.box.clock.Now()))
	}
	return nil
}

// writeIfDue writes notes of fingerprints that are held back, and drops those of others.
func (k *noteKeeper) writeIfDue(ctx context.Context) error {
	if !k.box.peering.mesh.IsSource() {
		return nil
	}
	now := k.box.clock.Now()
	held := map[quarantine.Fingerprint]bool{}
	for _, one := range k.box.quarantine.Held() {
		held[one.Fingerprint] = true
		if k.written[one.Fingerprint] >= k.box.quarantine.Settings().Ends {
			continue
		}
		if err := k.write(ctx, one, now); err != nil {
			return err
		}
	}
	for fingerprint := range k.written {
		if held[fingerprint] {
			continue
		}
		if err := k.notes.Keep(ctx, fingerprint.String(), nil); err != nil {
			return err
		}
		delete(k.written, fingerprint)
	}
	return nil
}

func (k *noteKeeper) write(ctx context.Context, one quarantine.Held, now clock.Millis) error {
	// Numbers always encode.
	data, _ := json.Marshal(heldNote{Upstreams: one.Upstreams, EndedMs: now - one.AgeMs})
	if err := k.notes.Keep(ctx, one.Fingerprint.String(), data); err != nil {
		return err
	}
	k.written[one.Fingerprint] = len(one.Upstreams)
	return nil
}
