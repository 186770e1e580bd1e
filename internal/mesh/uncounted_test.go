package mesh

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/admission"
	"dooryard.example/dooryard/internal/namekey"
)

// losePermitAnswers loses all answers to requests for permits.
func (f *fixture) losePermitAnswers() {
	copies := func(data []byte) int {
		isAnswer := isPermitMessage(data) && len(data) > 1 &&
			(data[1] == byte(permitGranted) || data[1] == byte(permitDenied) || data[1] == byte(permitGrantedProvisionally))
		if isAnswer {
			return 0
		}
		return 1
	}
	f.copies.Store(&copies)
}

// TestCountWithoutAnswer guards against owners whose counts lack the requests that boxes sent because answers came too
// late, so that they grant more than the bound.
func TestCountWithoutAnswer(t *testing.T) {
	const sent = 4
	t.Run("permits", func(t *testing.T) {
		runAdmissions(t, func(f *admissions) {
			f.losePermitAnswers()
			releases := []func(bool){}
			for range sent {
				reply := f.asker.AcquirePermit(f.t.Context(), permitAt(f.upstream, "d1", 1))
				assert.True(f.t, reply.Unanswered)
				reply.Count()
				releases = append(releases, reply.Release)
			}
			synctest.Wait()
			held := func() int { return f.owner.Mesh.ledger.InUse(namekey.Of(f.upstream)) }
			assert.Equal(f.t, sent, held(), "each once, though the bound is one")
			for _, release := range releases {
				release(true)
			}
			synctest.Wait()
			assert.Zero(f.t, held())
		})
	})
	t.Run("admission", func(t *testing.T) {
		runAdmissions(t, func(f *admissions) {
			f.lose(admissionAnswer, -1)
			replies := []admission.Reply{}
			for range sent {
				reply := f.admit(f.asker)
				assert.True(f.t, reply.Unknown)
				reply.Count()
				replies = append(replies, reply)
			}
			f.assertSizes(sent, 0)
			for _, reply := range replies {
				reply.Release(true)
			}
			f.assertSizes(0, 0)
			assert.Empty(f.t, f.asker.admissions.open)
		})
	})
	t.Run("a prompt that goes elsewhere is not counted", func(t *testing.T) {
		runAdmissions(t, func(f *admissions) {
			f.lose(admissionAnswer, -1)
			for range sent {
				reply := f.admit(f.asker)
				reply.Release(false)
			}
			f.assertSizes(0, 0)
			assert.Empty(f.t, f.asker.admissions.open)
		})
	})
}
