// Command dooryard is the command line client for operators.
package main

import (
	"os"

	"dooryard.example/dooryard/internal/cmd/exit"
	"dooryard.example/dooryard/internal/cmd/operatorcmd"
)

func main() { exit.Main(operatorcmd.New(os.Stdin, os.Stdout)) }
