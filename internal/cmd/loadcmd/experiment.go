package loadcmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"dooryard.example/dooryard/internal/chart"
	"dooryard.example/dooryard/internal/experiment"
)

func experimentCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "experiment",
		Usage: "measure the effect of disabling the gateway's mechanisms one at a time, in seeded pairs of simulated days",
		Flags: []cli.Flag{
			jsonFlag(),
			&cli.StringFlag{Name: "off", Usage: "mechanisms to disable, separated by commas; all if empty"},
			&cli.StringFlag{Name: "faults", Value: "crash,cut,errors", Usage: "faults to inject: crash, cut, errors"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the first day"},
			&cli.IntFlag{Name: "seeds", Value: 5, Usage: "number of days to simulate, each with the next seed"},
			&cli.StringFlag{Name: "svg", Usage: "output file for an SVG chart of the change in requests in time"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			report, err := runExperiment(c)
			if err != nil {
				return err
			}
			if file := c.String("svg"); file != "" {
				if err := writeChart(file, report); err != nil {
					return err
				}
			}
			if c.Bool(flagJSON) {
				return printJSON(out, report)
			}
			return printExperiment(out, report)
		},
	}
}

func runExperiment(c *cli.Command) (experiment.Report, error) {
	faults, err := experiment.ParseFaults(c.String("faults"))
	if err != nil {
		return experiment.Report{}, fmt.Errorf("--faults: %w", err)
	}
	off, err := experiment.ParseMechanisms(c.String("off"))
	if err != nil {
		return experiment.Report{}, fmt.Errorf("--off: %w", err)
	}
	if len(off) == 0 {
		off = experiment.Mechanisms()
	}
	seeds := c.Int("seeds")
	if seeds < 1 {
		return experiment.Report{}, fmt.Errorf("--seeds: %w: %d is below 1", experiment.ErrUnknown, seeds)
	}
	return experiment.Run(off, faults, c.Uint64("seed"), seeds), nil
}

func printExperiment(out io.Writer, r experiment.Report) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "disabled\tin time\tserved\tread again\tmoved\tattempts")
	b := r.Baseline
	fmt.Fprintf(w, "(nothing)\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\n", b.InTime, b.Served, b.Reread, b.Fetched, b.Attempts)
	for _, o := range r.Outcomes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", o.Disabled,
			formatDiff(o.InTime), formatDiff(o.Served), formatDiff(o.Reread), formatDiff(o.Fetched), formatDiff(o.Attempts))
	}
	return w.Flush()
}

func formatDiff(d experiment.Difference) string { return fmt.Sprintf("%+.4f (%.4f)", d.Mean, d.Error) }

func writeChart(name string, r experiment.Report) error {
	file, err := os.Create(name) //nolint:gosec // The path is an argument of the user.
	if err != nil {
		return fmt.Errorf("--svg: %w", err)
	}
	bars := []chart.Bar{}
	for _, o := range r.Outcomes {
		bars = append(bars, chart.Bar{Name: string(o.Disabled), Value: o.InTime.Mean, Error: o.InTime.Error})
	}
	if err := chart.Bars(file, "Requests in time, with one mechanism disabled", "difference", bars); err != nil {
		_ = file.Close()
		return err
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("--svg: %w", err)
	}
	return nil
}
