package soak

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// stopSlack is how long after the grace period a process that got SIGTERM must have exited.
	stopSlack = time.Second
	// maxStopWait is how long after SIGTERM a process must have exited even if it waits for a processor.
	maxStopWait = time.Minute
)

// askedEnd is what the run asked a process for that bears on its end.
type askedEnd struct {
	// killed is set once it was killed, terminated is when it first got SIGTERM.
	killed     bool
	terminated time.Time
	// waited is for how long each of its threads had waited for a processor by then, and ran for how long all had run.
	waited map[string]time.Duration
	ran    time.Duration
	// dumped is set once it was made to write its goroutines, which ends it.
	dumped bool
	// paused is set if it was stopped after SIGTERM, or has not been resumed since.
	paused bool
	// held is set while it is stopped.
	held bool
	// early holds the signals that were sent before the program could receive them.
	early []earlySignal
}

// earlySignal is a signal that was sent at a time.
type earlySignal struct {
	signal syscall.Signal
	at     time.Time
}

// earlySpan is how long after its start a program may not receive signals yet, and how soon after such a signal the
// kernel has ended the process.
const earlySpan = time.Second

// receives reports whether the program receives a signal that is sent now. It receives SIGTERM and SIGINT before it
// writes its first line; until then nothing of the box is open, and it may end by them. SIGHUP must not end it once any
// of its code has run.
func (p *process) receives(i *incarnation, s syscall.Signal) bool {
	switch {
	case time.Since(i.started)-i.withheld >= earlySpan:
		return true
	case s == syscall.SIGHUP:
		return p.replaced(i) && hasSignal(i.command.Process.Pid, s, "SigIgn", "SigCgt")
	default:
		return i.wrote
	}
}

// hasSignal reports whether one of a process's sets has a signal: "SigCgt" has those with a handler, "SigIgn" those
// that are ignored. Until the program, or the Go runtime before it, puts it into one, the kernel ends the process.
func hasSignal(pid int, s syscall.Signal, sets ...string) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return true
	}
	found := uint64(0)
	for _, field := range sets {
		_, after, _ := strings.Cut(string(status), "\n"+field+":\t")
		mask, _, _ := strings.Cut(after, "\n")
		signals, err := strconv.ParseUint(mask, 16, 64)
		if err != nil {
			return true
		}
		found |= signals
	}
	return found&(1<<(s-1)) != 0
}

// record records a signal that is about to be sent.
func (a *askedEnd) record(s syscall.Signal, now time.Time) {
	switch s {
	case syscall.SIGKILL:
		a.killed = true
	case syscall.SIGTERM:
		if a.terminated.IsZero() {
			a.terminated = now
		}
	case syscall.SIGSTOP:
		a.paused, a.held = true, true
	case syscall.SIGCONT:
		// It may belong to a pause of the process before.
		a.paused, a.held = a.paused && !a.terminated.IsZero(), false
	default:
	}
}

// exit is the end of a process.
type exit struct {
	at    time.Time
	ranMs int64
	// status is the exit status or the signal, as text.
	status string
	ok     bool
	// signal is the signal that ended the process, or -1.
	signal syscall.Signal
	// program is what was run.
	program string
	asked   askedEnd
}

// recordExit records the end of a process.
func (p *process) recordExit(i *incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := i.command.ProcessState
	e := exit{
		at: time.Now(), ranMs: time.Since(i.started).Milliseconds(), status: state.String(), ok: state.Success(),
		signal: -1, asked: i.asked, program: i.command.Path,
	}
	if status, isStatus := state.Sys().(syscall.WaitStatus); isStatus {
		e.signal = status.Signal()
	}
	i.endedEarly = e.tooEarly()
	p.exits = append(p.exits, e)
}

// ends returns the times at which processes ended.
func (p *process) ends() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []time.Time{}
	for _, e := range p.exits {
		list = append(list, e.at)
	}
	return list
}

// recordProblem records what went wrong with the process beside its exits.
func (p *process) recordProblem(problem string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.problems = append(p.problems, p.name+": "+problem)
}

// kind returns by what the process was asked to end, and how it ended.
func (e exit) kind() string {
	switch {
	case e.endedByKill():
		return "SIGKILL"
	case e.tooEarly():
		return "before it could receive signals: " + e.status
	case !e.asked.terminated.IsZero():
		return "SIGTERM: " + e.status
	default:
		return "not asked for: " + e.status
	}
}

// describeWaits tells how long a process waited for a processor before it got SIGTERM, which tells one that could not
// have begun to run from one that ignores signals.
func (e exit) describeWaits() string {
	if waited := longestWait(nil, e.asked.waited); waited > 0 {
		return fmt.Sprintf("; one of its threads had waited %s for a processor before", millis(waited))
	}
	return ""
}

// faulty reports whether the process ended although the run hadn't asked for it, or failed after SIGTERM. One that
// ended before a SIGKILL reached it ended by itself.
func (e exit) faulty() bool {
	if e.endedByKill() || e.tooEarly() {
		return false
	}
	return e.asked.terminated.IsZero() || !e.ok
}

// endedByKill reports whether the run killed the process.
func (e exit) endedByKill() bool {
	return e.asked.killed && (e.signal == syscall.SIGKILL || e.asked.dumped)
}

// tooEarly reports whether a signal ended the process that was sent before the program could receive it.
func (e exit) tooEarly() bool {
	return slices.ContainsFunc(e.asked.early, func(s earlySignal) bool {
		return s.signal == e.signal && e.at.Sub(s.at) < earlySpan
	})
}

// outputMarks begin the lines that the Go runtime writes when a program fails.
func outputMarks() []string {
	return []string{"panic: ", "fatal error: ", "runtime/cgo: ", "WARNING: DATA RACE"}
}

// lineMarks are in the lines of programs that have survived a panic.
func lineMarks() []string {
	return []string{`"msg":"part panicked"`, `"msg":"part lost"`, `"msg":"handler panicked"`}
}

// tellsFailure reports whether a line of a program's output tells a failure of the program.
func tellsFailure(line string) bool {
	return slices.ContainsFunc(outputMarks(), func(mark string) bool { return strings.HasPrefix(line, mark) }) ||
		slices.ContainsFunc(lineMarks(), func(mark string) bool { return strings.Contains(line, mark) })
}

// findings returns what went wrong in the process's starts, ends and output.
func (p *process) findings() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := append(p.limitFindings(), p.problems...)
	for _, e := range p.exits {
		if e.faulty() {
			program := ""
			if e.program == p.earlierProgram {
				program = " of the earlier program"
			}
			list = append(list, fmt.Sprintf("%s: a process%s ended %d ms after its start, at %s: %s%s",
				p.name, program, e.ranMs, e.at.Format(timeOfDay), e.kind(), e.describeWaits()))
		}
	}
	return append(list, p.outputFindings()...)
}

// outputFindings returns the lines of the log file that tell a failure of the program.
func (p *process) outputFindings() []string {
	file, err := os.Open(p.log)
	if err != nil {
		return []string{fmt.Sprintf("%s: its output is missing: %v", p.name, err)}
	}
	defer func() { _ = file.Close() }()
	list := []string{}
	reader := bufio.NewReader(file)
	for err == nil {
		var line string
		line, err = reader.ReadString('\n')
		if tellsFailure(line) {
			list = append(list, p.name+": "+strings.TrimSpace(line))
		}
	}
	return list
}

// processFindings returns the findings of all processes, and counts how they ended.
func (f *fleet) processFindings() (findings []string, ends map[string]int) {
	ends = map[string]int{}
	for _, b := range f.boxes {
		findings = append(findings, b.process.findings()...)
		b.process.mu.Lock()
		for _, e := range b.process.exits {
			ends[e.kind()]++
		}
		b.process.mu.Unlock()
	}
	return findings, ends
}
