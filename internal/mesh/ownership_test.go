package mesh

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/admission"
	"dooryard.example/dooryard/internal/namekey"
	"dooryard.example/dooryard/internal/occupancy"
)

// settledOwners is a fleet whose two owners have counted at an upstream for long enough. The first one is the owner.
func settledOwners(f *admissions) (second *box) {
	second = f.startSecond()
	for _, b := range []*box{f.owner, second} {
		b.decide(f.askAt(b))
		b.grant(permitOf(f.askAt(b)), permitAt(f.upstream, "d1", 100))
	}
	advance(f.t, 4*time.Second)
	return second
}

// askAt returns an ask that a box gets, which has room for it.
func (f *admissions) askAt(b *box) admission.Ask {
	a := f.ask(false)
	a.ID, a.Slots = admission.ID{Box: b.self.Address, Number: 1 << 20}, 100
	return a
}

// isProvisional reports whether a box answers that its count may be incomplete, and asserts that permits and admission
// agree.
func (f *admissions) isProvisional(b *box) bool {
	a := f.askAt(b)
	provisional := b.decide(a).Provisional
	assert.Equal(f.t, provisional, b.grant(permitOf(a), permitAt(f.upstream, "d1", 100)) == permitGrantedProvisionally)
	return provisional
}

// TestOwnership guards against owners that answer as if they counted all requests, although other boxes ask another
// owner or have asked one shortly before.
func TestOwnership(t *testing.T) {
	t.Run("an owner that knows of a better one counts a part", func(t *testing.T) {
		runAdmissions(t, func(f *admissions) {
			second := settledOwners(f)
			assert.False(f.t, f.isProvisional(f.owner))
			assert.True(f.t, f.isProvisional(second))
		})
	})
	t.Run("one that takes over has not counted what the one before has", func(t *testing.T) {
		runAdmissions(t, func(f *admissions) {
			second := settledOwners(f)
			f.owner.stop()
			synctest.Wait()
			for owner := f.owner.self; owner.Box == f.owner.self.Box; owner, _ = second.owner(namekey.Of(f.upstream), "d1") {
				advance(f.t, time.Second)
			}
			assert.True(f.t, f.isProvisional(second))
			advance(f.t, 4*time.Second)
			assert.False(f.t, f.isProvisional(second))
		})
	})
	t.Run("one that was paused has not counted what was sent meanwhile", func(t *testing.T) {
		runAdmissions(t, func(f *admissions) {
			settledOwners(f)
			f.owner.AddPause(1000)
			assert.True(f.t, f.isProvisional(f.owner))
		})
	})
}

func permitOf(a admission.Ask) occupancy.PermitID {
	return occupancy.PermitID{Box: a.ID.Box, Number: a.ID.Number}
}
