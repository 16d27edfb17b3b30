package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"

	"github.com/pomelolock/pomelolock/internal/standin/platformd"
	"github.com/pomelolock/pomelolock/storage/memory"
)

type platformCommand struct {
	Listen string `default:"127.0.0.1:7000" help:"Address to serve on."`
}

// Run serves an empty in-memory platform until ctx ends.
func (c *platformCommand) Run(ctx context.Context, logger *slog.Logger) error {
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	logger.Info("platform_serving", "address", listener.Addr().String())
	return serve(ctx, listener, platformd.NewHandler(memory.New()))
}
