// Package exit runs a command as a program's main function: it handles signals, prints
// errors and sets the exit code.
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
	codeError = 1
	// codeUsage is returned for invalid settings or arguments.
	codeUsage = 2
)

// ErrUsage is wrapped by errors that are caused by invalid user input.
var ErrUsage = errors.New("usage")

// Main runs the command. If it fails, Main prints the error and exits with its code. The
// first interrupt or termination signal cancels the command's context; a second one
// terminates the process immediately.
func Main(command *cli.Command) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, stop)
	err := command.Run(ctx, os.Args)
	stop()
	if err == nil {
		return
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", command.Name, err)
	os.Exit(Code(err))
}

// Code returns the exit code of a program whose command failed with an error.
func Code(err error) int {
	if errors.Is(err, config.ErrInvalid) || errors.Is(err, ErrUsage) {
		return codeUsage
	}
	var coder cli.ExitCoder
	if errors.As(err, &coder) {
		return coder.ExitCode()
	}
	return codeError
}
