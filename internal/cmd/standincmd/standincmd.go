// Package standincmd is the command line of dooryard-standin.
package standincmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"

	"github.com/urfave/cli/v3"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/cmd/exit"
	"dooryard.example/dooryard/internal/standin"
	"dooryard.example/dooryard/internal/version"
)

const headerTimeoutMs = 10 * clock.Second

// New returns the command; it tells its address on out.
func New(out io.Writer) *cli.Command {
	address := &cli.StringFlag{Name: "address", Value: "127.0.0.1:0", Usage: "IP number and port to listen on"}
	name := &cli.StringFlag{Name: "name", Value: "standin", Usage: "name of the upstream"}
	return &cli.Command{
		Name:                  "dooryard-standin",
		Usage:                 "stand in for the platform, a model engine or a plain service",
		Version:               version.String(),
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			{
				Name: "platform", Usage: "the log, the weight store and the list of boxes",
				Flags: []cli.Flag{
					address,
					&cli.IntFlag{Name: "appends-per-second", Value: 400, Usage: "rate limit of the log"},
					&cli.IntFlag{Name: "loads-per-minute", Value: 6, Usage: "rate limit of the weight store"},
					&cli.IntFlag{Name: "list-lag-ms", Value: 2000, Usage: "age of the list of boxes"},
				},
				Action: func(ctx context.Context, c *cli.Command) error { return serve(ctx, c, out, newPlatform(c)) },
			},
			{
				Name: "engine", Usage: "a model engine",
				Flags: []cli.Flag{
					address, name,
					&cli.StringSliceFlag{Name: "model", Required: true, Usage: "a model that it serves; repeat"},
					&cli.BoolFlag{Name: "check-tokens", Usage: "refuse orders with stale fencing tokens"},
					&cli.IntFlag{Name: "token-ms", Value: 5, Usage: "time between two tokens"},
					&cli.IntFlag{Name: "slots", Value: 64, Usage: "requests that run at once"},
				},
				Action: func(ctx context.Context, c *cli.Command) error { return serve(ctx, c, out, newEngine(c)) },
			},
			{
				Name: "service", Usage: "one server of a plain service",
				Flags: []cli.Flag{address, name},
				Action: func(ctx context.Context, c *cli.Command) error {
					return serve(ctx, c, out, standin.NewServer(c.String("name"), standin.NewRunLedger(), clock.New()))
				},
			},
			faultCommand(out),
		},
	}
}

func newPlatform(c *cli.Command) http.Handler {
	now := clock.New()
	return standin.NewPlatform(
		standin.NewLog(standin.WithAppendRate(c.Int("appends-per-second"))),
		standin.NewWeights(now, c.Int("loads-per-minute")),
		standin.NewBoxes(now, clock.Millis(c.Int("list-lag-ms"))),
	)
}

func newEngine(c *cli.Command) http.Handler {
	speed := standin.DefaultSpeed()
	speed.TokenMs = clock.Millis(c.Int("token-ms"))
	speed.Slots = c.Int("slots")
	options := []standin.EngineOption{standin.WithSpeed(speed)}
	if c.Bool("check-tokens") {
		options = append(options, standin.WithTokenChecks())
	}
	return standin.NewEngine(c.String("name"), c.StringSlice("model"), options...)
}

// serve answers until the context ends.
func serve(ctx context.Context, c *cli.Command, out io.Writer, handler http.Handler) error {
	address := c.String("address")
	if _, err := netip.ParseAddrPort(address); err != nil {
		return fmt.Errorf("%w: --address: %q is not an IP number and port", exit.ErrUsage, address)
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeoutMs.Duration()}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	fmt.Fprintf(out, "%s listens on %s\n", c.Name, listener.Addr())
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// faultCommand switches a running stand-in's faults.
func faultCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "fault",
		Usage:     "set the faults of a running stand-in; FAULTS is a JSON object, {} ends them",
		ArgsUsage: "log|engine|server ADDRESS FAULTS",
		Action: func(ctx context.Context, c *cli.Command) error {
			const arguments = 3
			if c.Args().Len() != arguments {
				return fmt.Errorf("%w: fault: needs a kind, an address and a JSON object", exit.ErrUsage)
			}
			url := "http://" + c.Args().Get(1) + "/standin/" + c.Args().Get(0) + "/faults"
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(c.Args().Get(2)))
			if err != nil {
				return fmt.Errorf("%w: %w", exit.ErrUsage, err)
			}
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				return err
			}
			defer func() { _ = response.Body.Close() }()
			_, err = io.Copy(out, response.Body)
			return err
		},
	}
}
