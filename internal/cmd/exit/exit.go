// Package exit runs a command as a program's main: signals, errors and the exit
// code.
package exit

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"dooryard.example/dooryard/pkg/config"
)

// Exit codes.
const (
	codeFailed = 1
	// codeUsage tells of settings or arguments that can't be used.
	codeUsage = 2
)

// ErrUsage marks errors in what the user wrote.
var ErrUsage = errors.New("usage")

// Main runs the command until it ends. The first interrupt or termination
// signal ends its context; a second one ends the process at once.
func Main(command *cli.Command) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, stop)
	err := command.Run(ctx, os.Args)
	stop()
	if err == nil {
		return
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", command.Name, err)
	os.Exit(code(err))
}

func code(err error) int {
	if errors.Is(err, config.ErrInvalid) || errors.Is(err, ErrUsage) {
		return codeUsage
	}
	var coder cli.ExitCoder
	if errors.As(err, &coder) {
		return coder.ExitCode()
	}
	return codeFailed
}
