// Command dooryard-router routes requests on an entry box.
package main

import (
	"os"

	"dooryard.example/dooryard/internal/cmd/exit"
	"dooryard.example/dooryard/internal/cmd/routercmd"
)

func main() { exit.Main(routercmd.New(os.Stdout, os.Stderr)) }
