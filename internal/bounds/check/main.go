// Command check compares the figures of package bounds with their bounds; with
// -update it takes the present figures for new bounds.
package main

import (
	"flag"
	"fmt"
	"os"

	"dooryard.example/dooryard/internal/bounds"
)

func main() {
	path := flag.String("file", "internal/bounds/bounds.json", "file of the bounds")
	update := flag.Bool("update", false, "take the present figures for new bounds")
	flag.Parse()
	if err := run(*path, *update); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(path string, update bool) error {
	known, err := bounds.Load(path)
	if err != nil && !update {
		return err
	}
	figures, err := bounds.Measure()
	if err != nil {
		return err
	}
	if update {
		return bounds.Update(path, known, figures)
	}
	return bounds.Check(os.Stdout, known, figures)
}
