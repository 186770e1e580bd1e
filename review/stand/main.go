// Command stand plays the cases of the review: it starts the boxes as processes, and holds the stand-ins of the
// store, the servers, the clients and the links.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld = iota
	exitBroken
	exitCannotRun
)

const (
	maxPlayTime = 110 * time.Second
	serverArgs  = 4
	caseArgs    = 3
)

func caseByName(name string) func(e *env) error {
	switch name {
	case "truncated":
		return truncated
	case "pages":
		return pages
	case "escaped":
		return escaped
	case "unconfirmed":
		return unconfirmed
	case "echoed":
		return echoed
	default:
		return nil
	}
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	if len(os.Args) == serverArgs && os.Args[1] == "server" {
		stop()
		serveAlone(context.Background(), os.Args[2], os.Args[3])
		return
	}
	if len(os.Args) != caseArgs || caseByName(os.Args[1]) == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD | stand server ADDRESS ID")
		os.Exit(exitCannotRun)
	}
	status := play(ctx, caseByName(os.Args[1]), os.Args[2])
	stop()
	os.Exit(status)
}

// play plays a case and ends all processes that it started, also if it takes too long or is stopped.
func play(ctx context.Context, run func(e *env) error, record string) int {
	ctx, cancel := context.WithTimeout(ctx, maxPlayTime)
	defer cancel()
	e, err := newEnv(ctx, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer e.close()
	done := make(chan error, 1)
	go func() { done <- run(e) }()
	select {
	case err = <-done:
	case <-ctx.Done():
		err = errors.Join(errCannotRun, ctx.Err())
	}
	switch {
	case err != nil:
		e.logf("could not run: %v", err)
		return exitCannotRun
	case len(e.broken) > 0:
		e.logf("result: the rule was broken (%d times)", len(e.broken))
		return exitBroken
	default:
		e.logf("result: the rule held")
		return exitHeld
	}
}
