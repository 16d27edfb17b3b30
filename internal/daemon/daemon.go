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

// listPollEvery is the mean time between two reads of the instance list.
const listPollEvery = time.Second

// Daemon is one instance.
type Daemon struct {
	set    *settings.Settings
	logger *slog.Logger
	self   storage.Instance
	// started is when the process started.
	started time.Time

	platform   *httpplatform.Client
	current    *table.Current
	store      *table.Store
	sync       *table.Sync
	mesh       *peer.Mesh
	tracker    *membership.Tracker
	slots      *slot.Manager
	claims     *claim.Journal
	recorder   *burn.Recorder
	burn       *burn.Keeper
	probes     *probe.Budget
	watch      *serverWatch
	quarantine *quarantine.Quarantine
	proxy      *proxy.Proxy
	metrics    *metrics.Registry

	callers   *http.Server
	operators *http.Server
	listeners listeners

	leaving atomic.Bool
}

type listeners struct {
	caller, peer, operator net.Listener
}

// New wires an instance and opens its listeners.
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

// wireFleet creates what instances share: sessions, membership, the table.
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
		PollEvery: listPollEvery,
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

// wireRequests creates what serves callers.
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
		Observer:         d.watch,
		ConnLimit:        d.connLimit,
		MaxBufferedBytes: d.set.Limits.MaxBufferedBytes,
		WriteTimeout:     d.set.Limits.BodyTimeout(),
		Instance:         d.self.ID,
	})
}

// balancer applies each service's policy.
func (d *Daemon) balancer() loadbalancer.Balancer {
	leaving := func(s table.Server) bool { return d.tracker.LeavingServer(s.Address) }
	return loadbalancer.NewByPolicy(d.current, map[table.Policy]loadbalancer.Balancer{
		table.PolicyLeases:    d.slots,
		table.PolicyBestOfTwo: loadbalancer.NewBestOfTwo(d.current, leaving),
		table.PolicyRandom:    loadbalancer.NewRandom(d.current, leaving),
	})
}

// connLimit returns this instance's share of a server's connections. While a
// fleet is replaced two generations of instances hold connections.
func (d *Daemon) connLimit(server table.Server) int {
	const generations = 2
	instances := max(len(d.tracker.Entries()), 1)
	return max(min(server.Slots, server.Connections/(generations*instances)), 1)
}

// Run serves until ctx ends and then shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	duties, endDuties := context.WithCancel(context.WithoutCancel(ctx))
	defer endDuties()
	failed := make(chan error, dutyCount)
	var wg sync.WaitGroup
	for _, duty := range d.duties() {
		wg.Go(func() {
			if err := duty.run(duties); err != nil && duties.Err() == nil {
				failed <- fmt.Errorf("duty %s: %w", duty.name, err)
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
	endDuties()
	_ = d.operators.Close()
	_ = d.callers.Close()
	d.mesh.Close()
	wg.Wait()
	return err
}

// duty is one long-running part of the instance.
type duty struct {
	name string
	run  func(ctx context.Context) error
}

// endless makes a duty of a function that only ends with its context.
func endless(run func(context.Context)) func(context.Context) error {
	return func(ctx context.Context) error {
		run(ctx)
		return nil
	}
}

// dutyCount bounds the failures that duties can report.
const dutyCount = 16

func (d *Daemon) duties() []duty {
	return []duty{
		{"callers", func(context.Context) error { return listen.Serve(d.callers, d.listeners.caller) }},
		{"operators", func(context.Context) error { return listen.Serve(d.operators, d.listeners.operator) }},
		{"peers", func(ctx context.Context) error { return d.mesh.Serve(ctx, d.listeners.peer) }},
		{"membership", d.tracker.Run},
		{"table", endless(d.sync.Run)},
		{"burn", endless(d.burn.Run)},
		{"slots", d.slots.Run},
		{"claims", d.claims.Run},
		{"transports", d.proxy.Run},
		{"probe budget", d.probes.Run},
		{"probes", d.watch.prober.Run},
		{"quarantine", d.quarantine.Run},
	}
}
