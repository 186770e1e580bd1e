package daemon

import (
	"errors"
	"os"
	"runtime/debug"

	"golang.org/x/sys/unix"
)

// standardOutput is the standard output of this process, which can be opened anew.
const standardOutput = "/proc/self/fd/1"

// logCrashes makes the Go runtime write the trace of a crash to standard output as well, where the log is, since only
// that may be kept. It does nothing if standard error is the same file. The trace is no JSON: nothing of the program
// runs after a fatal error of the runtime.
func logCrashes() error {
	if isSame(os.Stdout, os.Stderr) {
		return nil
	}
	// Without a reader, a write to the same open file would keep the process from ending.
	fd, err := unix.Open(standardOutput, unix.O_WRONLY|unix.O_APPEND|unix.O_NONBLOCK|unix.O_CLOEXEC, 0)
	if err != nil {
		// It may belong to another user, who started the process.
		return debug.SetCrashOutput(os.Stdout, debug.CrashOptions{})
	}
	file := os.NewFile(uintptr(fd), standardOutput)
	err = debug.SetCrashOutput(file, debug.CrashOptions{})
	// SetCrashOutput makes the open file block.
	return errors.Join(err, unix.SetNonblock(fd, true), file.Close())
}

// isSame reports whether two files are the same, or one of them is not open.
func isSame(one, other *os.File) bool {
	first, err := one.Stat()
	if err != nil {
		return true
	}
	second, err := other.Stat()
	return err != nil || os.SameFile(first, second)
}
