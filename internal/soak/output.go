package soak

import (
	"time"

	"golang.org/x/sys/unix"
)

// stalledPipeBytes is the capacity of a pipe that is not read, so that a box soon can't write to it.
const stalledPipeBytes = 4096

// copyOutput appends what a process writes to its standard output to the log file, until the process has exited or the
// reader is closed.
func (p *process) copyOutput(i *incarnation) {
	defer func() { _ = i.output.Close() }()
	buffer := make([]byte, linkBuffer)
	for {
		for p.outputStalled() {
			time.Sleep(linkPollInterval)
		}
		n, err := i.output.Read(buffer)
		p.recordOutput(i, n)
		// A log that lacks lines only makes a finding harder to trace.
		_, _ = p.out.Write(buffer[:n])
		if err != nil {
			return
		}
	}
}

// recordOutput records that bytes were read from the standard output of a process.
func (p *process) recordOutput(i *incarnation, count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i.wrote = i.wrote || count > 0
}

func (p *process) outputStalled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.stalledUntil)
}

// stallOutput stops reading the standard output for some time.
func (p *process) stallOutput(span time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalledUntil = time.Now().Add(span)
	raw, err := p.output.SyscallConn()
	if err != nil {
		return
	}
	// A pipe that holds more keeps its capacity, and a closed one needs none.
	_ = raw.Control(func(fd uintptr) { _, _ = unix.FcntlInt(fd, unix.F_SETPIPE_SZ, stalledPipeBytes) })
}

// closeOutput closes the reading side of the standard output of the current process.
func (p *process) closeOutput() {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The process may have exited before.
	_ = p.output.Close()
}
