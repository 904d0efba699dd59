// Package cli implements the auburnlead command line.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/auburnlead/auburnlead/settings"
)

// Exit codes, the same for every command.
const (
	ExitDone        = 0
	ExitFailed      = 1
	ExitUsage       = 2 // usage or invalid input
	ExitConflict    = 3 // another revision was published first
	ExitUnreachable = 4 // the router or stand-in did not respond or is unavailable
)

// ExitError is an error with its exit code.
type ExitError struct {
	Code int
	Err  error
}

func (e *ExitError) Error() string { return e.Err.Error() }
func (e *ExitError) Unwrap() error { return e.Err }

// Streams are the outputs of a command.
type Streams struct {
	Out    io.Writer
	Err    io.Writer
	Output string // text or json
}

// commands is the root of the command line.
type commands struct {
	Output  string     `help:"Output format." enum:"text,json" default:"text" placeholder:"text|json"`
	Router  routerCmd  `cmd:"" help:"Run the router daemon."`
	Gateway gatewayCmd `cmd:"" help:"Run the gateway daemon, which serves the routes in the platform's store."`
	Load    loadCmd    `cmd:"" help:"Send requests to a router."`
	Standin standinCmd `cmd:"" help:"Run a stand-in for the platform or an upstream."`
	Version versionCmd `cmd:"" help:"Print the version."`
	operatorCommands
}

// Main parses the arguments, runs the command and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	var c commands
	exit := -1
	parser, err := kong.New(&c,
		kong.Name("auburnlead"),
		kong.Description("Fleet of request routers for model engines and plain services. Exit codes: 0 done, 1 failed, 2 usage or invalid input, 3 conflict, 4 unreachable."),
		kong.Writers(out, errOut),
		kong.Exit(func(code int) { exit = code }),
		kong.UsageOnError(),
	)
	if err != nil {
		fmt.Fprintln(errOut, "auburnlead:", err)
		return ExitFailed
	}
	k, err := parser.Parse(args)
	if exit >= 0 {
		return exit
	}
	if err != nil {
		fmt.Fprintf(errOut, "auburnlead: %v; run auburnlead --help\n", err)
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	return report(k.Run(&Streams{Out: out, Err: errOut, Output: c.Output}), errOut)
}

// report prints an error and returns its exit code.
func report(err error, errOut io.Writer) int {
	if err == nil {
		return ExitDone
	}
	fmt.Fprintln(errOut, "auburnlead:", err)
	var exit *ExitError
	if errors.As(err, &exit) {
		return exit.Code
	}
	var invalid *settings.Error
	if errors.As(err, &invalid) {
		return ExitUsage
	}
	return ExitFailed
}
