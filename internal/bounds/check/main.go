// Command check compares the measurements of package bounds with their recorded bounds. With
// -update it records the current measurements as new bounds.
package main

import (
	"flag"
	"fmt"
	"os"

	"dooryard.example/dooryard/internal/bounds"
)

func main() {
	path := flag.String("file", "internal/bounds/bounds.json", "path of the bounds file")
	update := flag.Bool("update", false, "record the current measurements as new bounds")
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
	values, err := bounds.Measure()
	if err != nil {
		return err
	}
	if update {
		return bounds.Update(path, known, values)
	}
	return bounds.Check(os.Stdout, known, values)
}
