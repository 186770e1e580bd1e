package operatorcmd

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"dooryard.example/dooryard/internal/cmd/exit"
	"dooryard.example/dooryard/internal/why"
)

// errNoLogLines sets the exit code if no log line names the request.
var errNoLogLines = errors.New("no log line names this request")

// defaultLookback is how long before a request the state changes of its boxes are shown.
// It is longer than keys are accepted without a confirmation from the store.
const defaultLookback = 10 * time.Second

func (p *app) whyCommand() *cli.Command {
	return &cli.Command{
		Name:      "why",
		Usage:     "explain the outcome of a request from the boxes' log lines, with the state changes of its boxes",
		ArgsUsage: "REQUEST_ID [FILE ...]  (standard input without a file)",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "before", Value: defaultLookback, Usage: "how far back to show the boxes' state changes"},
			&cli.BoolFlag{Name: flagJSON, Usage: "print the original lines"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().First() == "" {
				return fmt.Errorf("%w: why: requires a request id", exit.ErrUsage)
			}
			lines, err := p.readLogs(c.Args().Tail())
			if err != nil {
				return err
			}
			selected := why.RequestLines(lines, c.Args().First(), c.Duration("before"))
			if len(selected) == 0 {
				return fmt.Errorf("%w: %s", errNoLogLines, c.Args().First())
			}
			for _, line := range selected {
				text := line.Text()
				if c.Bool(flagJSON) {
					text = line.JSON()
				}
				fmt.Fprintln(p.out, text)
			}
			return nil
		},
	}
}

// readLogs reads the files, or standard input when there are none.
func (p *app) readLogs(paths []string) ([]why.Line, error) {
	if len(paths) == 0 {
		return why.Read(nil, p.in)
	}
	lines := []why.Line{}
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, errors.Join(exit.ErrUsage, err)
		}
		lines, err = why.Read(lines, file)
		if err = errors.Join(err, file.Close()); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
	}
	return lines, nil
}
