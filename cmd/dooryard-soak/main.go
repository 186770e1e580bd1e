// Command dooryard-soak injects faults into real boxes from outside and checks their guarantees.
package main

import (
	"os"

	"dooryard.example/dooryard/internal/cmd/exit"
	"dooryard.example/dooryard/internal/cmd/soakcmd"
	"dooryard.example/dooryard/internal/soak"
)

func main() {
	soak.RunLimited()
	exit.Main(soakcmd.New(os.Stdout))
}
