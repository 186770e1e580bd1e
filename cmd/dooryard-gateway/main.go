// Command dooryard-gateway routes opaque requests on an entry box of the users' platform.
package main

import (
	"github.com/urfave/cli/v3"

	_ "dooryard.example/dooryard/internal/cmd/arenas"
	"dooryard.example/dooryard/internal/cmd/daemon"
	"dooryard.example/dooryard/internal/cmd/gatewaycmd"
	"dooryard.example/dooryard/internal/cmd/signals"
	"dooryard.example/dooryard/internal/cmd/threads"
	"dooryard.example/dooryard/platform"
)

func main() {
	daemon.Main(signals.Received, func(p *daemon.Process) *cli.Command {
		p.UseProcessors, p.ThreadsNearLimit = threads.Use, threads.NearLimit
		return gatewaycmd.New(p, platform.Adapter())
	})
}
