// Command dooryard-load sends load to a fleet and checks every response.
package main

import (
	"os"

	"dooryard.example/dooryard/internal/cmd/exit"
	"dooryard.example/dooryard/internal/cmd/loadcmd"
)

func main() { exit.Main(loadcmd.New(os.Stdout, os.Stderr)) }
