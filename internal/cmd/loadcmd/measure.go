package loadcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"dooryard.example/dooryard/internal/capacity"
	"dooryard.example/dooryard/internal/route"
	"dooryard.example/dooryard/internal/routebench"
)

const flagJSON = "json"

func jsonFlag() cli.Flag { return &cli.BoolFlag{Name: flagJSON, Usage: "print JSON"} }

func printJSON(out io.Writer, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	fmt.Fprintln(out, string(data))
	return nil
}

func policiesCommand(out, progress io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "policies",
		Usage: "compare routing policies by cache reuse and load skew in seeded runs",
		Flags: []cli.Flag{
			jsonFlag(),
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of all runs"},
			&cli.BoolFlag{Name: "small", Usage: "skip the runs with 90 boxes, which take a minute"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			results := []routebench.Result{}
			for _, s := range routebench.Scenarios(c.Uint64("seed")) {
				if c.Bool("small") && s.Boxes > 9 {
					continue
				}
				fmt.Fprintln(progress, s.Name)
				for _, name := range policyNames() {
					result, err := routebench.Run(s, name)
					if err != nil {
						return err
					}
					results = append(results, result)
				}
			}
			if c.Bool(flagJSON) {
				return printJSON(out, results)
			}
			return printPolicies(out, results)
		},
	}
}

func policyNames() []string {
	names := []string{}
	for _, policy := range route.Policies() {
		names = append(names, policy.Name)
	}
	return append(names, route.PolicyGrants, routebench.PerfectKnowledge)
}

func printPolicies(out io.Writer, results []routebench.Result) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "run\tpolicy\treuse\tskew in surge\tabove bound in surge\tskew\tabove bound\tmean\tasks\tforced")
	for _, r := range results {
		fmt.Fprintf(w, "%s\t%s\t%.3f\t%.2f\t%.1f\t%.2f\t%.1f\t%.1f\t%.2f\t%d\n", r.Scenario, r.Policy, r.Reuse,
			r.SurgeSkew, r.SurgeExcess, r.Skew, r.Excess, r.MeanInFlight, r.Asks, r.Forced)
	}
	return w.Flush()
}

// capacityReport is the output of the capacity command.
type capacityReport struct {
	Slopes []capacity.Slope `json:"slopes"`
	Roles  []capacity.Role  `json:"roles"`
	Sum    capacity.Role    `json:"sum"`
}

func capacityCommand(out, progress io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure how control-plane costs grow with fleet size and compute a node's costs at the target size",
		Flags: []cli.Flag{jsonFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			slopes := capacity.Measure(func(name string) { fmt.Fprintln(progress, name) })
			roles := capacity.Budget(slopes, capacity.RequiredTarget())
			report := capacityReport{Slopes: slopes, Roles: roles, Sum: capacity.Sum(roles)}
			if c.Bool(flagJSON) {
				return printJSON(out, report)
			}
			return report.print(out)
		},
	}
}

func (r capacityReport) print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "cost\tunit\tagainst\tmeasured at\tline\tlargest residual")
	for _, s := range r.Slopes {
		points := ""
		for _, p := range s.Points {
			points += fmt.Sprintf("%.0f: %.4g  ", p.X, p.Y)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.4g + %.4g x\t%.0f%%\n", s.Name, s.Unit, s.Against, points,
			s.Intercept, s.PerUnit, 100*s.Residual)
	}
	fmt.Fprintf(w, "\nbytes of single calls, both ways: %+v\n", capacity.MeasureCallBytes())
	fmt.Fprintln(w, "\nrole at the target size\tpackage\tB/s\t% of a core\tMB")
	for _, role := range append(r.Roles, r.Sum) {
		fmt.Fprintf(w, "%s\t%s\t%.0f\t%.3f\t%.2f\n", role.Name, role.Package,
			role.BytesPerSecond, role.CorePercent, role.MB)
	}
	fmt.Fprintf(w, "limit\t\t%d\t%.3f\t%d\n", capacity.LimitBytesPerSecond, capacity.LimitCorePercent, capacity.LimitMB)
	return w.Flush()
}
