package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelolock/pomelolock/burn"
	"github.com/pomelolock/pomelolock/claim"
	"github.com/pomelolock/pomelolock/internal/listen"
	"github.com/pomelolock/pomelolock/loadbalancer"
	"github.com/pomelolock/pomelolock/membership"
	"github.com/pomelolock/pomelolock/metrics"
	"github.com/pomelolock/pomelolock/peer"
	"github.com/pomelolock/pomelolock/probe"
	"github.com/pomelolock/pomelolock/proxy"
	"github.com/pomelolock/pomelolock/quarantine"
	"github.com/pomelolock/pomelolock/settings"
	"github.com/pomelolock/pomelolock/slot"
	"github.com/pomelolock/pomelolock/storage"
	"github.com/pomelolock/pomelolock/storage/httpplatform"
	"github.com/pomelolock/pomelolock/table"
)

// listPollInterval is the mean time between two reads of the instance list.
const listPollInterval = time.Second

// Daemon is one pomelolockd instance.
type Daemon struct {
	set    *settings.Settings
	logger *slog.Logger
	self   storage.Instance
	// started is the time at which New was called.
	started time.Time

	platform     *httpplatform.Client
	current      *table.Current
	store        *table.Store
	sync         *table.Sync
	mesh         *peer.Mesh
	tracker      *membership.Tracker
	slots        *slot.Manager
	claims       *claim.Journal
	recorder     *burn.Recorder
	burn         *burn.Keeper
	probes       *probe.Budget
	drainWatcher *drainWatcher
	quarantine   *quarantine.Quarantine
	proxy        *proxy.Proxy
	metrics      *metrics.Registry

	callers   *http.Server
	operators *http.Server
	listeners listeners

	leaving atomic.Bool
}

type listeners struct {
	caller, peer, operator net.Listener
}

// New assembles an instance and opens its listeners. It fails with [listen.Error] if an
// address can't be opened.
func New(set *settings.Settings, logger *slog.Logger) (*Daemon, error) {
	client, err := httpplatform.New(httpplatform.Options{BaseURL: set.Platform.URL, Timeout: set.Platform.Timeout()})
	if err != nil {
		return nil, err
	}
	d := &Daemon{set: set, logger: logger, self: instanceOf(set), started: time.Now(), current: table.NewCurrent(), platform: client}
	if err := d.wireFleet(); err != nil {
		return nil, err
	}
	d.wireRequests()
	if err := d.wireMetrics(); err != nil {
		return nil, err
	}
	if err := d.wireServers(); err != nil {
		return nil, err
	}
	return d, nil
}

func instanceOf(set *settings.Settings) storage.Instance {
	return storage.Instance{
		ID:              set.Instance.ID,
		Role:            storage.RoleEntry,
		Region:          set.Instance.Region,
		DataCentre:      set.Instance.DataCentre,
		PeerAddress:     set.Advertise.Peer,
		Address:         set.Advertise.Caller,
		OperatorAddress: set.Advertise.Operator,
		State:           storage.StateLive,
	}
}

// wireFleet creates the parts that communicate with the fleet: the sessions with peers,
// the membership tracker and the table.
func (d *Daemon) wireFleet() error {
	tlsConfig, err := d.peerTLS()
	if err != nil {
		return err
	}
	d.mesh = peer.NewMesh(peer.Options{
		Fleet:  d.set.Fleet,
		Self:   d.self,
		TLS:    tlsConfig,
		Logger: d.logger.With("part", "peer"),
	})
	d.tracker = membership.NewTracker(membership.Options{
		Self:      d.self,
		List:      d.platform,
		Messenger: d.mesh,
		Targets:   d.mesh,
		PollEvery: listPollInterval,
		Logger:    d.logger.With("part", "membership"),
	})
	d.store = table.NewStore(d.platform, d.platform)
	d.sync = table.NewSync(table.SyncOptions{
		Store:     d.store,
		Messenger: d.mesh,
		View:      d.tracker,
		Current:   d.current,
		Logger:    d.logger.With("part", "table"),
	})
	return nil
}

// wireRequests creates the parts that serve callers' requests.
func (d *Daemon) wireRequests() {
	d.slots = slot.New(slot.Options{
		Messenger: d.mesh,
		View:      d.tracker,
		Tables:    d.platform,
		Current:   d.current,
		Logger:    d.logger.With("part", "slot"),
	})
	d.claims = claim.New(claim.Options{
		Messenger: d.mesh,
		View:      d.tracker,
		Tables:    d.platform,
		Objects:   d.platform,
		Current:   d.current,
		Logger:    d.logger.With("part", "claim"),
	})
	d.quarantine = quarantine.New(quarantine.Options{
		Messenger: d.mesh,
		Logger:    d.logger.With("part", "quarantine"),
	})
	d.wireBurn()
	d.wireProbes()
	d.wireProxy()
}

func (d *Daemon) wireBurn() {
	d.recorder = burn.NewRecorder()
	d.burn = burn.NewKeeper(burn.Options{
		Recorder: d.recorder,
		Objects:  d.platform,
		View:     d.tracker,
		Current:  d.current,
		Logger:   d.logger.With("part", "burn"),
	})
}

func (d *Daemon) wireProxy() {
	d.proxy = proxy.New(proxy.Options{
		Current:          d.current,
		Balancer:         d.balancer(),
		Claimer:          d.claims,
		Logger:           d.logger.With("part", "proxy"),
		Quarantine:       d.quarantine,
		Recorder:         d.recorder,
		Observer:         d.drainWatcher,
		ConnLimit:        d.connLimit,
		MaxBufferedBytes: d.set.Limits.MaxBufferedBytes,
		WriteTimeout:     d.set.Limits.BodyTimeout(),
		Instance:         d.self.ID,
	})
}

// balancer returns a balancer that applies the policy of each service.
func (d *Daemon) balancer() loadbalancer.Balancer {
	draining := func(s table.Server) bool { return d.tracker.LeavingServer(s.Address) }
	return loadbalancer.NewByPolicy(d.current, map[table.Policy]loadbalancer.Balancer{
		table.PolicyLeases:    d.slots,
		table.PolicyBestOfTwo: loadbalancer.NewBestOfTwo(d.current, draining),
		table.PolicyRandom:    loadbalancer.NewRandom(d.current, draining),
	})
}

// connLimit returns how many connections this instance may open to a server, its share
// of the server's limit. While the instances of a fleet are replaced, two generations
// of them hold connections.
func (d *Daemon) connLimit(server table.Server) int {
	const generations = 2
	instances := max(len(d.tracker.Entries()), 1)
	return max(min(server.Slots, server.Connections/(generations*instances)), 1)
}

// Run serves until ctx ends and then shuts down gracefully. It returns the error of the
// first task that fails, or [DrainError] if requests did not finish in time.
func (d *Daemon) Run(ctx context.Context) error {
	taskCtx, endTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer endTasks()
	failed := make(chan error, taskErrorCapacity)
	var wg sync.WaitGroup
	for _, task := range d.tasks() {
		wg.Go(func() {
			if err := task.run(taskCtx); err != nil && taskCtx.Err() == nil {
				failed <- fmt.Errorf("task %s: %w", task.name, err)
			}
		})
	}
	d.logger.Info("serving", "instance", d.self.ID, "caller", d.listeners.caller.Addr(),
		"peer", d.listeners.peer.Addr(), "operator", d.listeners.operator.Addr())
	var err error
	select {
	case <-ctx.Done():
		err = d.stop()
	case err = <-failed:
	}
	endTasks()
	_ = d.operators.Close()
	_ = d.callers.Close()
	d.mesh.Close()
	wg.Wait()
	return err
}

// task is a background task that runs as long as the instance.
type task struct {
	name string
	run  func(ctx context.Context) error
}

// withoutError adapts a function that can't fail to the signature of a task.
func withoutError(run func(context.Context)) func(context.Context) error {
	return func(ctx context.Context) error {
		run(ctx)
		return nil
	}
}

// taskErrorCapacity is the capacity of the channel for the errors of tasks. It must be
// at least the number of tasks, so that none of them blocks.
const taskErrorCapacity = 16

func (d *Daemon) tasks() []task {
	return []task{
		{"callers", func(context.Context) error { return listen.Serve(d.callers, d.listeners.caller) }},
		{"operators", func(context.Context) error { return listen.Serve(d.operators, d.listeners.operator) }},
		{"peers", func(ctx context.Context) error { return d.mesh.Serve(ctx, d.listeners.peer) }},
		{"membership", d.tracker.Run},
		{"table", withoutError(d.sync.Run)},
		{"burn", withoutError(d.burn.Run)},
		{"slots", d.slots.Run},
		{"claims", d.claims.Run},
		{"transports", d.proxy.Run},
		{"probe budget", d.probes.Run},
		{"probes", d.drainWatcher.prober.Run},
		{"quarantine", d.quarantine.Run},
	}
}
