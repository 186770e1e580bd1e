package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/admission"
	"dooryard.example/dooryard/internal/namekey"
)

// TestAdmissionsExpire guards against prompts whose end was never told and that count for ever, because nothing expires
// them at the owner, and against prompts that run and don't count, because nothing renews them.
func TestAdmissionsExpire(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		box := f.box(1)
		owner := box.peering.mesh
		for number := range 2 {
			asker := f.box(2+number, withContact(box), withDomain("other"))
			advance(f.t, 3*time.Second)
			reply := asker.peering.mesh.Admit(f.t.Context(), "d", admission.Ask{Upstream: namekey.Of("u"), Bound: 1})
			assert.Equal(f.t, admission.Granted, reply.Answer.Verdict)
			advance(f.t, 60*time.Second)
			assert.Equal(f.t, 1, owner.Sizes().Admissions.Permits)
			asker.stop()
			// The box last tells of the prompt when it gives up its address.
			advance(f.t, maxAnnounceMs.Duration())
			advance(f.t, 10*time.Second)
			assert.Equal(f.t, 1, owner.Sizes().Admissions.Permits)
			advance(f.t, 11*time.Second)
			assert.Zero(f.t, owner.Sizes().Admissions.Permits)
		}
	})
}
