// Command dooryard-router routes requests on an entry box.
package main

import (
	_ "dooryard.example/dooryard/internal/cmd/arenas"
	"dooryard.example/dooryard/internal/cmd/daemon"
	"dooryard.example/dooryard/internal/cmd/routercmd"
	"dooryard.example/dooryard/internal/cmd/signals"
)

func main() { daemon.Main(signals.Received, routercmd.New) }
