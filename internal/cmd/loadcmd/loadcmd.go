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

// ErrGuaranteeViolated means that a run violated a guarantee of the fleet.
var ErrGuaranteeViolated = errors.New("a guarantee was violated")

// New returns the command. It prints results to out and progress messages to progress.
func New(out, progress io.Writer) *cli.Command {
	return &cli.Command{
		Name:                  "dooryard-load",
		Usage:                 "send multi-turn chats and non-idempotent calls to a fleet and check every response",
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
		Usage: "start a small fleet in this process, inject faults, and check the fleet's guarantees",
		Action: func(ctx context.Context, _ *cli.Command) error {
			violations, err := load.Demo(ctx, out)
			if err != nil {
				return err
			}
			if len(violations) > 0 {
				return ErrGuaranteeViolated
			}
			return nil
		},
	}
}
