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

func (p *app) statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the boxes, their active table offsets, and the state of the log",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: flagJSON, Usage: "print JSON"},
			&cli.IntFlag{Name: "wait", Usage: "wait up to this many seconds until all boxes are ready"},
			&cli.BoolFlag{Name: "reachable", Usage: "accept boxes that respond but are not ready"},
		},
		Action: p.withClient(p.status),
	}
}

// errUnhealthy sets the exit code if a box does not respond or is not ready.
var errUnhealthy = errors.New("not all boxes are ready")

func (p *app) status(ctx context.Context, c *cli.Command, client opclient.Client) error {
	statuses := p.pollStatuses(ctx, client, clock.Millis(c.Int("wait"))*clock.Second, c.Bool("reachable"))
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
	p.printPeers(statuses)
	if !healthy {
		return errUnhealthy
	}
	return nil
}

// pollStatuses polls the boxes until all are ready, or only reachable if that is enough, or
// until the span has elapsed.
func (p *app) pollStatuses(
	ctx context.Context, client opclient.Client, span clock.Millis, reachable bool,
) []opclient.BoxStatus {
	const pollMs = 200
	for waited := clock.Millis(0); ; waited += pollMs {
		statuses := client.Statuses(ctx)
		if waited >= span || allHealthy(statuses, reachable) || p.clock.Sleep(ctx, pollMs) != nil {
			return statuses
		}
	}
}

func allHealthy(statuses []opclient.BoxStatus, reachable bool) bool {
	return !slices.ContainsFunc(statuses, func(s opclient.BoxStatus) bool {
		return s.Err != nil || !s.Status.Ready && !reachable
	})
}

// printPeers prints what the boxes report about their peers and upstreams.
func (p *app) printPeers(statuses []opclient.BoxStatus) {
	peers := map[string]box.PeerStatus{}
	for _, s := range statuses {
		for _, peer := range s.Status.Peers {
			peers[peer.Name] = peer
		}
		if lowest := s.Status.Lowest; lowest.Box != "" {
			fmt.Fprintf(p.out, "%s reports the lowest table offset in its failure domain, %d, at %s\n",
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
		p.printOrdersAndUpstreams(s.Status)
	}
}

// printOrdersAndUpstreams prints a box's lease for giving orders, and the upstreams to which it
// sends no new requests.
func (p *app) printOrdersAndUpstreams(status box.Status) {
	if orders := status.Orders; orders != nil {
		fmt.Fprintf(p.out, "  %s holds the lease for orders in %s, fencing token %d, for another %d ms\n",
			status.Box, status.FailureDomain, orders.Token, orders.UntilMs-status.NowMs)
	}
	for _, u := range status.Upstreams {
		if u.Ejected || u.Draining {
			fmt.Fprintf(p.out, "  %s reports upstream %s: ejected %t, leaving %t, in flight %d\n",
				status.Box, u.Name, u.Ejected, u.Draining, u.InFlight)
		}
	}
}

func (p *app) statusJSON(statuses []opclient.BoxStatus) error {
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

func (p *app) explainCommand() *cli.Command {
	return &cli.Command{
		Name:  "explain",
		Usage: "show the current ranking of a session's upstreams on a box, with reasons",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "organisation", Required: true, Usage: "name of the organisation"},
			&cli.StringFlag{Name: "session", Required: true, Usage: "name of the session"},
			&cli.StringFlag{Name: "model", Usage: "name of the model"},
			&cli.StringFlag{Name: "service", Usage: "name of the plain service"},
		},
		Action: p.withClient(func(ctx context.Context, c *cli.Command, client opclient.Client) error {
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

func (p *app) boxCommand() *cli.Command {
	return &cli.Command{
		Name:  "box",
		Usage: "manage boxes",
		Commands: []*cli.Command{{
			Name:  "drain",
			Usage: "start a graceful shutdown of the first box given by --box",
			Action: p.withClient(func(ctx context.Context, _ *cli.Command, client opclient.Client) error {
				if err := client.Drain(ctx); err != nil {
					return err
				}
				fmt.Fprintf(p.out, "%s: graceful shutdown started\n", client.URLs[0])
				return nil
			}),
		}},
	}
}

func (p *app) upstreamCommand() *cli.Command {
	set := func(state string) cli.ActionFunc {
		return p.withClient(func(ctx context.Context, c *cli.Command, client opclient.Client) error {
			name, err := singleArgument(c, "UPSTREAM")
			if err != nil {
				return err
			}
			return p.setUpstreamState(ctx, c, client, name, state)
		})
	}
	return &cli.Command{
		Name:  "upstream",
		Usage: "manage upstreams",
		Commands: []*cli.Command{
			{
				Name: "drain", Usage: "stop sending new requests to an upstream", ArgsUsage: "UPSTREAM",
				Action: set(table.StateDraining),
			},
			{
				Name: "activate", Usage: "resume sending requests to an upstream", ArgsUsage: "UPSTREAM",
				Action: set(table.StateActive),
			},
		},
	}
}

func (p *app) setUpstreamState(
	ctx context.Context, c *cli.Command, client opclient.Client, name, state string,
) error {
	sheet, err := client.Rows(ctx, table.Upstreams, name)
	if err != nil {
		return err
	}
	if _, found := latestRevision(sheet, name); !found {
		return fmt.Errorf("%w: upstream %q: not in the table", exit.ErrUsage, name)
	}
	changes := []table.Change{{Sheet: table.Upstreams, Row: name, Column: "state", Value: state}}
	if err := setBaseRevisions(ctx, client, changes); err != nil {
		return err
	}
	return p.submit(ctx, c, client, changes)
}
