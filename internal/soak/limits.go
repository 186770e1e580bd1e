package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// otherThreads is how many threads a box may have beside one for each processor in its settings.
	otherThreads = 9
	// spareThreads is how many more it may have if its user's threads have no low limit, since it reserves as many more.
	spareThreads = 4
	// openFiles is what the settings of boxes with limits allow.
	openFiles = 1024
	// fewestFiles bounds how often the limit of open files is halved.
	fewestFiles = 3
	// smallStack is the stack of a thread in bytes, which the C library allots by the limit.
	smallStack = 256 << 10
	// firstLimitsStream is the first stream of random numbers of limits.
	firstLimitsStream = 20_000
	// firstUser and userCount are the users of runs, of which none is to exist.
	firstUser      = 20_000
	userCount      = 10_000
	lowerNice      = 10
	closedMask     = 0o077
	ownFolder      = 0o700
	readOnly       = 0o555
	sharedFile     = 0o755
	manyProcessors = "GOMAXPROCS=128"
	// unusualOneIn is how often a box gets one of the surroundings that are drawn for it.
	unusualOneIn = 3
	// threadsInterval is the time between two counts of threads.
	threadsInterval = 20 * time.Millisecond
)

// maxThreads returns how many threads a box may have, whatever the machine.
func maxThreads(processors int) int { return max(1, processors) + otherThreads }

// limits are the limits and surroundings that a process inherits from whoever starts it.
type limits struct {
	// Program and Arguments are what is run. The first argument is the program's name.
	Program   string
	Arguments []string
	// Threads is how many threads the process may have.
	Threads int
	// User is the user ID, or 0 for that of the run.
	User int
	// Limits are the values of resource limits.
	Limits map[int]uint64
	// Ignored and Blocked are signals that the process does not get unless it asks for them.
	Ignored, Blocked []syscall.Signal
	// Environment is added to that of the run, unless NoEnvironment is set.
	Environment   []string
	NoEnvironment bool
	// NoFolder removes the working folder, NoStreams closes standard input, output and error.
	NoFolder, NoStreams bool
	// OneProcessor allows the process one processor of the machine, which Draw selects.
	OneProcessor bool
	Draw         int
	Nice, Mask   int
}

// drawLimits returns limits and surroundings for one of a number of processes, which run as a user of their own. If
// user is 0, they run as that of the run, whose threads have no limit since other processes count towards it.
func drawLimits(random *rand.Rand, user, processes, threads int) limits {
	seldom := func() bool { return random.IntN(unusualOneIn) == 0 }
	l := limits{
		User: user, Threads: threads,
		Limits: map[int]uint64{
			unix.RLIMIT_NOFILE: openFiles >> random.IntN(fewestFiles),
			unix.RLIMIT_STACK:  []uint64{smallStack, unix.RLIM_INFINITY}[random.IntN(2)],
		},
		Environment:   [][]string{nil, {manyProcessors}}[random.IntN(2)],
		NoEnvironment: seldom(), NoFolder: seldom(), NoStreams: seldom(), OneProcessor: seldom(),
		Draw: random.Int(),
	}
	if user != 0 {
		l.Limits[unix.RLIMIT_NPROC] = uint64(processes * threads)
	}
	if seldom() {
		l.Nice = lowerNice
	}
	if seldom() {
		l.Mask = closedMask
	}
	for _, s := range inheritedSignals() {
		switch random.IntN(unusualOneIn) {
		case 0:
			l.Ignored = append(l.Ignored, s)
		case 1:
			l.Blocked = append(l.Blocked, s)
		default:
		}
	}
	return l
}

// inheritedSignals are those that shells, and what starts jobs in the background, ignore or block.
func inheritedSignals() []syscall.Signal {
	return []syscall.Signal{
		syscall.SIGHUP, syscall.SIGINT, syscall.SIGQUIT, syscall.SIGTERM, syscall.SIGPIPE, syscall.SIGCHLD,
	}
}

// limitsVariable is the environment variable for the file of the limits under which this program is to run another one.
const limitsVariable = "DOORYARD_SOAK_LIMITS"

// RunLimited replaces this process by the program under limits that a run has asked for. It returns if none has. Main
// functions call it first.
func RunLimited() {
	path := os.Getenv(limitsVariable)
	if path == "" {
		return
	}
	err := runLimited(path)
	fmt.Fprintf(os.Stderr, "fatal error: run a box under limits: %v\n", err)
	os.Exit(1)
}

func runLimited(path string) error {
	var l limits
	content, err := os.ReadFile(path)
	if err == nil {
		err = errors.Join(json.Unmarshal(content, &l), os.Unsetenv(limitsVariable))
	}
	if err != nil {
		return err
	}
	// Some of what is set holds for one thread, which is the only one once the program is replaced.
	runtime.LockOSThread()
	for _, step := range []func() error{
		func() error { return l.setFolder(filepath.Dir(path)) }, l.setSignals, l.setProcessors, l.setLimits, l.setUser,
	} {
		if err := step(); err != nil {
			return err
		}
	}
	unix.Umask(l.Mask)
	if l.NoStreams {
		for stream := range 3 {
			unix.CloseOnExec(stream)
		}
	}
	environment := os.Environ()
	if l.NoEnvironment {
		environment = nil
	}
	return syscall.Exec(l.Program, l.Arguments, environment)
}

// setFolder makes a folder that it removes the working folder. If this process is killed meanwhile, it is left in the
// parent folder.
func (l *limits) setFolder(parent string) error {
	if !l.NoFolder {
		return nil
	}
	folder, err := os.MkdirTemp(parent, "gone-")
	if err != nil {
		return err
	}
	return errors.Join(os.Chdir(folder), os.Remove(folder))
}

func (l *limits) setSignals() error {
	// Those that this process has inherited as ignored are handled then, and have their default actions afterwards.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP, syscall.SIGINT)
	for _, s := range l.Ignored {
		signal.Ignore(s)
	}
	var mask unix.Sigset_t
	for _, s := range l.Blocked {
		// The first word has the signals up to 32 on each architecture.
		mask.Val[0] |= 1 << (s - 1)
	}
	return unix.PthreadSigmask(unix.SIG_SETMASK, &mask, nil)
}

func (l *limits) setProcessors() error {
	if err := unix.Setpriority(unix.PRIO_PROCESS, 0, l.Nice); l.Nice != 0 && err != nil {
		return fmt.Errorf("nice %d: %w", l.Nice, err)
	}
	if !l.OneProcessor {
		return nil
	}
	var allowed, one unix.CPUSet
	if err := unix.SchedGetaffinity(0, &allowed); err != nil {
		return err
	}
	left := l.Draw % allowed.Count()
	for processor := 0; one.Count() == 0; processor++ {
		if allowed.IsSet(processor) {
			if left == 0 {
				one.Set(processor)
			}
			left--
		}
	}
	return unix.SchedSetaffinity(0, &one)
}

func (l *limits) setLimits() error {
	for resource, value := range l.Limits {
		limit := unix.Rlimit{Cur: value, Max: value}
		if err := unix.Prlimit(0, resource, &limit, nil); err != nil {
			return fmt.Errorf("limit %d at %d: %w", resource, value, err)
		}
	}
	return nil
}

// setUser changes the user of this thread. The others must not count as threads of the user.
func (l *limits) setUser() error {
	if l.User == 0 {
		return nil
	}
	id := uintptr(l.User)
	for _, call := range [][4]uintptr{
		{unix.SYS_SETGROUPS}, {unix.SYS_SETRESGID, id, id, id}, {unix.SYS_SETRESUID, id, id, id},
	} {
		if _, _, code := unix.RawSyscall(call[0], call[1], call[2], call[3]); code != 0 {
			return fmt.Errorf("user %d: %w", l.User, code)
		}
	}
	return nil
}

// prepareLimits copies the gateway to a folder that the user of the run can read, if boxes have limits.
func (f *fleet) prepareLimits() (err error) {
	if !f.settings.Limits {
		return nil
	}
	if f.folder, err = os.MkdirTemp("", "dooryard-soak-"); err != nil {
		return err
	}
	f.closers = append(f.closers, func() {
		// Whatever is left is in the folder for temporary files.
		_ = errors.Join(os.Chmod(f.folder, ownFolder), os.RemoveAll(f.folder))
	})
	// The system names programs by paths without symbolic links.
	if f.folder, err = filepath.EvalSymlinks(f.folder); err != nil {
		return err
	}
	content, err := os.ReadFile(f.settings.Program)
	if err != nil {
		return err
	}
	f.settings.Program = filepath.Join(f.folder, "dooryard-gateway")
	return errors.Join(os.WriteFile(f.settings.Program, content, sharedFile), os.Chmod(f.folder, sharedFile))
}

// capacitySettings are the settings of the capacity of a box.
func (s *Settings) capacitySettings(box int) string {
	switch {
	case s.Limits:
		return s.limitedSettings()
	case s.Processors > 0 && box%2 == 0:
		return fmt.Sprintf("capacity: {processors: %d}\n", severalProcessors)
	default:
		return ""
	}
}

// limitedSettings are the settings of the capacity of a box with limits.
func (s *Settings) limitedSettings() string {
	processors := ""
	if s.Processors > 0 {
		processors = fmt.Sprintf(", processors: %d", s.Processors)
	}
	return fmt.Sprintf("capacity: {open_files: %d%s}\n", openFiles, processors)
}

// limitBox draws limits for a box whose process has not been started. All boxes of a run have one user, if the run may
// change it.
func (f *fleet) limitBox(p *process, box int) error {
	random := rand.New(rand.NewPCG(f.settings.Seed, uint64(firstLimitsStream+box)))
	user := 0
	if os.Geteuid() == 0 {
		user = firstUser + int(f.settings.Seed%userCount)
	}
	processes := f.settings.Boxes
	if f.settings.Overlaps {
		processes += f.settings.Boxes * maxOverlaps / minStopsApart
	}
	threads := maxThreads(f.settings.Processors)
	if user == 0 {
		threads += spareThreads
	}
	l := drawLimits(random, user, processes, threads)
	p.settings = filepath.Join(f.folder, p.name+".yaml")
	err := os.WriteFile(p.settings, []byte(p.content), 0o600)
	if err == nil && user != 0 {
		err = os.Chown(p.settings, user, user)
	}
	if err != nil {
		return err
	}
	return p.useLimits(l, filepath.Join(f.settings.Folder, p.name+".limits.json"))
}

// useLimits makes the process run under limits, which it writes to a file.
func (p *process) useLimits(l limits, path string) error {
	l.Program, l.Arguments = p.program, []string{p.program, "--settings", p.settings}
	content, err := json.Marshal(l)
	if err != nil {
		return err
	}
	launcher, err := os.Executable()
	if err != nil {
		return err
	}
	if path, err = filepath.Abs(path); err != nil {
		return err
	}
	p.launcher, p.limits = launcher, &l
	p.environment = append(append(p.environment, l.Environment...), limitsVariable+"="+path)
	return os.WriteFile(path, content, 0o600)
}

// sampleThreads counts the threads of boxes from time to time until ctx ends.
func (f *fleet) sampleThreads(ctx context.Context) {
	for ctx.Err() == nil {
		for _, b := range f.boxes {
			b.process.sampleThreads()
		}
		sleep(ctx, threadsInterval)
	}
}

// sampleThreads counts the threads of the process, unless its launcher is still running.
func (p *process) sampleThreads() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() || !p.replaced(p.incarnation) {
		return
	}
	p.threads = max(p.threads, len(readThreads(p.command.Process.Pid, "comm")))
}

// limitFindings returns what the limits of the process tell of it.
func (p *process) limitFindings() []string {
	if p.limits == nil || p.threads <= p.limits.Threads {
		return nil
	}
	return []string{fmt.Sprintf("%s: %d threads, of which its settings allow %d", p.name, p.threads, p.limits.Threads)}
}

// awaitHandler waits until the program handles a signal that it has inherited as ignored, because it would be lost.
func (p *process) awaitHandler(i *incarnation, s syscall.Signal) {
	if p.limits == nil || !slices.Contains(p.limits.Ignored, s) {
		return
	}
	handled := func() bool { return p.replaced(i) && hasSignal(i.command.Process.Pid, s, "SigCgt") }
	for time.Since(i.started) < earlySpan && i.running() && !handled() {
		time.Sleep(linkPollInterval)
	}
}

// replaced reports whether a process runs its own program and not its launcher's any more.
func (p *process) replaced(i *incarnation) bool {
	program, err := os.Readlink(fmt.Sprintf("/proc/%d/exe", i.command.Process.Pid))
	return p.limits == nil || err == nil && program == p.program
}
