package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dooryard.example/dooryard/internal/admission"
	"dooryard.example/dooryard/internal/namekey"
)

// TestAdmissionsExpire guards against prompts whose end was never told and that count for ever, because nothing expires
// them at the owner.
func TestAdmissionsExpire(t *testing.T) {
	runWithFleet(t, func(f *fleet) {
		owner := f.box(1).peering.mesh
		for range 2 {
			reply := owner.Admit(f.t.Context(), "d", admission.Ask{Upstream: namekey.Of("u"), Bound: 1})
			assert.Equal(f.t, admission.Granted, reply.Answer.Verdict)
			advance(f.t, 19*time.Second)
			assert.Equal(f.t, 1, owner.Sizes().Admissions.Permits)
			advance(f.t, 2*time.Second)
			assert.Zero(f.t, owner.Sizes().Admissions.Permits)
		}
	})
}
