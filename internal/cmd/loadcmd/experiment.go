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
		Usage: "switch mechanisms of the gateway off one at a time, in seeded pairs of simulated days",
		Flags: []cli.Flag{
			jsonFlag(),
			&cli.StringFlag{Name: "off", Usage: "mechanisms to switch off, separated by commas; all if empty"},
			&cli.StringFlag{Name: "faults", Value: "crash,cut,errors", Usage: "what strikes: crash, cut, errors"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the first day"},
			&cli.IntFlag{Name: "seeds", Value: 5, Usage: "days to play, each with the next seed"},
			&cli.StringFlag{Name: "svg", Usage: "file to draw the differences of requests in time in"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			report, err := runExperiment(c)
			if err != nil {
				return err
			}
			if file := c.String("svg"); file != "" {
				if err := drawExperiment(file, report); err != nil {
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
	fmt.Fprintln(w, "switched off\tin time\tserved\tread again\tmoved\tattempts")
	b := r.Baseline
	fmt.Fprintf(w, "(nothing)\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\n", b.InTime, b.Served, b.ReadAgain, b.Moved, b.Attempts)
	for _, o := range r.Outcomes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", o.Off,
			difference(o.InTime), difference(o.Served), difference(o.ReadAgain), difference(o.Moved), difference(o.Attempts))
	}
	return w.Flush()
}

func difference(d experiment.Difference) string { return fmt.Sprintf("%+.4f (%.4f)", d.Mean, d.Error) }

func drawExperiment(name string, r experiment.Report) error {
	file, err := os.Create(name) //nolint:gosec // The file that the caller named.
	if err != nil {
		return fmt.Errorf("--svg: %w", err)
	}
	bars := []chart.Bar{}
	for _, o := range r.Outcomes {
		bars = append(bars, chart.Bar{Name: string(o.Off), Value: o.InTime.Mean, Error: o.InTime.Error})
	}
	if err := chart.Bars(file, "Requests in time, with one mechanism switched off", "difference", bars); err != nil {
		_ = file.Close()
		return err
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("--svg: %w", err)
	}
	return nil
}
