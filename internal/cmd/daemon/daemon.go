// Package daemon is the command line shared by all daemons. It loads one settings file, and
// can validate it without running the daemon.
package daemon

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"dooryard.example/dooryard/internal/cmd/exit"
	"dooryard.example/dooryard/internal/version"
)

// Daemon is a program that is configured by a settings file of type T.
type Daemon[T any] struct {
	Name  string
	Usage string
	// EnvSettings is the environment variable for the path of the settings file.
	EnvSettings string
	// Load reads and validates a settings file.
	Load func(path string) (T, error)
	// Run runs the daemon until the context ends.
	Run func(ctx context.Context, path string, settings T) error
}

// Command returns the program's command line.
func (d Daemon[T]) Command() *cli.Command {
	return &cli.Command{
		Name:                  d.Name,
		Usage:                 d.Usage,
		Version:               version.String(),
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "settings", Aliases: []string{"s"}, Sources: cli.EnvVars(d.EnvSettings),
				Usage: "settings file of this box, YAML",
			},
			&cli.BoolFlag{Name: "check", Usage: "check the settings file and exit"},
		},
		Action: d.run,
	}
}

func (d Daemon[T]) run(ctx context.Context, c *cli.Command) error {
	path := c.String("settings")
	if path == "" {
		return fmt.Errorf("%w: --settings: is missing", exit.ErrUsage)
	}
	settings, err := d.Load(path)
	if err != nil || c.Bool("check") {
		return err
	}
	return d.Run(ctx, path, settings)
}
