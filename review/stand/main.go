// Command stand plays the cases of the review: it starts the boxes as processes, and holds the stand-ins of the store,
// the servers and the clients.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

var cases = map[string]func(e *env) error{
	"truncated":   truncated,
	"pages":       pages,
	"escaped":     escaped,
	"unconfirmed": unconfirmed,
	"echoed":      echoed,
}

func main() {
	if len(os.Args) == 5 && os.Args[1] == "server" {
		serveAlone(os.Args[2], os.Args[3], os.Args[4])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD | stand server ADDRESS ID SERVICE")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(e *env) error, record string) int {
	e, err := newEnv(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer e.close()
	done := make(chan error, 1)
	go func() { done <- run(e) }()
	select {
	case err = <-done:
	case <-time.After(110 * time.Second):
		err = errors.New("took too long")
	}
	switch {
	case err != nil:
		e.logf("could not run: %v", err)
		return 2
	case len(e.broken) > 0:
		e.logf("result: the rule was broken (%d times)", len(e.broken))
		return 1
	default:
		e.logf("result: the rule held")
		return 0
	}
}
