package operatorcmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"dooryard.example/dooryard/internal/box"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/cmd/exit"
	"dooryard.example/dooryard/internal/opclient"
	"dooryard.example/dooryard/internal/table"
)

func (p *program) statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the boxes, the offsets of the table in force, and the log's health",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: flagJSON, Usage: "print JSON"},
			&cli.IntFlag{Name: "wait", Usage: "wait up to this many seconds until all boxes are ready"},
			&cli.BoolFlag{Name: "reachable", Usage: "be content with boxes that answer, though not ready"},
		},
		Action: p.action(p.status),
	}
}

// errUnhealthy makes an exit code of a box that does not answer or is not ready.
var errUnhealthy = errors.New("not all boxes are ready")

func (p *program) status(ctx context.Context, c *cli.Command, client opclient.Client) error {
	statuses := p.await(ctx, client, clock.Millis(c.Int("wait"))*clock.Second, c.Bool("reachable"))
	if c.Bool(flagJSON) {
		return p.statusJSON(statuses)
	}
	w := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "box\tfailure domain\tready\ttable offset\tlog source\tlog read ms ago\trunning\twaiting")
	healthy := true
	for _, s := range statuses {
		if s.Err != nil {
			healthy = false
			fmt.Fprintf(w, "%s\tunreachable: %v\n", s.URL, s.Err)
			continue
		}
		b := s.Status
		healthy = healthy && (b.Ready || c.Bool("reachable"))
		fmt.Fprintf(w, "%s\t%s\t%t\t%d\t%s\t%d\t%d\t%d\n", b.Box, b.FailureDomain, b.Ready, b.TableOffset,
			b.LogSource, b.NowMs-b.LogReadMs, b.Running, b.Waiting)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	p.printFleet(statuses)
	if !healthy {
		return errUnhealthy
	}
	return nil
}

// await asks the boxes again until all are ready, or answer at all, or the span
// has passed.
func (p *program) await(
	ctx context.Context, client opclient.Client, span clock.Millis, reachable bool,
) []opclient.BoxStatus {
	const pollMs = 200
	for waited := clock.Millis(0); ; waited += pollMs {
		statuses := client.Statuses(ctx)
		if waited >= span || allFine(statuses, reachable) || p.clock.Sleep(ctx, pollMs) != nil {
			return statuses
		}
	}
}

func allFine(statuses []opclient.BoxStatus, reachable bool) bool {
	return !slices.ContainsFunc(statuses, func(s opclient.BoxStatus) bool {
		return s.Err != nil || !s.Status.Ready && !reachable
	})
}

// printFleet prints what the boxes say of others.
func (p *program) printFleet(statuses []opclient.BoxStatus) {
	peers := map[string]box.PeerStatus{}
	for _, s := range statuses {
		for _, peer := range s.Status.Peers {
			peers[peer.Name] = peer
		}
		if lowest := s.Status.Lowest; lowest.Box != "" {
			fmt.Fprintf(p.out, "%s sees the lowest table offset of its failure domain, %d, at %s\n",
				s.Status.Box, lowest.TableOffset, lowest.Box)
		}
	}
	names := make([]string, 0, len(peers))
	for name := range peers {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(p.out, "  %s: %s, table offset %d\n", name, peers[name].Status, peers[name].TableOffset)
	}
	for _, s := range statuses {
		p.printWork(s.Status)
	}
}

// printWork prints the orders that a box gives and the upstreams it leaves out.
func (p *program) printWork(status box.Status) {
	if orders := status.Orders; orders != nil {
		fmt.Fprintf(p.out, "  %s gives the orders of %s, token %d, for %d ms more\n",
			status.Box, status.FailureDomain, orders.Token, orders.UntilMs-status.NowMs)
	}
	for _, u := range status.Upstreams {
		if u.Ejected || u.Leaving {
			fmt.Fprintf(p.out, "  %s sees upstream %s: ejected %t, leaving %t, in flight %d\n",
				status.Box, u.Name, u.Ejected, u.Leaving, u.InFlight)
		}
	}
}

func (p *program) statusJSON(statuses []opclient.BoxStatus) error {
	type entry struct {
		URL    string      `json:"url"`
		Error  string      `json:"error,omitempty"`
		Status *box.Status `json:"status,omitempty"`
	}
	entries := []entry{}
	for _, s := range statuses {
		e := entry{URL: s.URL}
		if s.Err != nil {
			e.Error = s.Err.Error()
		} else {
			e.Status = &s.Status
		}
		entries = append(entries, e)
	}
	data, err := json.MarshalIndent(entries, "", "  ")
	if err != nil {
		return fmt.Errorf("encode status: %w", err)
	}
	fmt.Fprintln(p.out, string(data))
	return nil
}

func (p *program) explainCommand() *cli.Command {
	return &cli.Command{
		Name:  "explain",
		Usage: "show where a session would go now on a box, ranked, with the reasons",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "organisation", Required: true, Usage: "the organisation's name"},
			&cli.StringFlag{Name: "session", Required: true, Usage: "the session's name"},
			&cli.StringFlag{Name: "model", Usage: "the model"},
			&cli.StringFlag{Name: "service", Usage: "the plain service"},
		},
		Action: p.action(func(ctx context.Context, c *cli.Command, client opclient.Client) error {
			if (c.String("model") == "") == (c.String("service") == "") {
				return fmt.Errorf("%w: name either --model or --service", exit.ErrUsage)
			}
			reply, err := client.Explain(ctx, c.String("organisation"), c.String("session"),
				c.String("model"), c.String("service"))
			if err != nil {
				return err
			}
			w := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "rank\tupstream\tpicked\twhy\tin flight here\tbound here\treported\tweight\towner")
			for _, e := range reply.Ranking {
				fmt.Fprintf(w, "%d\t%s\t%t\t%s\t%d\t%d\t%d\t%d\t%s\n",
					e.Rank, e.Name, e.Picked, e.Reason, e.InFlight, e.Bound, e.Reported, e.Weight, e.Owner)
			}
			return w.Flush()
		}),
	}
}

func (p *program) boxCommand() *cli.Command {
	return &cli.Command{
		Name:  "box",
		Usage: "look after boxes",
		Commands: []*cli.Command{{
			Name:  "drain",
			Usage: "begin a planned stop of the box that --box names first",
			Action: p.action(func(ctx context.Context, _ *cli.Command, client opclient.Client) error {
				if err := client.Drain(ctx); err != nil {
					return err
				}
				fmt.Fprintf(p.out, "%s: its planned stop has begun\n", client.URLs[0])
				return nil
			}),
		}},
	}
}

func (p *program) upstreamCommand() *cli.Command {
	set := func(state string) cli.ActionFunc {
		return p.action(func(ctx context.Context, c *cli.Command, client opclient.Client) error {
			name, err := oneArgument(c, "UPSTREAM")
			if err != nil {
				return err
			}
			return p.setUpstreamState(ctx, c, client, name, state)
		})
	}
	return &cli.Command{
		Name:  "upstream",
		Usage: "look after upstreams",
		Commands: []*cli.Command{
			{
				Name: "drain", Usage: "give an upstream no new work", ArgsUsage: "UPSTREAM",
				Action: set(table.StateDraining),
			},
			{
				Name: "activate", Usage: "give an upstream work again", ArgsUsage: "UPSTREAM",
				Action: set(table.StateActive),
			},
		},
	}
}

func (p *program) setUpstreamState(
	ctx context.Context, c *cli.Command, client opclient.Client, name, state string,
) error {
	sheet, err := client.Rows(ctx, table.Upstreams, name)
	if err != nil {
		return err
	}
	if _, found := newestOf(sheet, name); !found {
		return fmt.Errorf("%w: upstream %q: not in the table", exit.ErrUsage, name)
	}
	changes := []table.Change{{Sheet: table.Upstreams, Row: name, Column: "state", Value: state}}
	if err := baseOnCurrent(ctx, client, changes); err != nil {
		return err
	}
	return p.submit(ctx, c, client, changes)
}
