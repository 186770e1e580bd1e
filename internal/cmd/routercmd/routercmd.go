// Package routercmd is the command line of dooryard-router.
package routercmd

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"dooryard.example/dooryard/internal/box"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/cmd/daemon"
	"dooryard.example/dooryard/internal/guard"
	"dooryard.example/dooryard/internal/logging"
	"dooryard.example/dooryard/pkg/config"
)

// maxProcessors limits the processors that the process uses, and so its threads on large machines.
const maxProcessors = 8

// New returns the command. The stdout exporter writes spans to the process's output, log lines are written to its
// standard error.
func New(process *daemon.Process) *cli.Command {
	return daemon.Daemon[config.Router]{
		Name:        "dooryard-router",
		Usage:       "route requests on an entry box until a termination signal",
		EnvSettings: "DOORYARD_SETTINGS",
		Load:        config.LoadRouter,
		Err:         process.Err,
		Run: func(ctx context.Context, _ string, settings config.Router) error {
			if err := process.UseProcessors(maxProcessors); err != nil {
				fmt.Fprintf(process.Err, "dooryard-router: %v\n", err)
			}
			return run(ctx, settings, process.Out, process.Err)
		},
	}.Command()
}

// run runs the box until the context ends, which starts its graceful shutdown.
func run(ctx context.Context, settings config.Router, out, logs io.Writer) error {
	logger, err := logging.New(logs, settings.Logs.Level)
	if err != nil {
		return err
	}
	c := clock.New(clock.WithBootTime())
	b, err := box.New(ctx, settings, box.WithClock(c), box.WithLogger(logger), box.WithSpans(out))
	if ctx.Err() != nil && err != nil {
		// The process was stopped before it had started.
		return nil
	}
	if err != nil {
		return err
	}
	defer guard.Handle(b.HandlePanic)()
	defer logging.TakeLibraryLines(logger.With(zap.String("box", settings.Box)))()
	return b.Run(ctx)
}
