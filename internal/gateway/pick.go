package gateway

import (
	"context"

	"dooryard.example/dooryard/internal/admission"
	"dooryard.example/dooryard/internal/balance"
	"dooryard.example/dooryard/internal/mesh"
	"dooryard.example/dooryard/internal/occupancy"
	"dooryard.example/dooryard/internal/opaque"
	"dooryard.example/dooryard/internal/pipe/dispatch"
)

// admitFunc asks the owner of an upstream, which is in a failure domain.
type admitFunc func(ctx context.Context, failureDomain string, a admission.Ask) admission.Reply

// askOwner returns the function that asks the owners of upstreams.
func (b *Box) askOwner() admitFunc { return b.peering.mesh.Admit }

// pick chooses an upstream. It also acquires a permit from the box that owns the upstream, for a request to a plain
// service with a latency objective and, except in a small fleet, for a prompt. With admission, owners admit prompts
// instead, except where upstreams are brittle: permits limit the rejections of those.
func (b *Box) pick(ctx context.Context, request balance.PickRequest) (*balance.Lease, error) {
	if request.Admission != nil && !b.balance.IsBrittle(request.Pool) {
		return b.balance.PickWithAdmission(ctx, request, b.admit)
	}
	request.Admission = nil
	return b.balance.PickWithPermit(request, func(lease *balance.Lease, bound int) occupancy.Reply {
		return b.peering.mesh.AcquirePermit(ctx, mesh.PermitRequest{
			Upstream: lease.Key(), FailureDomain: lease.FailureDomain, Bound: bound, WithinMs: lease.WithinMs(),
		})
	})
}

// admit asks the owner of the lease's engine.
func (b *Box) admit(ctx context.Context, lease *balance.Lease, ask admission.Ask) admission.Reply {
	if ask.MayQueue {
		b.metrics.AdmissionWaiting(1)
		defer b.metrics.AdmissionWaiting(-1)
	}
	return b.askAdmission(ctx, lease.FailureDomain, ask)
}

// admissionEnabled reports whether the settings, or the terms of the platform, enable admission.
func (b *Box) admissionEnabled() bool {
	settings := b.settings.Load()
	return settings.Admission.Enabled || b.features != nil && b.features(settings.PlatformTerms).Admission
}

// admission returns how the pipeline has prompts admitted.
func (b *Box) admission() dispatch.Admission {
	return dispatch.Admission{
		Enabled: b.admissionEnabled,
		Reauthorise: func(r *opaque.Request) error {
			return b.steps.authorise.Reauthorise(r, b.routingState.State())
		},
		ExpectOutput: b.lengths.Expect, ObserveEvents: b.lengths.ObserveEvents,
		ObserveStream: b.lengths.ObserveStream, AllowForStream: b.lengths.AllowForStream,
		OnDecided: b.metrics.AdmissionDecided, RetryAfter: b.balance.RetryAfterOverload,
	}
}

// boxesPerReport returns the number of boxes for each one whose unstarted prompts this box knows. Boxes don't tell each
// other of these, so that it knows its own only. The balancer calls it with its lock held, and the mesh calls the
// balancer with its own, so that it must not ask the mesh.
func (b *Box) boxesPerReport() float64 { return float64(max(1, b.knownBoxes.Load())) }
