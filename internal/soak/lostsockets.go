package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A listener of a box that runs may die while another process takes its port, for longer than a box would wait for an
// earlier process.
const (
	lostSocketGapMs = 2500
	maxLostMs       = 15_000
)

func lostSocketFaults() []processFault {
	return []processFault{{"a listener lost to another process", planLostSocket}}
}

// injectLostSockets takes listeners from boxes that run, until ctx ends.
func (f *fleet) injectLostSockets(ctx context.Context) {
	f.play(ctx, rand.New(rand.NewPCG(f.settings.Seed, 16)), lostSocketFaults(), lostSocketGapMs)
}

func planLostSocket(f *fleet, b *box, random *rand.Rand) func() error {
	// Callers are served meanwhile.
	port := []int{readinessPort, peersPort}[random.IntN(2)]
	span := drawMs(random, 0, maxLostMs)
	return func() error {
		if !b.changing.TryLock() {
			return nil
		}
		defer b.changing.Unlock()
		taken, err := b.takeListener(port)
		if err != nil || taken == nil {
			return err
		}
		// Whatever closes it first has an effect.
		closeTaken := func() { _ = taken.Close() }
		time.AfterFunc(span, closeTaken)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.closers = append(f.closers, closeTaken)
		return nil
	}
}

// takeListener shuts a listener of a box down and listens at its address, while the box is stopped for an instant. It
// returns nil if the box has no such listener.
func (b *box) takeListener(port int) (taken io.Closer, err error) {
	one := b.process.current()
	if b.process.askedToEnd(one) || one.command.Process.Signal(syscall.SIGSTOP) != nil {
		return nil, nil //nolint:nilnil // A box that ends or is paused keeps them.
	}
	found, err := shutListener(one.command.Process.Pid, port)
	if err == nil && found {
		if taken, err = b.listenOn("tcp", port); errors.Is(err, syscall.EADDRINUSE) {
			// The box has opened it anew before all of its threads had stopped.
			taken, err = nil, nil
		}
	}
	if resumed := one.command.Process.Signal(syscall.SIGCONT); resumed != nil {
		err = errors.Join(err, fmt.Errorf("resume: %w", resumed))
	}
	return taken, err
}

// shutListener shuts the listener of a process at a port down. It reports whether there is one.
func shutListener(pid, port int) (bool, error) {
	process, err := unix.PidfdOpen(pid, 0)
	if err != nil {
		return false, fmt.Errorf("open process: %w", err)
	}
	defer func() { _ = unix.Close(process) }()
	folder := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	entries, err := os.ReadDir(folder)
	if err != nil {
		return false, fmt.Errorf("descriptors: %w", err)
	}
	for _, entry := range entries {
		number, err := strconv.Atoi(entry.Name())
		if err != nil {
			return false, fmt.Errorf("descriptor: %w", err)
		}
		fd, err := unix.PidfdGetfd(process, number, 0)
		if errors.Is(err, unix.EBADF) {
			// It has been closed meanwhile.
			continue
		}
		if err != nil {
			return false, fmt.Errorf("descriptor: %w", err)
		}
		isIt := isListenerAt(fd, port)
		if isIt {
			err = unix.Shutdown(fd, unix.SHUT_RDWR)
		}
		if err = errors.Join(err, unix.Close(fd)); isIt || err != nil {
			return isIt, err
		}
	}
	return false, nil
}

// isListenerAt reports whether a descriptor is a TCP listener at a port. Other kinds of files fail.
func isListenerAt(fd, port int) bool {
	listens, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN)
	if err != nil || listens == 0 {
		return false
	}
	address, err := unix.Getsockname(fd)
	v4, ok := address.(*unix.SockaddrInet4)
	return err == nil && ok && v4.Port == port
}
