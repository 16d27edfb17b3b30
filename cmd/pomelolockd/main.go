// Command pomelolockd is the load balancer's daemon. It runs until SIGTERM or
// SIGINT and then shuts down gracefully.
//
// With --settings it serves a standalone fleet; with --platform it serves on the
// users' platform, which names the settings file in an environment variable.
//
// Exit codes: 0 after a graceful shutdown, 1 after a failure, 2 for invalid
// settings or flags.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/pomelolock/pomelolock/internal/daemon"
	"github.com/pomelolock/pomelolock/internal/entry"
	"github.com/pomelolock/pomelolock/internal/logline"
	"github.com/pomelolock/pomelolock/platform"
	"github.com/pomelolock/pomelolock/settings"
)

const (
	exitFailure = 1
	exitUsage   = 2
)

// platformLogLevel is the lowest level that is logged on the users' platform.
const platformLogLevel = "info"

type flags struct {
	Settings string `xor:"settings" required:"" type:"path" help:"Settings file, JSON with comments."`
	Platform bool   `xor:"settings" required:"" help:"Serve on the users' platform, with the settings file that it names."`
	Check    bool   `help:"Check the settings and exit."`
}

// server is an instance that runs until its context ends.
type server interface {
	Run(ctx context.Context) error
}

func main() { os.Exit(run()) }

func run() int {
	var f flags
	parser := kong.Must(&f, kong.Name("pomelolockd"), kong.Description("Load balancer daemon."))
	if _, err := parser.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if f.Platform {
		return runOnPlatform(f.Check)
	}
	set, err := settings.Load(f.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if f.Check {
		return 0
	}
	logger, err := logline.New(os.Stderr, set.Log.Level)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	return serve(logger, func() (server, error) { return daemon.New(set, logger) })
}

// runOnPlatform serves on the users' platform with the settings file named in
// [platform.SettingsVariable], or only checks that file.
func runOnPlatform(check bool) int {
	path := os.Getenv(platform.SettingsVariable)
	set, err := platform.LoadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if check {
		return 0
	}
	lines := logline.NewWriter(os.Stdout)
	defer lines.Close()
	logger, err := logline.New(lines, platformLogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	return serve(logger, func() (server, error) {
		store := platform.NewStore(set.Store)
		return entry.New(entry.Options{
			Settings: set,
			Store:    store,
			Archive:  store,
			Protocol: platform.Headers{},
			Reload:   func() (*entry.Settings, error) { return platform.LoadSettings(path) },
			Logger:   logger,
		})
	})
}

// serve creates an instance, runs it until SIGTERM or SIGINT and returns the exit
// code.
func serve(logger *slog.Logger, create func() (server, error)) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	instance, err := create()
	if err != nil {
		logger.Error("start failed", "error", err)
		return exitFailure
	}
	if err := instance.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
		logger.Error("stopped with a failure", "error", err)
		return exitFailure
	}
	return 0
}
