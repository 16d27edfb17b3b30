package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"time"

	"github.com/pomelolock/pomelolock/internal/standin/backend"
	"github.com/pomelolock/pomelolock/internal/standin/execlog"
	"github.com/pomelolock/pomelolock/storage"
	"github.com/pomelolock/pomelolock/storage/httpplatform"
)

const listTimeout = 2 * time.Second

type backendCommand struct {
	Listen       string               `default:"127.0.0.1:7100" help:"Address to serve work on."`
	Admin        string               `default:"127.0.0.1:7101" help:"Address of the switches and counts."`
	Name         string               `default:"backend" help:"Name of the server."`
	Slots        int                  `default:"6" help:"Requests that run at once."`
	Connections  int                  `default:"250" help:"Connections that may be open."`
	ConnectCost  time.Duration        `default:"1ms" help:"Time that opening a connection takes."`
	ServiceTime  time.Duration        `default:"10ms" help:"Mean service time."`
	Distribution backend.Distribution `default:"exponential" enum:"exponential,fixed" help:"Shape of the service times."`
	Seed         uint64               `default:"1" help:"Seed of the faults."`
	CrashMarked  bool                 `default:"true" negatable:"" help:"Exit when a marked request runs."`
	Log          string               `help:"File to append executions to, as JSON lines."`
	Faults       string               `help:"Faults active from the start, as JSON."`
	Platform     string               `help:"URL of a platform in whose instance list to appear."`
	Region       string               `default:"region-1" help:"Region in the instance list."`
	DataCentre   string               `default:"dc-1" help:"Data centre in the instance list."`
}

// Run serves as a backend server until ctx ends.
func (c *backendCommand) Run(ctx context.Context, logger *slog.Logger) error {
	log, err := execlog.Open(c.Log)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	work, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	admin, err := net.Listen("tcp", c.Admin)
	if err != nil {
		return fmt.Errorf("listen admin: %w", err)
	}
	reg, err := c.newRegistration(work.Addr().String(), logger)
	if err != nil {
		return err
	}
	server, err := c.newServer(log, reg)
	if err != nil {
		return err
	}
	reg.setState(ctx, storage.StateLive)
	defer reg.remove(ctx)
	logger.Info("backend_serving", "name", c.Name, "address", work.Addr().String(), "admin", admin.Addr().String())
	return c.serveBoth(ctx, server, work, admin)
}

func (c *backendCommand) newServer(log *execlog.Writer, reg *registration) (*backend.Server, error) {
	var faults backend.Faults
	if c.Faults != "" {
		if err := json.Unmarshal([]byte(c.Faults), &faults); err != nil {
			return nil, fmt.Errorf("faults: %w", err)
		}
	}
	return backend.New(backend.Options{
		Name:         c.Name,
		Slots:        c.Slots,
		Connections:  c.Connections,
		ConnectCost:  c.ConnectCost,
		ServiceTime:  c.ServiceTime,
		Distribution: c.Distribution,
		Seed:         c.Seed,
		CrashMarked:  c.CrashMarked,
		Log:          log,
		Faults:       faults,
		OnDrain:      reg.onDrain,
	}), nil
}

// serveBoth serves requests and the admin interface until ctx ends. It stops the
// admin listener only after the requests in flight have finished.
func (c *backendCommand) serveBoth(ctx context.Context, server *backend.Server, work, admin net.Listener) error {
	adminCtx, stopAdmin := context.WithCancel(context.WithoutCancel(ctx))
	adminDone := make(chan error, 1)
	go func() { adminDone <- serve(adminCtx, admin, server.Admin()) }()
	err := serve(ctx, server.Listen(work), server)
	stopAdmin()
	return errors.Join(err, <-adminDone)
}

// registration is the server's entry in the platform's instance list. Without a
// platform its methods do nothing.
type registration struct {
	client   *httpplatform.Client
	instance storage.Instance
	logger   *slog.Logger
}

func (c *backendCommand) newRegistration(address string, logger *slog.Logger) (*registration, error) {
	r := &registration{logger: logger, instance: storage.Instance{
		ID: c.Name, Role: storage.RoleBackend, Region: c.Region, DataCentre: c.DataCentre, Address: address,
	}}
	if c.Platform == "" {
		return r, nil
	}
	client, err := httpplatform.New(httpplatform.Options{BaseURL: c.Platform, Timeout: listTimeout})
	r.client = client
	return r, err
}

func (r *registration) setState(ctx context.Context, state storage.InstanceState) {
	if r.client == nil {
		return
	}
	instance := r.instance
	instance.State = state
	if err := r.client.SetInstance(ctx, instance); err != nil {
		r.logger.Warn("instance_list_write_failed", "err", err)
	}
}

// onDrain lists the server as leaving while it drains and as live otherwise.
func (r *registration) onDrain(draining bool) {
	state := storage.StateLive
	if draining {
		state = storage.StateLeaving
	}
	r.setState(context.Background(), state)
}

func (r *registration) remove(ctx context.Context) {
	if r.client == nil {
		return
	}
	if err := r.client.RemoveInstance(context.WithoutCancel(ctx), r.instance.ID); err != nil {
		r.logger.Warn("instance_list_write_failed", "err", err)
	}
}
