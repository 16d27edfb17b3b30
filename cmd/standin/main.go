// Command standin runs the stand-ins that take the platform's and the backend
// servers' place in tests, the demo and the bench.
package main

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	charmlog "github.com/charmbracelet/log"
)

const (
	shutdownTimeout   = 30 * time.Second
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
)

type cli struct {
	Platform platformCommand `cmd:"" help:"Serve the platform: table service, object store and instance list."`
	Backend  backendCommand  `cmd:"" help:"Serve as one backend server."`
}

func main() {
	var cli cli
	kctx := kong.Parse(&cli, kong.Name("standin"), kong.Description("Stand-ins for the platform and for backend servers."))
	logger := slog.New(charmlog.NewWithOptions(os.Stderr, charmlog.Options{
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		Formatter:       charmlog.LogfmtFormatter,
	}))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	kctx.BindTo(ctx, (*context.Context)(nil))
	kctx.FatalIfErrorf(kctx.Run(logger))
}

// serve runs handler on listener until ctx ends, then finishes the requests in
// flight.
func serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	timeout, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	err := server.Shutdown(timeout)
	if served := <-failed; !errors.Is(served, http.ErrServerClosed) {
		err = errors.Join(err, served)
	}
	return err
}
