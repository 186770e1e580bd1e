// Package operatorcmd is the command line of dooryard, the operators' client.
package operatorcmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/cmd/exit"
	"dooryard.example/dooryard/internal/opclient"
	"dooryard.example/dooryard/internal/version"
)

// Names of flags that several commands share.
const (
	flagBox      = "box"
	flagKeyFile  = "key-file"
	flagJSON     = "json"
	flagID       = "id"
	flagOperator = "operator"
	callTimeout  = 30 * clock.Second
)

// app is the command line client with its input, output and dependencies.
type app struct {
	in     io.Reader
	out    io.Writer
	client *http.Client
	clock  clock.Clock
}

// New returns the command.
func New(in io.Reader, out io.Writer) *cli.Command {
	p := &app{in: in, out: out, client: &http.Client{Timeout: callTimeout.Duration()}, clock: clock.New()}
	return &cli.Command{
		Name:                  "dooryard",
		Usage:                 "show and edit the table, and manage the boxes of a fleet",
		Version:               version.String(),
		EnableShellCompletion: true,
		Reader:                in,
		Writer:                out,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{
				Name: flagBox, Aliases: []string{"b"}, Sources: cli.EnvVars("DOORYARD_BOXES"),
				Usage: "operators' address of a box, an IP address and port or a URL; repeatable or comma-separated",
			},
			&cli.StringFlag{
				Name: flagKeyFile, Aliases: []string{"k"}, Sources: cli.EnvVars("DOORYARD_KEY_FILE"),
				Usage: "file with the bearer key of the operators",
			},
		},
		Commands: []*cli.Command{
			p.checkCommand(),
			p.tableCommand(),
			p.statusCommand(),
			p.explainCommand(),
			p.whyCommand(),
			p.boxCommand(),
			p.upstreamCommand(),
			p.keyCommand(),
		},
	}
}

// newClient returns a client configured by the flags.
func (p *app) newClient(c *cli.Command) (opclient.Client, error) {
	boxes := c.StringSlice(flagBox)
	if len(boxes) == 0 {
		return opclient.Client{}, fmt.Errorf("%w: --box: name at least one box", exit.ErrUsage)
	}
	path := c.String(flagKeyFile)
	if path == "" {
		return opclient.Client{}, fmt.Errorf("%w: --key-file: is missing", exit.ErrUsage)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return opclient.Client{}, fmt.Errorf("%w: --key-file: %w", exit.ErrUsage, err)
	}
	keys := strings.Fields(string(data))
	if len(keys) == 0 {
		return opclient.Client{}, fmt.Errorf("%w: --key-file: contains no key", exit.ErrUsage)
	}
	client := opclient.Client{Key: keys[0], Client: p.client}
	for _, box := range boxes {
		if !strings.Contains(box, "://") {
			box = "http://" + box
		}
		client.URLs = append(client.URLs, strings.TrimSuffix(box, "/"))
	}
	return client, nil
}

// withClient returns an action that calls a function with a client of the boxes.
func (p *app) withClient(call func(ctx context.Context, c *cli.Command, client opclient.Client) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		client, err := p.newClient(c)
		if err != nil {
			return err
		}
		return call(ctx, c, client)
	}
}

// singleArgument returns the only argument of a command.
func singleArgument(c *cli.Command, name string) (string, error) {
	if c.Args().Len() != 1 || c.Args().First() == "" {
		return "", fmt.Errorf("%w: %s: needs one argument, %s", exit.ErrUsage, c.Name, name)
	}
	return c.Args().First(), nil
}

// errRejected sets the exit code if an edit was not accepted.
var errRejected = errors.New("the edit was not accepted")
