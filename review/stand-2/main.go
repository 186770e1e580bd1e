// Command stand-2 plays the scripts of an independent review: it starts boxes as processes, stand-ins for the platform,
// servers and clients, and disturbs them. It exits with 1 if the rule of the case was broken, with 0 if it held and
// with 2 if the case could not run. With TROUBLE=0 in its environment it disturbs nothing.
package main

import (
	"fmt"
	"os"
	"time"
)

// timeLimit is how long a case may take.
const timeLimit = 110 * time.Second

func main() {
	if len(os.Args) < 3 {
		fmt.Println("usage: stand-2 CASE FOLDER")
		os.Exit(exitCantRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	if os.Args[1] != "server" {
		time.AfterFunc(timeLimit, func() { cantRun("not over after %v", timeLimit) })
	}
	switch os.Args[1] {
	case "server":
		runServer(os.Args[2:])
	case "restarted-server":
		newService(os.Args[2], false).restartedServer(trouble, 0)
	case "restarted-model-server":
		newService(os.Args[2], true).restartedServer(trouble, lateBy)
	case "replaced-server":
		s := newService(os.Args[2], false)
		s.newIDs, s.warmUp = true, 2*time.Second
		s.restartedServer(trouble, 0)
	default:
		fmt.Println("unknown case", os.Args[1])
		os.Exit(exitCantRun)
	}
}
