// Command dooryard-standin runs stand-ins for external systems.
package main

import (
	"os"

	"dooryard.example/dooryard/internal/cmd/exit"
	"dooryard.example/dooryard/internal/cmd/standincmd"
)

func main() { exit.Main(standincmd.New(os.Stdout)) }
