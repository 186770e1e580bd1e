// Package gatewaycmd is the command line of dooryard-gateway.
package gatewaycmd

import (
	"context"
	"fmt"
	"math"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/urfave/cli/v3"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/cmd/daemon"
	"dooryard.example/dooryard/internal/gateway"
	"dooryard.example/dooryard/internal/guard"
	"dooryard.example/dooryard/internal/osthread"
	"dooryard.example/dooryard/internal/version"
	"dooryard.example/dooryard/pkg/config"
)

// New returns the command. It runs as a process, to whose output it writes log lines.
func New(process *daemon.Process, adapter gateway.Adapter) *cli.Command {
	return daemon.Daemon[config.Gateway]{
		Name:        "dooryard-gateway",
		Usage:       "route opaque requests on an entry box until a termination signal",
		EnvSettings: adapter.EnvSettings,
		Load:        config.LoadGateway,
		Adapt:       config.AdaptGateway,
		IsFinal:     config.HasWholeValues,
		Err:         process.Err,
		Run: func(ctx context.Context, path string, settings config.Gateway) error {
			return run(ctx, path, settings, process, adapter)
		},
	}.Command()
}

func run(
	ctx context.Context, path string, settings config.Gateway, process *daemon.Process, adapter gateway.Adapter,
) error {
	limitMemory(settings)
	tooFew := process.UseProcessors(settings.Capacity.Processors)
	c := clock.New(clock.WithBootTime())
	w := newWatcher(path, settings, c)
	w.useProcessors, w.tooFewThreads = process.UseProcessors, tooFew
	w.threadsNearLimit = process.ThreadsNearLimit
	b, err := gateway.New(settings, adapter, process.Out, gateway.WithClock(c))
	if err != nil {
		return err
	}
	defer guard.Handle(b.HandlePanic)()
	b.RecordProcess("starting", fmt.Sprintf("settings %s, process %d, version %s, processors %d of %d, threads %d, %s",
		path, os.Getpid(), version.String(), runtime.GOMAXPROCS(0), runtime.NumCPU(), osthread.Count(),
		limits(settings.Capacity)))
	if tooFew != nil {
		b.RecordProcess(threadsMissing, tooFew.Error())
	}
	ended, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	go recordSignals(ended, b, process.Notes)
	go w.run(ctx, b, process.Reload)
	return b.Run(ctx)
}

// recordSignals writes a line for each signal, also while the box stops.
func recordSignals(ctx context.Context, b *gateway.Box, notes <-chan string) {
	for {
		select {
		case note := <-notes:
			b.RecordProcess("signal received", note)
		case <-ctx.Done():
			return
		}
	}
}

const (
	mebibyte = 1 << 20
	// memoryShare is the part of the box's memory above which the garbage collector works
	// harder. The rest is reserved for memory that it does not track.
	memoryShare = 0.7
	// gcPercent keeps the resident set small: a box's memory costs more than
	// the CPU time of a few more collections.
	gcPercent = 25
)

func limitMemory(settings config.Gateway) {
	debug.SetGCPercent(gcPercent)
	if settings.Capacity.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(float64(settings.Capacity.MemoryMb) * mebibyte * memoryShare))
		return
	}
	// A reload may have removed the limit.
	debug.SetMemoryLimit(math.MaxInt64)
}
