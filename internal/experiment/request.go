package experiment

import (
	"dooryard.example/dooryard/internal/balance"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/prompt"
)

// request is one request's way through the engines.
func (d *day) request(b *box) {
	d.requests++
	ask := balance.PickRequest{
		Pool: "p", Sticky: d.off != Sticky, Prompt: d.prompt(), Transfers: d.off != Fetch,
	}
	took, sent := clock.Millis(0), 0
	for range maxConnects {
		lease, err := b.Pick(ask)
		if err != nil {
			return
		}
		e := d.engineOf(lease)
		if wait, down := d.unreachable(b, e); down {
			took += wait
			d.release(lease)
			if d.off == Retry {
				return
			}
			ask.Tried = append(ask.Tried, lease.ID)
			continue
		}
		sent++
		d.attempts++
		if d.has(Errors) && d.random.IntN(percent) < errorPercent {
			lease.Release(balance.Failed)
			ask.Tried = append(ask.Tried, lease.ID)
			if d.off == Retry || sent >= maxAttempts {
				return
			}
			continue
		}
		d.serve(lease, e, ask.Prompt, took)
		return
	}
}

func (d *day) engineOf(lease *balance.Lease) *engine {
	for _, e := range d.engines {
		if e.ID == lease.ID {
			return e
		}
	}
	return nil
}

// unreachable reports whether no connection to an engine opens, and after which span that
// shows: a host that is there refuses at once.
func (d *day) unreachable(b *box, e *engine) (clock.Millis, bool) {
	switch {
	case !d.reaches(b.domain, e.FailureDomain):
		return silentMs, true
	case !e.up:
		return refusedMs, true
	default:
		return 0, false
	}
}

func (d *day) release(lease *balance.Lease) {
	result := balance.Unreachable
	if d.off == Ejection {
		result = balance.Neutral
	}
	lease.Release(result)
}

// serve has an engine run a request: it reads what it does not keep and can't fetch.
func (d *day) serve(lease *balance.Lease, e *engine, p prompt.Prompt, took clock.Millis) {
	source := d.sourceOf(lease, e)
	read, moved := ownTokens, 0
	for _, part := range p.Shared() {
		d.tokens += part.Tokens
		switch {
		case e.keeps[part.ID]:
		case source != nil && source.keeps[part.ID]:
			moved += part.Tokens
		default:
			read += part.Tokens
			if d.read[part.ID] {
				d.again += part.Tokens
			}
		}
		e.keeps[part.ID], d.read[part.ID] = true, true
	}
	d.moved += moved
	took += answerMs + clock.Millis(read/tokensPerMs+moved/movesPerMs)
	lease.RecordResponseStart()
	d.ends = append(d.ends, end{atMs: d.now + took + streamMs, lease: lease})
	d.served++
	if took <= objectiveMs {
		d.inTime++
	}
}

// sourceOf is the engine that cached parts are fetched from, if it can be reached.
func (d *day) sourceOf(lease *balance.Lease, e *engine) *engine {
	for _, other := range d.engines {
		if other.Address == lease.FetchFrom && other.up && d.reaches(e.FailureDomain, other.FailureDomain) {
			return other
		}
	}
	return nil
}
