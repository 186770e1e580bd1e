package quarantine

import (
	"slices"

	"dooryard.example/dooryard/internal/clock"
)

// journalLength is how many news a ledger can at least tell other boxes: more than come
// while a box misses a few rounds.
const journalLength = 1024

// journal is the newest news in the order in which this box learnt them, numbered.
type journal struct {
	next int64
	list []dated
}

// dated is a piece of news and when it happened.
type dated struct {
	ending Ending
	atMs   clock.Millis
}

func (j *journal) add(e Ending, at clock.Millis) {
	j.list = append(j.list, dated{ending: e, atMs: at})
	j.next++
	if len(j.list) >= 2*journalLength {
		// The older half goes at once, so that an addition costs little.
		j.list = slices.Clone(j.list[len(j.list)-journalLength:])
	}
}

// since returns news from a number on, with their ages, and the number to go on from. A
// number that this journal never gave means all.
func (j *journal) since(from int64, most int, now clock.Millis) ([]Ending, int64) {
	oldest := j.next - int64(len(j.list))
	if from < oldest || from > j.next {
		from = oldest
	}
	to := min(j.next, from+int64(most))
	list := []Ending{}
	for _, d := range j.list[from-oldest : to-oldest] {
		e := d.ending
		e.AgeMs = now - d.atMs
		list = append(list, e)
	}
	return list, to
}
