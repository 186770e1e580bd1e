package operatorcmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"github.com/oklog/ulid/v2"
	"github.com/urfave/cli/v3"

	"dooryard.example/dooryard/internal/cmd/exit"
	"dooryard.example/dooryard/internal/opclient"
	"dooryard.example/dooryard/internal/operators"
	"dooryard.example/dooryard/internal/table"
	"dooryard.example/dooryard/internal/tablefile"
)

func (p *app) tableCommand() *cli.Command {
	editFlags := []cli.Flag{
		&cli.StringFlag{Name: flagID, Usage: "id of the edit; reuse it to retry after an unknown verdict"},
		&cli.StringFlag{
			Name: flagOperator, Sources: cli.EnvVars("DOORYARD_OPERATOR", "USER"), Usage: "operator who makes the edit",
		},
	}
	fileFlags := []cli.Flag{
		&cli.StringFlag{Name: "sheet", Usage: "sheet that a CSV file contains"},
		&cli.BoolFlag{Name: "prune", Usage: "remove rows that are not in the file"},
	}
	return &cli.Command{
		Name:  "table",
		Usage: "show and edit the table",
		Commands: []*cli.Command{
			{
				Name: "get", Usage: "show a sheet, a row or a cell", ArgsUsage: "SHEET[/ROW[/COLUMN]]",
				Action: p.withClient(p.tableGet),
			},
			{
				Name: "set", Usage: "set cells atomically", ArgsUsage: "SHEET/ROW/COLUMN=VALUE ...",
				Flags: editFlags, Action: p.withClient(p.tableSet),
			},
			{
				Name: "remove", Usage: "remove rows", ArgsUsage: "SHEET/ROW ...",
				Flags: editFlags, Action: p.withClient(p.tableRemove),
			},
			{
				Name: "diff", Usage: "show what import would change", ArgsUsage: "FILE",
				Flags: fileFlags, Action: p.withClient(p.tableDiff),
			},
			{
				Name: "import", Usage: "apply a file to the table as one edit", ArgsUsage: "FILE",
				Flags: append(editFlags, fileFlags...), Action: p.withClient(p.tableImport),
			},
			{
				Name: "export", Usage: "print the table as YAML, or one sheet as CSV",
				Flags:  []cli.Flag{&cli.StringFlag{Name: "sheet", Usage: "print this sheet as CSV"}},
				Action: p.withClient(p.tableExport),
			},
			{Name: "history", Usage: "list the most recent accepted edits", Action: p.withClient(p.tableHistory)},
			{
				Name: "undo", Usage: "revert an accepted edit", ArgsUsage: "EDIT-ID",
				Flags: editFlags, Action: p.withClient(p.tableUndo),
			},
			{
				Name: "verdict", Usage: "show the verdict on an edit", ArgsUsage: "EDIT-ID",
				Action: p.withClient(p.tableVerdict),
			},
		},
	}
}

func (p *app) tableGet(ctx context.Context, c *cli.Command, client opclient.Client) error {
	path, err := singleArgument(c, "SHEET[/ROW[/COLUMN]]")
	if err != nil {
		return err
	}
	parts := strings.SplitN(path, "/", 3)
	if err := checkSheet(parts[0]); err != nil {
		return err
	}
	sheet, err := client.Rows(ctx, parts[0], parts[1:min(2, len(parts))]...)
	if err != nil {
		return err
	}
	if len(parts) > 1 {
		return p.printRow(sheet, parts[1:])
	}
	w := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "row\t"+strings.Join(sheet.Columns, "\t"))
	for _, row := range sheet.Rows {
		values := make([]string, len(row.Cells))
		for i, cell := range row.Cells {
			values[i] = cell.Value
		}
		fmt.Fprintln(w, row.Name+"\t"+strings.Join(values, "\t"))
	}
	return w.Flush()
}

func checkSheet(name string) error {
	if len(table.Columns(name)) == 0 {
		return fmt.Errorf("%w: sheet %q: unknown, must be one of %v", exit.ErrUsage, name, table.SheetNames())
	}
	return nil
}

func findSheet(reply operators.TableResponse, name string) (operators.Sheet, error) {
	for _, sheet := range reply.Sheets {
		if sheet.Name == name {
			return sheet, nil
		}
	}
	return operators.Sheet{}, checkSheet(name)
}

// printRow prints a row's cells with their revisions, or one cell's value alone.
func (p *app) printRow(sheet operators.Sheet, path []string) error {
	for _, row := range sheet.Rows {
		if row.Name != path[0] {
			continue
		}
		w := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
		for i, cell := range row.Cells {
			switch {
			case len(path) == 1:
				fmt.Fprintf(w, "%s\t%s\trevision %d\n", sheet.Columns[i], cell.Value, cell.Revision)
			case sheet.Columns[i] == path[1]:
				fmt.Fprintln(w, cell.Value)
			}
		}
		return w.Flush()
	}
	return fmt.Errorf("%w: row %q: unknown in %s", exit.ErrUsage, path[0], sheet.Name)
}

func (p *app) tableSet(ctx context.Context, c *cli.Command, client opclient.Client) error {
	if c.Args().Len() == 0 {
		return fmt.Errorf("%w: set: requires SHEET/ROW/COLUMN=VALUE", exit.ErrUsage)
	}
	changes := []table.Change{}
	for _, argument := range c.Args().Slice() {
		address, value, found := strings.Cut(argument, "=")
		parts := strings.SplitN(address, "/", 3)
		if !found || len(parts) != 3 {
			return fmt.Errorf("%w: %q: must be SHEET/ROW/COLUMN=VALUE", exit.ErrUsage, argument)
		}
		if err := table.CheckCell(parts[0], parts[1], parts[2], value); err != nil {
			return fmt.Errorf("%w: %w", exit.ErrUsage, err)
		}
		changes = append(changes, table.Change{Sheet: parts[0], Row: parts[1], Column: parts[2], Value: value})
	}
	if err := setBaseRevisions(ctx, client, changes); err != nil {
		return err
	}
	return p.submit(ctx, c, client, changes)
}

// setBaseRevisions sets the base revision of each change to the cell's current revision.
func setBaseRevisions(ctx context.Context, client opclient.Client, changes []table.Change) error {
	rows := map[string][]string{}
	for _, change := range changes {
		rows[change.Sheet] = append(rows[change.Sheet], change.Row)
	}
	reply := operators.TableResponse{}
	for name, names := range rows {
		sheet, err := client.Rows(ctx, name, names...)
		if err != nil {
			return err
		}
		reply.Sheets = append(reply.Sheets, sheet)
	}
	for i, change := range changes {
		changes[i].BasedOn = findCell(reply, []string{change.Sheet, change.Row, change.Column}).Revision
	}
	return nil
}

// findCell returns the cell at a sheet, row and column, or the zero value if there is none.
func findCell(reply operators.TableResponse, parts []string) table.Cell {
	sheet, err := findSheet(reply, parts[0])
	if err != nil {
		return table.Cell{}
	}
	for _, row := range sheet.Rows {
		if row.Name != parts[1] {
			continue
		}
		for i, cell := range row.Cells {
			if sheet.Columns[i] == parts[2] {
				return cell
			}
		}
	}
	return table.Cell{}
}

func (p *app) tableRemove(ctx context.Context, c *cli.Command, client opclient.Client) error {
	changes := []table.Change{}
	for _, address := range c.Args().Slice() {
		sheetName, rowName, _ := strings.Cut(address, "/")
		if err := checkSheet(sheetName); err != nil {
			return err
		}
		sheet, err := client.Rows(ctx, sheetName, rowName)
		if err != nil {
			return err
		}
		latest, found := latestRevision(sheet, rowName)
		if !found {
			return fmt.Errorf("%w: row %q: unknown in %s", exit.ErrUsage, rowName, sheetName)
		}
		changes = append(changes, table.Change{Sheet: sheetName, Row: rowName, Remove: true, BasedOn: latest})
	}
	return p.submit(ctx, c, client, changes)
}

func latestRevision(sheet operators.Sheet, rowName string) (latest int64, found bool) {
	for _, row := range sheet.Rows {
		if row.Name != rowName {
			continue
		}
		for _, cell := range row.Cells {
			latest = max(latest, cell.Revision)
		}
		return latest, true
	}
	return 0, false
}

// submit submits an edit and prints its verdict. If the verdict is unknown, the error names
// the id by which to query it.
func (p *app) submit(ctx context.Context, c *cli.Command, client opclient.Client, changes []table.Change) error {
	if len(changes) == 0 {
		fmt.Fprintln(p.out, "nothing to change")
		return nil
	}
	edit := table.Edit{ID: c.String(flagID), Operator: c.String(flagOperator), Changes: changes}
	if edit.ID == "" {
		edit.ID = ulid.Make().String()
	}
	verdict, err := client.Submit(ctx, edit)
	if errors.Is(err, opclient.ErrVerdictUnknown) {
		return cli.Exit(fmt.Sprintf("the verdict on edit %s is not known yet: it may still be applied.\n"+
			"Query it with: dooryard table verdict %s\nOr retry the command with: --id %s", edit.ID, edit.ID, edit.ID),
			exitCodeVerdictUnknown)
	}
	if err != nil {
		return err
	}
	return p.printVerdict(verdict)
}

// exitCodeVerdictUnknown is the exit code of an edit whose verdict is not known.
const exitCodeVerdictUnknown = 3

func (p *app) printVerdict(verdict table.Verdict) error {
	fmt.Fprintf(p.out, "edit %s at offset %d: %s\n", verdict.ID, verdict.Offset, verdict.Result)
	for _, issue := range verdict.Issues {
		fmt.Fprintf(p.out, "  %s: %s\n", issue.Address, issue.Reason)
		if verdict.Result == table.Conflict {
			fmt.Fprintf(p.out, "    new value: %q, in the table: %q (revision %d)\n",
				issue.Wanted, issue.Current, issue.CurrentRevision)
		}
	}
	if verdict.Result != table.Accepted {
		return errRejected
	}
	return nil
}

func readFile(path, sheet string) (tablefile.File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return tablefile.File{}, fmt.Errorf("%w: %w", exit.ErrUsage, err)
	}
	file, err := decodeFile(path, sheet, data)
	if err != nil {
		return tablefile.File{}, errors.Join(exit.ErrUsage, err)
	}
	return file, nil
}

func decodeFile(path, sheet string, data []byte) (tablefile.File, error) {
	if filepath.Ext(path) == ".csv" {
		return decodeCSV(path, sheet, data)
	}
	return tablefile.DecodeYAML(path, data)
}

// fileChanges returns the changes that an import of the file would make to the current table.
func fileChanges(ctx context.Context, c *cli.Command, client opclient.Client) ([]table.Change, error) {
	path, err := singleArgument(c, "FILE")
	if err != nil {
		return nil, err
	}
	file, err := readFile(path, c.String("sheet"))
	if err != nil {
		return nil, err
	}
	reply, err := client.Table(ctx)
	if err != nil {
		return nil, err
	}
	history, err := client.History(ctx)
	if err != nil {
		return nil, err
	}
	return tablefile.Diff(file, tablefile.Baseline{Table: reply, History: history}, c.Bool("prune")), nil
}

func (p *app) tableDiff(ctx context.Context, c *cli.Command, client opclient.Client) error {
	changes, err := fileChanges(ctx, c, client)
	if err != nil {
		return err
	}
	reply, err := client.Table(ctx)
	if err != nil {
		return err
	}
	for _, change := range changes {
		if change.Remove {
			fmt.Fprintf(p.out, "- %s\n", change.Address())
			continue
		}
		current := findCell(reply, []string{change.Sheet, change.Row, change.Column})
		fmt.Fprintf(p.out, "~ %s: %q -> %q\n", change.Address(), current.Value, change.Value)
	}
	return nil
}

func (p *app) tableImport(ctx context.Context, c *cli.Command, client opclient.Client) error {
	changes, err := fileChanges(ctx, c, client)
	if err != nil {
		return err
	}
	return p.submit(ctx, c, client, changes)
}

func (p *app) tableExport(ctx context.Context, c *cli.Command, client opclient.Client) error {
	reply, err := client.Table(ctx)
	if err != nil {
		return err
	}
	file := tablefile.FromTable(reply)
	encode := file.EncodeYAML
	if sheet := c.String("sheet"); sheet != "" {
		encode = func() ([]byte, error) { return file.EncodeCSV(sheet) }
	}
	data, err := encode()
	if err != nil {
		return fmt.Errorf("%w: %w", exit.ErrUsage, err)
	}
	_, err = p.out.Write(data)
	return err
}

func (p *app) tableHistory(ctx context.Context, _ *cli.Command, client opclient.Client) error {
	history, err := client.History(ctx)
	if err != nil {
		return err
	}
	for _, entry := range history {
		fmt.Fprintf(p.out, "%d %s by %s\n", entry.Offset, entry.ID, entry.Operator)
		for i, change := range entry.Changes {
			if change.Remove {
				fmt.Fprintf(p.out, "  - %s\n", change.Address())
				continue
			}
			fmt.Fprintf(p.out, "  %s: %q -> %q\n", change.Address(), entry.PreviousValues[i], change.Value)
		}
	}
	return nil
}

func (p *app) tableUndo(ctx context.Context, c *cli.Command, client opclient.Client) error {
	id, err := singleArgument(c, "EDIT-ID")
	if err != nil {
		return err
	}
	history, err := client.History(ctx)
	if err != nil {
		return err
	}
	reply, err := client.Table(ctx)
	if err != nil {
		return err
	}
	for _, entry := range history {
		if entry.ID == id {
			return p.submit(ctx, c, client, tablefile.Undo(entry, reply))
		}
	}
	return fmt.Errorf("%w: edit %s: not among the most recent accepted edits", exit.ErrUsage, id)
}

func (p *app) tableVerdict(ctx context.Context, c *cli.Command, client opclient.Client) error {
	id, err := singleArgument(c, "EDIT-ID")
	if err != nil {
		return err
	}
	verdict, err := client.Verdict(ctx, id)
	if err != nil {
		return err
	}
	return p.printVerdict(verdict)
}

// keyCommand prints the hash of a caller's key, which is what the table stores.
func (p *app) keyCommand() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "read a caller's key from standard input and print its hash for the table",
		Action: func(context.Context, *cli.Command) error {
			data, err := io.ReadAll(io.LimitReader(p.in, maxKeyBytes))
			if err != nil {
				return fmt.Errorf("read key: %w", err)
			}
			key := strings.TrimSpace(string(data))
			if key == "" {
				return fmt.Errorf("%w: standard input contains no key", exit.ErrUsage)
			}
			fmt.Fprintln(p.out, table.HashKey(key))
			return nil
		},
	}
}

const maxKeyBytes = 4096
