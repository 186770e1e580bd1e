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
	"dooryard.example/dooryard/internal/server"
	"dooryard.example/dooryard/internal/standin"
	"dooryard.example/dooryard/internal/version"
)

const headerTimeoutMs = 10 * clock.Second

// New returns the command. Stand-ins print their listen address to out.
func New(out io.Writer) *cli.Command {
	address := &cli.StringFlag{Name: "address", Value: "127.0.0.1:0", Usage: "IP address and port to listen on"}
	name := &cli.StringFlag{Name: "name", Value: "standin", Usage: "name of the upstream"}
	return &cli.Command{
		Name:                  "dooryard-standin",
		Usage:                 "simulate the platform, a model engine or a plain service",
		Version:               version.String(),
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			{
				Name: "platform", Usage: "run a stand-in for the log, the weight store and the list of boxes",
				Flags: []cli.Flag{
					address,
					&cli.IntFlag{Name: "appends-per-second", Value: 400, Usage: "append rate limit of the log"},
					&cli.IntFlag{Name: "loads-per-minute", Value: 6, Usage: "load rate limit of the weight store"},
					&cli.IntFlag{Name: "list-lag-ms", Value: 2000, Usage: "lag of the list of boxes, in milliseconds"},
				},
				Action: func(ctx context.Context, c *cli.Command) error { return serve(ctx, c, out, newPlatform(c)) },
			},
			{
				Name: "engine", Usage: "run a stand-in for a model engine",
				Flags: []cli.Flag{
					address, name,
					&cli.StringSliceFlag{Name: "model", Required: true, Usage: "model to serve; may be repeated"},
					&cli.BoolFlag{Name: "check-tokens", Usage: "reject orders with stale fencing tokens"},
					&cli.IntFlag{Name: "token-ms", Value: 5, Usage: "time between two tokens, in milliseconds"},
					&cli.IntFlag{Name: "slots", Value: 64, Usage: "maximum number of concurrent requests"},
				},
				Action: func(ctx context.Context, c *cli.Command) error { return serve(ctx, c, out, newEngine(c)) },
			},
			{
				Name: "service", Usage: "run a stand-in for one server of a plain service",
				Flags: []cli.Flag{address, name},
				Action: func(ctx context.Context, c *cli.Command) error {
					return serve(ctx, c, out, standin.NewServer(c.String("name"), standin.NewRunCounter(), clock.New()))
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
	speed := standin.DefaultPerformance()
	speed.TokenMs = clock.Millis(c.Int("token-ms"))
	speed.Slots = c.Int("slots")
	options := []standin.EngineOption{standin.WithPerformance(speed)}
	if c.Bool("check-tokens") {
		options = append(options, standin.WithTokenChecks())
	}
	return standin.NewEngine(c.String("name"), c.StringSlice("model"), options...)
}

// serve handles requests until the context ends.
func serve(ctx context.Context, c *cli.Command, out io.Writer, handler http.Handler) error {
	address := c.String("address")
	if _, err := netip.ParseAddrPort(address); err != nil {
		return fmt.Errorf("%w: --address: %q is not an IP address and port", exit.ErrUsage, address)
	}
	// A stand-in that is restarted may find its address taken by the process before.
	binder := server.Binder{Clock: clock.New(), OnRetry: func(err error) {
		fmt.Fprintf(out, "%s waits for its address: %v\n", c.Name, err)
	}}
	listener, err := binder.Listen(ctx, c.Name, address, func(network, address string) (net.Listener, error) {
		return (&net.ListenConfig{}).Listen(ctx, network, address)
	})
	if ctx.Err() != nil {
		return nil //nolint:nilerr // It was stopped while it waited.
	}
	if err != nil {
		return err
	}
	h := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeoutMs.Duration()}
	stop := context.AfterFunc(ctx, func() { _ = h.Close() })
	defer stop()
	fmt.Fprintf(out, "%s listens on %s\n", c.Name, listener.Addr())
	if err := h.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// faultCommand sets the injected faults of a running stand-in.
func faultCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "fault",
		Usage:     "set the injected faults of a running stand-in; FAULTS is a JSON object, {} clears them",
		ArgsUsage: "log|engine|server ADDRESS FAULTS",
		Action: func(ctx context.Context, c *cli.Command) error {
			const arguments = 3
			if c.Args().Len() != arguments {
				return fmt.Errorf("%w: fault: requires a kind, an address and a JSON object", exit.ErrUsage)
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
