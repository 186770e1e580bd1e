package balance

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dooryard.example/dooryard/internal/admission"
	"dooryard.example/dooryard/internal/occupancy"
)

// TestPermitSource guards against requests above the load bound of which nobody can tell who allowed them.
func TestPermitSource(t *testing.T) {
	for name, c := range map[string]struct {
		reply occupancy.Reply
		want  PermitSource
	}{
		"an owner": {occupancy.Reply{Granted: true}, OwnerPermit},
		"an owner that has counted for a short time": {
			occupancy.Reply{Granted: true, Provisional: true}, ProvisionalPermit,
		},
		"no owner": {occupancy.Reply{Granted: true, Provisional: true, Unanswered: true}, EstimatedPermit},
	} {
		t.Run(name, func(t *testing.T) {
			lease, err := inLargeFleet(t, 120).PickWithPermit(sticky("s"), func(*Lease, int) occupancy.Reply { return c.reply })
			require.NoError(t, err)
			assert.Equal(t, Permit{Source: c.want, Bound: 17, OwnBound: 17}, lease.Permit)
		})
	}
	t.Run("requests of a small fleet need no permit", func(t *testing.T) {
		lease, err := newFixture(t, 12).PickWithPermit(sticky("s"), (&fakeOwner{}).acquire)
		require.NoError(t, err)
		assert.Zero(t, lease.Permit)
	})
	t.Run("permits of plain services have no load bound", func(t *testing.T) {
		lease, err := newFixture(t, 12).PickWithPermit(PickRequest{Pool: "p", ObjectiveMs: 100}, (&fakeOwner{}).acquire)
		require.NoError(t, err)
		assert.Zero(t, lease.Permit)
	})
	t.Run("the refusals before count", func(t *testing.T) {
		lease, err := inLargeFleet(t, 120).PickWithPermit(sticky("s"), (&fakeOwner{refusals: 2}).acquire)
		require.NoError(t, err)
		assert.Equal(t, Permit{Source: OwnerPermit, Bound: 17, OwnBound: 17, Refusals: 2}, lease.Permit)
	})
	t.Run("with admission", func(t *testing.T) {
		force := prompted("s")
		force.Admission.Force = true
		for want, c := range map[PermitSource]struct {
			request PickRequest
			reply   admission.Reply
		}{
			OwnerPermit:     {prompted("s"), granted()},
			EstimatedPermit: {prompted("s"), unknown()},
			UnboundedPermit: {force, granted()},
		} {
			f := withOwners(inLargeFleet(t, 120), c.reply)
			lease, err := f.PickWithAdmission(context.Background(), c.request, f.admit)
			require.NoError(t, err)
			assert.Equal(t, want, lease.Permit.Source)
			assert.Equal(t, 17, lease.Permit.Bound)
		}
	})
}
