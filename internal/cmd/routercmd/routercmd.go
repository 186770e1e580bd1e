// Package routercmd is the command line of dooryard-router.
package routercmd

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"dooryard.example/dooryard/internal/box"
	"dooryard.example/dooryard/internal/cmd/exit"
	"dooryard.example/dooryard/internal/logging"
	"dooryard.example/dooryard/internal/version"
	"dooryard.example/dooryard/pkg/config"
)

// New returns the command. Spans of the stdout exporter go to out, log lines to
// logs.
func New(out, logs io.Writer) *cli.Command {
	return &cli.Command{
		Name:                  "dooryard-router",
		Usage:                 "route requests on an entry box until a termination signal",
		Version:               version.String(),
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "settings", Aliases: []string{"s"}, Sources: cli.EnvVars("DOORYARD_SETTINGS"),
				Usage: "settings file of this box, YAML",
			},
			&cli.BoolFlag{Name: "check", Usage: "check the settings file and exit"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			path := c.String("settings")
			if path == "" {
				return fmt.Errorf("%w: --settings: is missing", exit.ErrUsage)
			}
			settings, err := config.LoadRouter(path)
			if err != nil || c.Bool("check") {
				return err
			}
			return run(ctx, settings, out, logs)
		},
	}
}

// run runs the box until the context ends, which begins its planned stop.
func run(ctx context.Context, settings config.Router, out, logs io.Writer) error {
	logger, err := logging.New(logs, settings.Logs.Level)
	if err != nil {
		return err
	}
	b, err := box.New(ctx, settings, box.WithLogger(logger), box.WithSpans(out))
	if err != nil {
		return err
	}
	return b.Run(ctx)
}
