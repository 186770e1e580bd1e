// Command dooryard-gateway routes opaque requests on an entry box of the users' platform.
package main

import (
	"os"

	"dooryard.example/dooryard/internal/cmd/exit"
	"dooryard.example/dooryard/internal/cmd/gatewaycmd"
	"dooryard.example/dooryard/platform"
)

func main() { exit.Main(gatewaycmd.New(os.Stdout, platform.Adapter())) }
