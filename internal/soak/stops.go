package soak

import "time"

// stopPollInterval is how often a process is looked at that still runs after its grace period.
const stopPollInterval = 100 * time.Millisecond

// exitsInTime waits until a process that got SIGTERM has exited, or is overdue.
func (i *incarnation) exitsInTime(asked askedEnd) bool {
	// The first look is for comparison with the next one.
	firstLook := asked.terminated.Add(shutdownGraceS*time.Second + stopSlack - stopPollInterval)
	if i.exitsWithin(time.Until(firstLook)) {
		return true
	}
	for before := timesOf(i.command.Process.Pid); !i.exitsWithin(stopPollInterval); {
		now := timesOf(i.command.Process.Pid)
		stop := runningStop{
			lasts: time.Since(asked.terminated), waited: longestWait(asked.waited, now.waits),
			ran: now.ran - asked.ran, starves: now.starvedSince(before),
		}
		if stop.overdue() {
			return false
		}
		before = now
	}
	return true
}

// exitsWithin waits until a process has exited, or a time is over.
func (i *incarnation) exitsWithin(span time.Duration) bool {
	select {
	case <-i.exited:
		return true
	case <-time.After(span):
		return false
	}
}

// runningStop is what is known of a process that got SIGTERM and runs.
type runningStop struct {
	// lasts is the time since SIGTERM, waited for how long one thread was ready meanwhile without running, and ran for
	// how long all threads ran.
	lasts, waited, ran time.Duration
	// starves is set while the process gets no processor. The kernel counts such a wait once it has ended.
	starves bool
}

// overdue reports whether the process should have exited: the grace period is over, without the time for which the
// process got no processor. A thread that waits for another one of its process isn't such time.
func (s runningStop) overdue() bool {
	withheld := max(0, s.waited-s.ran)
	late := s.lasts-withheld > shutdownGraceS*time.Second+stopSlack
	return late && !s.starves || s.lasts > maxStopWait
}

// timesOf returns the threads of a process.
func timesOf(pid int) threadTimes {
	t := threadTimes{waits: threadWaits(pid), ready: map[string]string{}, ran: processorTime(pid)}
	times := readThreads(pid, "schedstat")
	for thread, content := range readThreads(pid, "stat") {
		if threadState(content) == "R" {
			t.ready[thread] = times[thread]
		}
	}
	return t
}

// starvedSince reports whether a thread was ready at both times, and no thread has run in between.
func (t threadTimes) starvedSince(before threadTimes) bool {
	if t.ran != before.ran {
		return false
	}
	for thread, content := range t.ready {
		if earlier, ready := before.ready[thread]; ready && earlier == content {
			return true
		}
	}
	return false
}
