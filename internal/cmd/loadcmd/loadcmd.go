// Package loadcmd is the command line of dooryard-load.
package loadcmd

import (
	"context"
	"errors"
	"io"

	"github.com/urfave/cli/v3"

	"dooryard.example/dooryard/internal/load"
	"dooryard.example/dooryard/internal/version"
)

// ErrPromiseBroken means that a run showed a broken promise.
var ErrPromiseBroken = errors.New("a promise was broken")

// New returns the command; its tables go to out, its progress to
// progress.
func New(out, progress io.Writer) *cli.Command {
	return &cli.Command{
		Name:                  "dooryard-load",
		Usage:                 "send returning chats and unrepeatable calls to a fleet and check every answer",
		Version:               version.String(),
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			demoCommand(out), runCommand(out, progress), latencyCommand(out),
			policiesCommand(out, progress), capacityCommand(out, progress), experimentCommand(out),
		},
	}
}

func demoCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "start a small fleet in this process, break parts of it, and check the promises",
		Action: func(ctx context.Context, _ *cli.Command) error {
			breaches, err := load.Demo(ctx, out)
			if err != nil {
				return err
			}
			if len(breaches) > 0 {
				return ErrPromiseBroken
			}
			return nil
		},
	}
}
