// Package gatewaycmd is the command line of dooryard-gateway.
package gatewaycmd

import (
	"context"
	"io"
	"math"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/cmd/daemon"
	"dooryard.example/dooryard/internal/gateway"
	"dooryard.example/dooryard/pkg/config"
)

// New returns the command. It writes log lines to out.
func New(out io.Writer, adapter gateway.Adapter) *cli.Command {
	return daemon.Daemon[config.Gateway]{
		Name:        "dooryard-gateway",
		Usage:       "route opaque requests on an entry box until a termination signal",
		EnvSettings: adapter.EnvSettings,
		Load:        config.LoadGateway,
		Run: func(ctx context.Context, path string, settings config.Gateway) error {
			return run(ctx, path, settings, out, adapter)
		},
	}.Command()
}

func run(ctx context.Context, path string, settings config.Gateway, out io.Writer, adapter gateway.Adapter) error {
	limitMemory(settings)
	c := clock.New(clock.WithBootTime())
	w := &watcher{path: path, clock: c}
	b, err := gateway.New(settings, adapter, out, gateway.WithClock(c))
	if err != nil {
		return err
	}
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	defer signal.Stop(sighup)
	go w.run(ctx, b, sighup)
	return b.Run(ctx)
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
