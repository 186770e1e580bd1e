package operatorcmd

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/urfave/cli/v3"

	"dooryard.example/dooryard/internal/cmd/exit"
	"dooryard.example/dooryard/internal/table"
	"dooryard.example/dooryard/internal/tablefile"
	"dooryard.example/dooryard/pkg/config"
)

func (p *app) checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "validate a settings file of a box, or a table file (.yaml, or .csv with --sheet)",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "sheet", Usage: "sheet that a CSV file contains"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			path, err := singleArgument(c, "FILE")
			if err != nil {
				return err
			}
			kind, err := checkFile(path, c.String("sheet"))
			if err != nil {
				return errors.Join(exit.ErrUsage, err)
			}
			fmt.Fprintf(p.out, "%s: %s is valid\n", path, kind)
			return nil
		},
	}
}

// checkFile validates a file and returns its kind.
func checkFile(path, sheet string) (kind string, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	if filepath.Ext(path) == ".csv" {
		_, err := decodeCSV(path, sheet, data)
		return "table sheet", err
	}
	if isTable(data) {
		_, err := tablefile.DecodeYAML(path, data)
		return "table", err
	}
	if isGateway(data) {
		_, err = config.ParseGateway(path, data)
		return "gateway settings", err
	}
	_, err = config.ParseRouter(path, data)
	return "settings", err
}

// isGateway reports whether a file has the settings of a gateway, by a key that the settings of
// a router don't have.
func isGateway(data []byte) bool {
	return bytes.HasPrefix(data, []byte("callers_address:")) || bytes.Contains(data, []byte("\ncallers_address:"))
}

func decodeCSV(path, sheet string, data []byte) (tablefile.File, error) {
	if sheet == "" {
		return tablefile.File{}, fmt.Errorf("%w: --sheet: name the sheet that %s holds, one of %v",
			exit.ErrUsage, path, table.SheetNames())
	}
	return tablefile.DecodeCSV(path, sheet, data)
}

// isTable reports whether a file is a table, by the names of its sheets, which are not keys of
// any settings file.
func isTable(data []byte) bool {
	for line := range bytes.Lines(data) {
		name, _, found := strings.Cut(string(line), ":")
		if found && len(table.Columns(name)) > 0 {
			return true
		}
	}
	return false
}
