// Command pomelolockd is the load balancer's daemon. It runs until SIGTERM or
// SIGINT and then shuts down gracefully.
//
// Exit codes: 0 after a graceful shutdown, 1 after a failure, 2 for settings
// or flags that can't be used.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/pomelolock/pomelolock/internal/daemon"
	"github.com/pomelolock/pomelolock/settings"
)

const (
	exitFailure = 1
	exitUsage   = 2
)

type flags struct {
	Settings string `required:"" type:"path" help:"Settings file, JSON with comments."`
	Check    bool   `help:"Check the settings and exit."`
}

func main() { os.Exit(run()) }

func run() int {
	var f flags
	parser := kong.Must(&f, kong.Name("pomelolockd"), kong.Description("Load balancer daemon."))
	if _, err := parser.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	set, err := settings.Load(f.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if f.Check {
		return 0
	}
	return serve(set)
}

func serve(set *settings.Settings) int {
	logger, err := daemon.NewLogger(os.Stderr, set.Log.Level)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := daemon.New(set, logger)
	if err != nil {
		logger.Error("start failed", "error", err)
		return exitFailure
	}
	if err := d.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
		logger.Error("stopped with a failure", "error", err)
		return exitFailure
	}
	return 0
}
