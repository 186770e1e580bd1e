package loadcmd

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/cmd/exit"
	"dooryard.example/dooryard/internal/load"
	"dooryard.example/dooryard/internal/route"
)

func runCommand(out, progress io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "compare policies under multi-turn chats and non-idempotent calls, by default on a fleet in this process",
		Flags: []cli.Flag{
			jsonFlag(), boxesFlag(), keyFlag(), modelFlag(),
			&cli.StringFlag{Name: "service", Usage: "plain service of a running fleet, for non-idempotent calls"},
			&cli.StringFlag{Name: "deployment", Value: "mares", Usage: "deployment to simulate: mares or intake"},
			&cli.StringFlag{Name: "policies", Value: route.PolicyGrants, Usage: "policies to compare, separated by commas"},
			&cli.FloatFlag{Name: "rate", Value: 120, Usage: "requests per second"},
			&cli.IntFlag{Name: "seconds", Value: 20, Usage: "duration of each run, in seconds"},
			&cli.IntFlag{Name: "sessions", Value: 600, Usage: "number of sessions with repeated requests"},
			&cli.FloatFlag{Name: "surge", Value: 1, Usage: "factor of one organisation's arrivals in the middle third"},
			&cli.BoolFlag{Name: "churn", Usage: "make engines leave and rejoin"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of arrivals and sessions"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			results, err := runPolicies(ctx, c, progress)
			if err != nil {
				return err
			}
			if c.Bool(flagJSON) {
				err = printJSON(out, results)
			} else {
				err = printRuns(out, results)
			}
			if err != nil {
				return err
			}
			for _, r := range results {
				if len(r.Violations) > 0 {
					return ErrGuaranteeViolated
				}
			}
			return nil
		},
	}
}

func runPolicies(ctx context.Context, c *cli.Command, progress io.Writer) ([]load.RunResult, error) {
	deployment, err := findDeployment(c.String("deployment"))
	if err != nil {
		return nil, err
	}
	results := []load.RunResult{}
	target := targetFromFlags(c)
	for policy := range strings.SplitSeq(c.String("policies"), ",") {
		result, err := load.Run(ctx, load.RunPlan{
			Deployment: deployment, Policy: policy, Seed: c.Uint64("seed"), PerSecond: c.Float("rate"),
			LengthMs: clock.Millis(c.Int("seconds")) * clock.Second, Sessions: c.Int("sessions"),
			Surge: c.Float("surge"), Churn: c.Bool("churn"), Target: target,
		}, progress)
		if err != nil {
			return nil, err
		}
		results = append(results, result)
	}
	return results, nil
}

func boxesFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "box", Usage: "callers' URL of a box of a running fleet; may be repeated"}
}

func keyFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "key", Sources: cli.EnvVars("DOORYARD_CALLER_KEY"), Usage: "caller's key for a running fleet",
	}
}

func modelFlag() cli.Flag {
	return &cli.StringFlag{Name: "model", Value: "planner", Usage: "model of a running fleet"}
}

func targetFromFlags(c *cli.Command) load.Target {
	return load.Target{
		Boxes: c.StringSlice("box"), Key: c.String("key"), Model: c.String("model"), Service: c.String("service"),
	}
}

func findDeployment(name string) (load.Deployment, error) {
	for _, deployment := range load.Deployments() {
		if deployment.Name == name {
			return deployment, nil
		}
	}
	return load.Deployment{}, fmt.Errorf("%w: --deployment: %q is not one of mares, intake", exit.ErrUsage, name)
}

func printRuns(out io.Writer, results []load.RunResult) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "policy\tchats\twhole\treuse\tfirst token p50/p95/p99 ms\tskew\tabove bound\tfilings\twhole"+
		"\tcontrol B/s\tgossip B/s\tgrants B/s\tviolations")
	for _, r := range results {
		fmt.Fprintf(w, "%s\t%d\t%d\t%.3f\t%d/%d/%d\t%.2f\t%.1f\t%d\t%d\t%.0f\t%.0f\t%.0f\t%v\n", r.Policy,
			r.Chats.Requests, r.Chats.Verdicts[load.Complete], r.Chats.Reuse, r.Chats.First.P50, r.Chats.First.P95,
			r.Chats.First.P99, r.Skew, r.Excess, r.ServiceCalls.Requests, r.ServiceCalls.Verdicts[load.Complete],
			r.ControlBytes, r.GossipBytes, r.GrantBytes, r.Violations)
	}
	return w.Flush()
}

func latencyCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "latency",
		Usage: "measure the time to first byte that a router adds over direct connections, in one run",
		Flags: []cli.Flag{
			jsonFlag(), boxesFlag(), keyFlag(), modelFlag(),
			&cli.StringSliceFlag{Name: "engine", Usage: "URL of an engine of the running fleet; may be repeated"},
			&cli.FloatFlag{Name: "rate", Usage: "requests per second; default is half of the sustained rate"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			r, err := load.Latency(ctx, c.Float("rate"), targetFromFlags(c), c.StringSlice("engine"))
			if err != nil {
				return err
			}
			if c.Bool(flagJSON) {
				return printJSON(out, r)
			}
			fmt.Fprintf(out, "sustained: %.0f small responses per second, %.0f streams of 50 tokens per second (router, "+
				"callers and stand-ins on %d cores), %.0f allocations per request in total\n",
				r.MaxRequestsPerSecond, r.MaxStreamsPerSecond, r.Cores, r.AllocsPerRequest)
			fmt.Fprintf(out, "at %.0f per second: direct p50 %d µs, p99 %d µs; "+
				"routed p50 %d µs, p99 %d µs; added %d and %d µs\n", r.PerSecond,
				r.DirectP50Us, r.DirectP99Us, r.RoutedP50Us, r.RoutedP99Us,
				r.RoutedP50Us-r.DirectP50Us, r.RoutedP99Us-r.DirectP99Us)
			return nil
		},
	}
}
