package gateway

import (
	"cmp"
	"context"
	"net/http"

	"dooryard.example/dooryard/internal/balance"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/upstream"
)

// survival returns what is known of an upstream that has closed a connection in order, as the kernel does for a
// process that is gone. It has survived if it runs on and no other incarnation has appeared at its address since the
// request was sent. Failed probes may also mean that the process ended after its last response, or that this box is
// partitioned from it: that the response was whole is not known then either.
//
// If nothing of the process can be asked, it counts as gone once all its connections have ended, and with them another
// response or a witness.
func (b *Box) survival(ctx context.Context, lease *balance.Lease, sentMs clock.Millis) upstream.Survival {
	client, endedMs := lease.Client(), b.clock.Monotonic()
	probe := func() upstream.Liveness { return client.ProbeLiveness(ctx) }
	found := upstream.SurvivesClose(ctx, probe, b.askForLife(lease))
	switch {
	case found == upstream.Gone || b.registry.AddressReused(lease.Identity(), sentMs):
		return upstream.Gone
	case client.KeepsConnection(ctx, sentMs):
		return upstream.Responding
	case found == upstream.Rejecting:
		return upstream.Gone
	case found != upstream.Responding &&
		(client.BrokeWith(max(sentMs, endedMs-upstream.CloseSettleMs), endedMs) || client.Witness().ShowsGone(endedMs)):
		return upstream.Gone
	default:
		return b.checkStart(ctx, lease, found)
	}
}

// startTimeoutMs is how long a process has for telling its start time, a few round trips.
const startTimeoutMs clock.Millis = 250

// checkStart returns what is known of an upstream once its process has told its start time, which shows a restart under
// its ID, or what was found before if it doesn't tell.
func (b *Box) checkStart(ctx context.Context, lease *balance.Lease, found upstream.Survival) upstream.Survival {
	if b.dialect.ReportPath == "" || !lease.MayKeepID() {
		return found
	}
	ctx, cancel := b.clock.WithTimeout(ctx, startTimeoutMs)
	defer cancel()
	startedMs := b.dialect.DecodeStart(lease.Client().Report(ctx, b.dialect.ReportPath))
	switch {
	case startedMs == 0:
		return found
	case lease.RecordStart(startedMs):
		return upstream.Responding
	default:
		return upstream.Gone
	}
}

// askForLife returns a function that asks the process of an upstream for a sign of life: by a health check, or else by
// its report. It returns nil if there is neither.
func (b *Box) askForLife(lease *balance.Lease) func(ctx context.Context) upstream.Confirmation {
	healthPath := b.healthPath(lease.Pool)
	path := cmp.Or(healthPath, b.dialect.ReportPath)
	if path == "" {
		return nil
	}
	header := http.Header{}
	if b.dialect.ExpectUpstream != "" {
		header.Set(b.dialect.ExpectUpstream, lease.ID)
	}
	return func(ctx context.Context) upstream.Confirmation {
		status, response := lease.Client().CheckHealth(ctx, path, header)
		id := response.Get(b.dialect.UpstreamID)
		switch {
		case status == 0 && ctx.Err() != nil && healthPath == "":
			// It may have no report.
			return upstream.FromUnknown
		case status == 0 && ctx.Err() != nil:
			return upstream.NoResponse
		case status == 0:
			return upstream.BrokenOff
		case status == http.StatusMisdirectedRequest || id != "" && id != lease.ID:
			return upstream.FromAnother
		case id == "" && (healthPath == "" || status == http.StatusOK && b.dialect.UpstreamID != ""):
			return upstream.FromUnknown
		default:
			return upstream.FromProcess
		}
	}
}

// healthPath returns the path of a pool's health checks, or none.
func (b *Box) healthPath(pool string) string {
	if state := b.routingState.State(); state != nil {
		if p := state.Pool(pool); p != nil {
			return p.HealthPath
		}
	}
	return ""
}

// probeCrash determines whether an upstream's process is running, and whether it has crashed. A crash shows if its host
// refuses connections or doesn't respond while other upstreams accept them. Otherwise this box is partitioned from the
// upstreams, which is reported as Unresponsive.
func (b *Box) probeCrash(ctx context.Context, member *balance.Member) (found upstream.Liveness, crashed bool) {
	startMs := b.clock.Monotonic()
	found = member.Client().ProbeLiveness(ctx)
	switch {
	case found == upstream.Alive || ctx.Err() != nil:
		return found, false
	case found == upstream.Dead && b.refusedByOthers(ctx, member):
		return upstream.Unresponsive, false
	case found == upstream.Dead:
		return found, true
	case b.clock.Monotonic()-startMs > upstream.HostReachableTimeoutMs+checkDelayThresholdMs:
		// This process was paused during the probe, so its timeout proves nothing.
		return found, false
	default:
		return found, anyAlive(ctx, b.balance.ProbeTargetsBeside(member))
	}
}

// refusedByOthers reports whether none of some other upstreams accepts connections. A refusal by all of them shows that
// this box is partitioned from the upstreams, rather than that each of them has crashed.
func (b *Box) refusedByOthers(ctx context.Context, member *balance.Member) bool {
	others := b.balance.ProbeTargetsExcept(member)
	return len(others) > 0 && !anyAlive(ctx, others)
}

// anyAlive opens connections to some upstreams in parallel, and reports whether any of them accepted.
func anyAlive(ctx context.Context, clients []*upstream.Client) bool {
	return anyOf(clients, func(c *upstream.Client) bool { return c.ProbeLiveness(ctx) == upstream.Alive })
}
