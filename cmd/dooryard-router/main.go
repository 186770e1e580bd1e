// Command dooryard-router routes requests on an entry box.
package main

import (
	"github.com/urfave/cli/v3"

	_ "dooryard.example/dooryard/internal/cmd/arenas"
	"dooryard.example/dooryard/internal/cmd/daemon"
	"dooryard.example/dooryard/internal/cmd/routercmd"
	"dooryard.example/dooryard/internal/cmd/signals"
	"dooryard.example/dooryard/internal/cmd/threads"
)

func main() {
	daemon.Main(signals.Received, func(p *daemon.Process) *cli.Command {
		p.UseProcessors = threads.Use
		return routercmd.New(p)
	})
}
