// Package soakcmd is the command line of dooryard-soak.
package soakcmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strconv"

	"github.com/urfave/cli/v3"

	"dooryard.example/dooryard/internal/soak"
	"dooryard.example/dooryard/internal/version"
)

// Defaults of a run.
const (
	defaultSeconds = 20
	defaultBoxes   = 6
	defaultServers = 9
	defaultClients = 24
)

// errUsage means that flags exclude each other.
var errUsage = errors.New("invalid flags")

// New returns the command. It prints one JSON report per line to out.
func New(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:    "dooryard-soak",
		Usage:   "run real boxes as processes, inject faults from outside, and check the fleet's guarantees",
		Version: version.String(),
		Flags:   slices.Concat(flags(), processFlags(), []cli.Flag{exactFlag(), endsFlag(), leavingsFlag()}),
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := checkFlags(c); err != nil {
				return err
			}
			errs := []error{}
			for _, seed := range selectedSeeds(c) {
				// A cancelled run starts no more seeds: without faults they would test nothing.
				if ctx.Err() != nil {
					return errors.Join(append(errs, ctx.Err())...)
				}
				errs = append(errs, runSeed(ctx, c, out, seed))
			}
			return errors.Join(errs...)
		},
	}
}

// checkFlags returns an error if flags exclude each other.
func checkFlags(c *cli.Command) error {
	if (c.String("gateway") == "") == (c.String("router") == "") {
		return fmt.Errorf("%w: either --gateway or --router is required", errUsage)
	}
	for first, others := range map[string][]string{
		"exact": {"load", "partitions", "stalls", "overload", "regressions", "callers", "wire"},
		"ends": {
			"exact", "load", "partitions", "stalls", "overload", "regressions", "processes", "planned", "evacuations",
		},
		"leavings": {
			"exact", "ends", "load", "partitions", "stalls", "overload", "regressions", "processes", "planned", "evacuations",
		},
		"load":    {"partitions", "stalls", "overload", "regressions", "processes", "planned"},
		"planned": {"partitions", "stalls", "overload", "regressions", "processes", "evacuations"},
	} {
		for _, other := range others {
			if c.Bool(first) && c.Bool(other) {
				return fmt.Errorf("%w: --%s and --%s can't be combined", errUsage, first, other)
			}
		}
	}
	if err := checkAdded(c); err != nil {
		return err
	}
	if c.String("earlier") != "" && c.Bool("limits") {
		return fmt.Errorf("%w: --earlier and --limits can't be combined", errUsage)
	}
	return nil
}

// checkAdded returns an error if a flag adds to a play that is not selected.
func checkAdded(c *cli.Command) error {
	plays := c.Bool("planned") || c.Bool("processes")
	for _, added := range []string{"quotas", "callers", "limits", "overlaps", "wire", "strangers", "held-ports"} {
		allowed := plays || added == "quotas" && c.Bool("exact") || added == "overlaps" && c.Bool("ends")
		if c.Bool(added) && !allowed {
			return fmt.Errorf("%w: --%s requires --planned or --processes", errUsage, added)
		}
	}
	return nil
}

func flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "gateway", Usage: "path of the dooryard-gateway binary"},
		&cli.StringFlag{
			Name: "router",
			Usage: "path of a dooryard-router binary: stop and replace its processes under clients without a pause, " +
				"instead of all else; with --seed, --seeds, --span, --clients and --keep",
		},
		&cli.StringFlag{
			Name:  "earlier",
			Usage: "path of the dooryard-gateway of another release, which every other start uses; not with --limits",
		},
		&cli.StringFlag{Name: "keep", Value: "soak-logs", Usage: "directory for the logs of each seed"},
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed"},
		&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of consecutive seeds to run"},
		&cli.BoolFlag{Name: "regressions", Usage: "run one seed for each cause of a past failure, instead of --seeds"},
		&cli.DurationFlag{Name: "span", Value: defaultSeconds * 1e9, Usage: "duration of fault injection per seed"},
		&cli.IntFlag{Name: "boxes", Value: defaultBoxes, Usage: "number of boxes, each in its own process"},
		&cli.IntFlag{Name: "servers", Value: defaultServers, Usage: "number of servers, in this process"},
		&cli.BoolFlag{
			Name:  "timed",
			Usage: "check time bounds, too, with faults that leave most boxes unaffected; requires an idle machine",
		},
		&cli.BoolFlag{Name: "evacuations", Usage: "also evacuate zones, one or two at a time"},
		&cli.BoolFlag{
			Name: "partitions",
			Usage: "also separate boxes from all servers; servers also end responses with their connections, " +
				"are brittle or silent",
		},
		&cli.BoolFlag{
			Name:  "stalls",
			Usage: "also hold back the data between boxes and all servers, while connections open",
		},
		&cli.BoolFlag{
			Name:  "overload",
			Usage: "also send more long prompts than servers can read at a changing pace, with admission on",
		},
		&cli.BoolFlag{
			Name: "load",
			Usage: "send prompts at a swinging rate, with faults that disturb boxes only, and check the load bound " +
				"of servers",
		},
		&cli.BoolFlag{Name: "admission", Usage: "run boxes with admission"},
		&cli.BoolFlag{Name: "calm", Usage: "leave out the faults that have no flag of their own"},
		&cli.BoolFlag{
			Name:  "keep-versions",
			Usage: "servers that restart under their id run the same software version as before",
		},
		&cli.IntFlag{Name: "clients", Value: defaultClients, Usage: "number of clients, in this process"},
	}
}

// processFlags returns the flags of faults around processes and their connections.
func processFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{
			Name: "processes",
			Usage: "also send signals in series, and disturb settings files, ports and readers of standard output of " +
				"boxes for some time",
		},
		&cli.BoolFlag{
			Name:  "planned",
			Usage: "play planned work only: stops, reloads, configurations and draining servers, with kept connections",
		},
		&cli.BoolFlag{
			Name:  "quotas",
			Usage: "also give boxes a share of processor time only; requires --planned, --processes or --exact",
		},
		&cli.BoolFlag{
			Name:  "overlaps",
			Usage: "also start the next process of a box before the one before has ended; requires --planned or --processes",
		},
		&cli.BoolFlag{
			Name: "strangers",
			Usage: "also send endless headers, pipelines and random bytes to each port of boxes, and have the store " +
				"garble, cut and repeat responses; requires --planned or --processes",
		},
		&cli.BoolFlag{
			Name: "held-ports",
			Usage: "also restart boxes of which another process takes the port of the readiness check or one for other " +
				"boxes until the end; requires --planned or --processes",
		},
		&cli.BoolFlag{
			Name: "wire",
			Usage: "also send requests over HTTP/1.0, in pieces, with Expect, half-closed and of callers that leave, and " +
				"have servers respond without a length; requires --planned or --processes",
		},
		&cli.BoolFlag{
			Name: "limits",
			Usage: "run boxes under limits and in surroundings that whoever starts processes may have, as a user of their " +
				"own if started as root; requires --planned or --processes",
		},
		&cli.IntFlag{
			Name: "processors", Value: 1,
			Usage: "with --limits, processors that the settings of boxes allow; 0 leaves the field out of all settings, " +
				"for older programs",
		},
		&cli.BoolFlag{
			Name: "callers",
			Usage: "also send requests on connections that were idle for long, long bodies, and requests of clients that " +
				"end their writing side; requires --planned or --processes",
		},
	}
}

func exactFlag() cli.Flag {
	return &cli.BoolFlag{
		Name: "exact",
		Usage: "send requests of clients that wait for exactly as long as they tell, near and milliseconds away, to " +
			"servers that are silent or respond shortly before; without other clients and faults",
	}
}

func endsFlag() cli.Flag {
	return &cli.BoolFlag{
		Name: "ends",
		Usage: "have servers end streams and other responses in all ways, crash and be replaced, for boxes with a part " +
			"of one processor that are stopped and killed; without other clients and faults",
	}
}

func leavingsFlag() cli.Flag {
	return &cli.BoolFlag{
		Name: "leavings",
		Usage: "remove keys and have servers leave all the time, while boxes are killed, frozen, stopped and replaced, " +
			"and their ways to the store are cut, held back and silent, one by one and a failure domain at a time; checks " +
			"both bounds for each request; without other faults",
	}
}

// selectedSeeds returns the seeds selected by the flags.
func selectedSeeds(c *cli.Command) []uint64 {
	list := []uint64{}
	if c.Bool("regressions") {
		for _, r := range soak.Regressions() {
			list = append(list, r.Seeds[0])
		}
		return list
	}
	for i := range c.Int("seeds") {
		list = append(list, c.Uint64("seed")+uint64(i))
	}
	return list
}

func runSeed(ctx context.Context, c *cli.Command, out io.Writer, seed uint64) error {
	if c.String("router") != "" {
		return runRouterSeed(ctx, c, out, seed)
	}
	program, err := filepath.Abs(c.String("gateway"))
	if err != nil {
		return err
	}
	earlier := c.String("earlier")
	if earlier != "" {
		if earlier, err = filepath.Abs(earlier); err != nil {
			return err
		}
	}
	report, runErr := soak.Run(ctx, soak.Settings{
		Program: program, Earlier: earlier,
		Folder: filepath.Join(c.String("keep"), strconv.FormatUint(seed, 10)), Seed: seed,
		Boxes: c.Int("boxes"), Servers: c.Int("servers"), Clients: c.Int("clients"), Span: c.Duration("span"),
		Timed: c.Bool("timed"), Evacuations: c.Bool("evacuations"), Partitions: c.Bool("partitions"),
		Stalls: c.Bool("stalls"), Overload: c.Bool("overload"), KeepVersions: c.Bool("keep-versions"),
		Processes: c.Bool("processes"), Planned: c.Bool("planned"),
		Quotas: c.Bool("quotas"), Callers: c.Bool("callers"), Overlaps: c.Bool("overlaps"), Wire: c.Bool("wire"),
		Strangers: c.Bool("strangers"), HeldPorts: c.Bool("held-ports"),
		Limits: c.Bool("limits"), Processors: c.Int("processors"),
		Load: c.Bool("load"), Admission: c.Bool("admission"), Calm: c.Bool("calm"), Exact: c.Bool("exact"),
		Ends: c.Bool("ends"), Leavings: c.Bool("leavings"),
	})
	return errors.Join(printReport(out, report), runErr)
}

func runRouterSeed(ctx context.Context, c *cli.Command, out io.Writer, seed uint64) error {
	program, err := filepath.Abs(c.String("router"))
	if err != nil {
		return err
	}
	report, runErr := soak.RunRouter(ctx, soak.Settings{
		Program: program, Folder: filepath.Join(c.String("keep"), strconv.FormatUint(seed, 10)), Seed: seed,
		Clients: c.Int("clients"), Span: c.Duration("span"),
	})
	return errors.Join(printReport(out, report), runErr)
}

func printReport(out io.Writer, report any) error {
	line, err := json.Marshal(report)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s\n", line)
	return nil
}
