// Package daemon is the command line shared by all daemons. It loads one settings file, and
// can validate it without running the daemon.
package daemon

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"dooryard.example/dooryard/internal/clock"
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
	// Adapt reads a settings file with other values for optional ones that Load refuses. The first error tells what it
	// has changed. It is nil if the daemon needs valid settings.
	Adapt func(path string) (settings T, changed, err error)
	// IsFinal reports whether an error of Load is about what a file that is being written has already. It may be nil.
	IsFinal func(err error) bool
	// Err receives a message if the settings file can't be used yet, or only in part.
	Err io.Writer
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
	if c.Bool("check") {
		_, err := d.Load(path)
		return err
	}
	settings, err := d.load(ctx, path)
	switch {
	case ctx.Err() != nil:
		// The process was stopped before it had started.
		return nil
	case err != nil:
		return err
	default:
		return d.Run(ctx, path, settings)
	}
}

const (
	// settingsTimeoutMs is much longer than a file takes to be replaced.
	settingsTimeoutMs              = 3 * clock.Second
	settingsRetryMs   clock.Millis = 50
)

// load reads the settings file until it can be used, because it may be in the middle of being replaced. If it stays
// invalid, the daemon runs with other values for those that are optional and can be replaced.
func (d Daemon[T]) load(ctx context.Context, path string) (T, error) {
	c := clock.New()
	startMs, last := c.Monotonic(), ""
	for {
		settings, err := d.Load(path)
		if err == nil {
			return settings, nil
		}
		if over := c.Monotonic()-startMs >= settingsTimeoutMs; over || d.IsFinal != nil && d.IsFinal(err) {
			adapted, refused := d.adapt(path, err)
			if over || refused == nil {
				return adapted, refused
			}
		}
		if text := err.Error(); text != last {
			last = text
			fmt.Fprintf(d.Err, "%s: settings are read again for up to %d ms: %s\n", d.Name, settingsTimeoutMs, text)
		}
		if c.Sleep(ctx, settingsRetryMs) != nil {
			return settings, err
		}
	}
}

// adapt reads a settings file that Load refuses with an error.
func (d Daemon[T]) adapt(path string, refused error) (T, error) {
	if d.Adapt == nil {
		var none T
		return none, refused
	}
	settings, changed, err := d.Adapt(path)
	if err != nil {
		return settings, refused
	}
	if changed != nil {
		fmt.Fprintf(d.Err, "%s: settings are used with changed values: %v\n", d.Name, changed)
	}
	return settings, nil
}
