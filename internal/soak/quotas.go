package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Quotas of processor time: a box runs for a share of each quotaPeriod. The smallest share leaves several slices of
// processor time in the last part of the grace period, and a program needs one to exit. So none excuses a late exit.
const (
	quotaPeriod     = 100 * time.Millisecond
	minShareMs      = 5
	shareRangeMs    = 56
	minQuotaMs      = 1000
	quotaRangeMs    = 5001
	quotaGapMs      = 1900
	maxQuotaLeadMs  = 1000
	quotaToExitSpan = maxQuotaLeadMs*time.Millisecond + stopSpan + stopSlack
)

// severalProcessors is how many processors every other box may use, so that it runs goroutines at once.
const severalProcessors = 8

// oneProcessor makes the other boxes use one processor at most, so that they run no goroutines at once in their slices.
var oneProcessor = []string{"GOMAXPROCS=1"}

func quotaFaults() []processFault {
	return []processFault{
		{"processor quota", planQuota},
		{"processor quota before a stop", planQuotaBeforeStop},
		{"processor quota in a stop", planQuotaInStop},
	}
}

// injectQuotas puts boxes under quotas of processor time, also in stops, until ctx ends.
func (f *fleet) injectQuotas(ctx context.Context) {
	f.play(ctx, rand.New(rand.NewPCG(f.settings.Seed, 10)), quotaFaults(), quotaGapMs)
}

func drawShare(random *rand.Rand) time.Duration { return drawMs(random, minShareMs, shareRangeMs) }

func planQuota(f *fleet, b *box, random *rand.Rand) func() error {
	share, span := drawShare(random), drawMs(random, minQuotaMs, quotaRangeMs)
	return func() error {
		f.throttle(b, share, span)
		return nil
	}
}

// planQuotaBeforeStop stops a box that is under a quota until its process is gone. In every other case both begin at
// once.
func planQuotaBeforeStop(f *fleet, b *box, random *rand.Rand) func() error {
	share, down := drawShare(random), drawMs(random, 0, maxDownMs)
	lead := drawMs(random, 0, maxQuotaLeadMs) * time.Duration(random.IntN(2))
	return func() error {
		var quota sync.WaitGroup
		defer quota.Wait()
		quota.Go(func() { f.throttle(b, share, quotaToExitSpan) })
		time.Sleep(lead)
		return f.stopAndStart(b, signals{}.send, down)
	}
}

// planQuotaInStop puts a box under a quota during a stop, until its process is gone.
func planQuotaInStop(f *fleet, b *box, random *rand.Rand) func() error {
	share, down := drawShare(random), drawMs(random, 0, maxDownMs)
	delay := drawMs(random, 0, shutdownGraceS*1000) //nolint:mnd // Milliseconds.
	return func() error {
		var quota sync.WaitGroup
		defer quota.Wait()
		return f.stopAndStart(b, func(b *box) error {
			quota.Go(func() {
				time.Sleep(delay)
				f.throttle(b, share, quotaToExitSpan)
			})
			return nil
		}, down)
	}
}

// throttle lets the current process of a box run for a share of each quotaPeriod, until a span has passed or the
// process is gone.
func (f *fleet) throttle(b *box, share, span time.Duration) {
	one, begun := b.process.beginQuota()
	if !begun {
		return
	}
	defer b.process.endQuota(one)
	defer f.history.beginDisturbance(b.name, interval{share: share})()
	for until := time.Now().Add(span); time.Now().Before(until); {
		if !b.process.withhold(one, quotaPeriod-share) {
			return
		}
		select {
		case <-one.exited:
			return
		case <-time.After(share):
		}
	}
}

// beginQuota returns the current process, unless none is running or it is under a quota already.
func (p *process) beginQuota() (one *incarnation, begun bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() || p.throttled {
		return nil, false
	}
	p.throttled = true
	return p.incarnation, true
}

func (p *process) endQuota(i *incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i.throttled = false
}

// withhold stops a process for some time. It reports whether the process is to be kept under its quota.
func (p *process) withhold(i *incarnation, span time.Duration) bool {
	if !p.sendSlice(i, syscall.SIGSTOP) {
		return false
	}
	time.Sleep(span)
	p.mu.Lock()
	i.withheld += span
	p.mu.Unlock()
	return p.sendSlice(i, syscall.SIGCONT)
}

// sendSlice sends a signal of a quota, which does not count as a pause. It reports whether the process is running and
// to be kept under its quota.
func (p *process) sendSlice(i *incarnation, s syscall.Signal) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !i.running() || s == syscall.SIGSTOP && i.asked.dumped {
		return false
	}
	if s == syscall.SIGCONT && i.asked.held {
		return true
	}
	// A process that has ended was collected by Wait, which os.Process knows.
	return i.command.Process.Signal(s) == nil
}
