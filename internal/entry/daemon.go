package entry

import (
	"context"
	"fmt"
	"iter"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelolock/pomelolock/admission"
	"github.com/pomelolock/pomelolock/callerconn"
	"github.com/pomelolock/pomelolock/directory"
	"github.com/pomelolock/pomelolock/feed"
	"github.com/pomelolock/pomelolock/forward"
	"github.com/pomelolock/pomelolock/gossip"
	"github.com/pomelolock/pomelolock/internal/listen"
	"github.com/pomelolock/pomelolock/membership"
	"github.com/pomelolock/pomelolock/memory"
	"github.com/pomelolock/pomelolock/metrics"
	"github.com/pomelolock/pomelolock/quarantine"
	"github.com/pomelolock/pomelolock/readings"
	"github.com/pomelolock/pomelolock/retrybudget"
	"github.com/pomelolock/pomelolock/serverconn"
	"github.com/pomelolock/pomelolock/storeclock"
	"github.com/pomelolock/pomelolock/table"
)

const (
	// assumedInstances is the assumed size of the fleet until other instances are
	// known. It is high, so that the shares of the retry budget don't add up to
	// more than the budget.
	assumedInstances = 512
	// checkShare is the fraction of the allowed status checks that is used. The
	// rest covers instances that check the same server because they don't receive
	// each other's datagrams.
	checkShare = 0.7
	// demandShare and quietShare are the parts of checkShare for checks on demand and
	// for periodic checks while no request waits.
	demandShare = 0.5
	quietShare  = 0.2
	// checksPerRequest is the number of periodic checks for each request of a service
	// while no request waits.
	checksPerRequest = 0.5
	// idleCheckInterval is the time between two checks of a server that gets hardly any
	// requests: it finds servers that are down before a request meets them.
	idleCheckInterval = 500 * time.Millisecond
	// minReadDelay is the time in which a process that starts in a running fleet gets its
	// state from a peer. readDelaySpread bounds the random time for which it waits longer.
	minReadDelay    = 150 * time.Millisecond
	readDelaySpread = 350 * time.Millisecond
	// fastLinkMbps is the speed of a link, in Mbit/s, over which an instance can send
	// its state to many others.
	fastLinkMbps = 100
	// targetsTTL is how long the list of servers to check is cached.
	targetsTTL = 150 * time.Millisecond
	// sweepInterval is the time between two removals of the state of servers that
	// are no longer in the directory.
	sweepInterval = time.Second
	// readHeaderTimeout bounds the time to read a request's header on the
	// listeners for readiness and metrics.
	readHeaderTimeout = 10 * time.Second
	// minConnections is the minimum share of an instance in the connections to a
	// server.
	minConnections = 2
	// gcPercent is the growth of the heap, in percent, between two collections. The heap
	// is small beside the allowed memory.
	gcPercent = 200
	// memoryShare is the fraction of the allowed memory at which the runtime's soft
	// memory limit is set. Near it the garbage collector runs more often.
	memoryShare = 0.7
)

// Store is the part of the platform's store that an instance uses.
type Store interface {
	feed.Store
	// Join registers the instance and returns all registered instances.
	// firstStart is set if the whole fleet starts for the first time.
	Join(ctx context.Context, self gossip.Member, firstStart bool) ([]gossip.Member, error)
	// Register registers the instance.
	Register(ctx context.Context, self gossip.Member) error
	// Remove deletes the registration of an instance.
	Remove(ctx context.Context, id string) error
}

// Options configure a [Daemon]. All but BootTime and DialServer are required.
type Options struct {
	Settings *Settings
	Store    Store
	// Archive keeps the requests that are confirmed to crash servers beyond the lives of all
	// instances; nil keeps nothing.
	Archive  quarantine.Archive
	Protocol forward.Protocol
	// Reload reads the settings file again.
	Reload func() (*Settings, error)
	Logger *slog.Logger
	// BootTime returns the time since the machine started, including suspension; nil selects
	// [storeclock.BootTime].
	BootTime func() time.Duration
	// DialServer opens connections to backend servers; nil selects TCP.
	DialServer func(ctx context.Context, network, address string) (net.Conn, error)
}

// Daemon is a running instance.
type Daemon struct {
	opts     Options
	self     gossip.Member
	logger   *slog.Logger
	settings atomic.Pointer[Settings]

	current   *table.Current
	directory *directory.Directory
	board     *readings.Board
	backlogs  *admission.Backlogs
	budget    *retrybudget.Budget
	pool      *serverconn.Pool
	peerPool  *serverconn.Pool
	exchange  *gossip.Exchange
	feed      *feed.Feed
	proof     *storeclock.Clock
	checks    *readings.Checks
	crashes   *crashes
	messages  *messages
	quotas    *quotas
	forwarder *forward.Forwarder
	observer  *observer
	// memory is the account of the memory that grows with the load.
	memory *memory.Account
	// memoryReturns is how often memory was returned to the system after a burst.
	memoryReturns atomic.Uint64

	metrics *metrics.Registry
	delays  delays

	callers *callerconn.Server
	// delegates serves the connections of peers that delegate requests to this instance.
	delegates     *callerconn.Server
	readyServer   *http.Server
	metricsServer *http.Server

	callerListener, peerListener, readyListener, metricsListener net.Listener

	// targets are the servers to check, determined at targetsAt. Only the status checks
	// use them.
	targets   []readings.Target
	targetsAt time.Time

	// viewReady is closed when the table and the servers are known, loadsReady when the
	// loads of the servers are. Both are also closed after a timeout.
	viewReady, loadsReady chan struct{}

	hangup  chan os.Signal
	leaving atomic.Bool
	// joined is set once the instance has read in the store which others there are.
	joined    atomic.Bool
	startedAt time.Time
	// coldServers is the number of cold servers, coldChanges how often one turned cold or warm.
	coldServers atomic.Int64
	coldChanges atomic.Uint64
}

// New assembles an instance and opens its listeners. It fails with [SettingError] if
// the peer address is invalid and with [listen.Error] if an address can't be opened.
func New(opts Options) (*Daemon, error) {
	set := opts.Settings
	debug.SetGCPercent(gcPercent)
	if set.MemoryMB > 0 {
		debug.SetMemoryLimit(softMemoryLimit(set.MemoryMB))
	}
	peer, err := netip.ParseAddrPort(set.Peer)
	if err != nil {
		return nil, &SettingError{Name: "peer address", Value: set.Peer, Err: err}
	}
	d := &Daemon{
		opts: opts, logger: opts.Logger, startedAt: time.Now(),
		self:       gossip.Member{ID: set.ID, DataCentre: set.DataCentre, Address: peer},
		current:    table.NewCurrent(),
		directory:  directory.New(),
		board:      readings.NewBoard(),
		backlogs:   admission.NewBacklogs(),
		budget:     retrybudget.New(set.Retries, assumedInstances),
		pool:       serverconn.NewPool(),
		peerPool:   serverconn.NewPool(),
		observer:   newObserver(),
		memory:     memory.NewAccount(loadMemory(set.MemoryMB)),
		proof:      storeclock.New(opts.BootTime),
		hangup:     catchHangup(),
		viewReady:  make(chan struct{}),
		loadsReady: make(chan struct{}),
	}
	if opts.DialServer != nil {
		d.pool.Dial = opts.DialServer
	}
	d.pool.Dial, d.peerPool.Dial = dialCharged(d.memory, d.pool.Dial), dialCharged(d.memory, d.peerPool.Dial)
	d.pool.OnDial = func(address string, ok bool) { d.board.Connected(address, ok, time.Now()) }
	d.directory.OnReturned = d.serversReturned
	d.settings.Store(set)
	if err := d.wireExchange(); err != nil {
		return nil, err
	}
	d.wireCrashes()
	d.wireQuota()
	d.wireRequests()
	if err := d.wireMetrics(); err != nil {
		return nil, err
	}
	return d, d.listen()
}

func (d *Daemon) wireExchange() error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(d.self.Address))
	if err != nil {
		return &listen.Error{Address: d.opts.Settings.Peer, Err: err}
	}
	d.exchange, err = gossip.New(gossip.Options{
		Conn: conn, Address: d.self.Address, ID: d.self.ID, DataCentre: d.self.DataCentre, Board: d.board,
		Backlogs: d.backlogs, RelayCapacity: d.opts.Settings.relayCapacity(), Seeds: d.seeds, Logger: d.logger.With("part", "gossip"),
		OnLimit: func(from string, change readings.LimitChange) { d.logLimit(change, from) },
	})
	if err != nil {
		return err
	}
	d.feed = feed.New(feed.Options{
		ID: d.self.ID, Store: d.opts.Store, Directory: d.directory, Current: d.current, Exchange: d.exchange,
		FirstStart: d.opts.Settings.FirstStart, ReadDelay: d.readDelay(), InFlight: d.inFlightAt, Logger: d.logger.With("part", "feed"),
		Proof: d.proof, RevokeWithin: d.revokeWithin,
		DrainWithin: func() time.Duration { return d.settings.Load().DrainWithin },
	})
	d.exchange.Follow(d.feed)
	d.messages = newMessages(d.logger.With("part", "gossip"))
	d.exchange.HandleMessages(d.messages.receive)
	return nil
}

// seeds returns the addresses of the seeds in the current settings.
func (d *Daemon) seeds() []netip.AddrPort { return d.settings.Load().seeds() }

// readDelay returns the time for which the instance waits for the state of its peers after a
// start. Instances with a fast link read the store at once, since they can pass the state on,
// and seeds do, since all others ask them. The random part keeps the others, if they start
// together, from all reading.
func (d *Daemon) readDelay() time.Duration {
	seeds, link := d.seeds(), d.opts.Settings.LinkMbps
	if len(seeds) == 0 || slices.Contains(seeds, d.self.Address) || link == 0 || link >= fastLinkMbps {
		return 0
	}
	return minReadDelay + rand.N(readDelaySpread)
}

func (d *Daemon) wireRequests() {
	d.checks = readings.NewChecks(readings.CheckOptions{
		Board: d.board, Pool: d.pool, Checker: d.opts.Protocol, Targets: d.checkTargets,
		AfterRound: d.exchange.TriggerSend,
		OnReplaced: func(server string) {
			if d.directory.Retire(server) {
				d.logger.Info("server replaced", "server", server, "reason", "another server has its address")
			}
		},
		OnNotice: func(target readings.Target, notice readings.Notice) {
			d.recordNotice(target.Server, target.Born, notice, true)
		},
		Excluded: func(target readings.Target) bool {
			return !d.feed.Current() || d.directory.Evacuated(target.DataCentre)
		},
		OnAnswer: func(target readings.Target, took time.Duration) {
			d.delays.observe(target.DataCentre, took, time.Now())
		},
		Logger: d.logger.With("part", "checks"),
	})
	d.forwarder = forward.New(forward.Options{
		Protocol: d.opts.Protocol, Current: d.current, Directory: d.directory, Board: d.board,
		Budget: d.budget, Pool: d.pool, Backlogs: d.backlogs, ConnLimit: d.connLimit, Instances: d.sharers, ID: d.self.ID, DataCentre: d.self.DataCentre,
		Peer: d.peer, PeerPool: d.peerPool,
		Log: d.logger.With("part", "forward"), Observer: d.observer, Quarantine: d.crashes, Quota: d.quotas,
		ViewReady: d.viewReady, LoadsReady: d.loadsReady, AwaitCurrent: d.feed.AwaitCurrent,
		TableAge: d.tableAge, KeyRules: d.keyRules,
		Refresh:   d.checks.Refresh,
		CheckRate: func() float64 { return d.settings.Load().ChecksPerSecond * demandShare },
		WarmUp:    func() readings.WarmUpLimits { return d.settings.Load().WarmUp },
		OnNotice: func(server directory.Server, notice readings.Notice, fromCheck bool) {
			d.recordNotice(server.ID, server.Born, notice, fromCheck)
		},
		Locality: &forward.Locality{
			Delay:     func(dataCentre string) time.Duration { return d.delays.beyond(d.self.DataCentre, dataCentre) },
			BytePrice: func() float64 { return d.settings.Load().RemoteBytePrice },
		},
		Memory: d.memory,
	})
}

// recordNotice takes a server out of use that says that it leaves, at all instances, or that
// wants quiet, at this one, and records the limit that it names and its warm-up, at all
// instances.
func (d *Daemon) recordNotice(server string, born int64, notice readings.Notice, fromCheck bool) {
	if change, changed := d.board.RecordLimit(server, notice.Limit, fromCheck, time.Now()); changed {
		source := "answer"
		if fromCheck {
			source = "check"
		}
		d.logLimit(change, source)
		d.exchange.ShareLimit(change.Server, change.Limit, change.At)
	}
	if fromCheck {
		if hint, changed := d.board.RecordWarmth(server, notice, time.Now()); changed {
			d.exchange.ShareCold(hint)
		}
	}
	if notice.Quiet > 0 {
		d.board.KeepQuiet(server, time.Now().Add(notice.Quiet))
		d.logger.Info("server wants quiet", "server", server, "for", notice.Quiet)
	}
	if !notice.Leaving {
		return
	}
	if change, changed := d.directory.Leave(server, born); changed {
		d.logger.Info("server leaving", "server", server, "born", born, "version", change.Version, "source", "answer")
		d.exchange.ShareDeparture(server, born)
	}
}

// checkInterval returns the time between two checks of a server of the service: the gossip
// interval, since peers learn of the results no faster, or longer if the platform allows
// fewer checks. While no request waits, requests read the loads that they need, and checks
// are made in proportion to the requests.
func (d *Daemon) checkInterval(service, dataCentre string) time.Duration {
	interval := d.exchange.SendInterval()
	allowed := d.settings.Load().ChecksPerSecond * d.checkingShare(dataCentre)
	if limit := allowed * checkShare; limit > 0 {
		interval = max(interval, time.Duration(float64(time.Second)/limit))
	}
	if d.backlogs.Waiting(service, time.Now()) {
		return interval
	}
	if limit := allowed * quietShare; limit > 0 {
		interval = max(interval, time.Duration(float64(time.Second)/limit))
	}
	servers := float64(len(d.directory.Servers(service)))
	checks := checksPerRequest * d.forwarder.RequestRate(service) * float64(d.exchange.Known())
	if checks*idleCheckInterval.Seconds() <= servers {
		return idleCheckInterval
	}
	return max(interval, time.Duration(servers/checks*float64(time.Second)))
}

// checkTargets returns the servers that this instance checks, from the cache if that is
// recent.
func (d *Daemon) checkTargets() []readings.Target {
	if !d.hasView() {
		return nil
	}
	if now := time.Now(); now.Sub(d.targetsAt) > targetsTTL {
		d.targets, d.targetsAt = d.ownTargets(), now
	}
	return d.targets
}

// checkedServers yields all servers that have a status check, with their services.
func (d *Daemon) checkedServers() iter.Seq2[directory.Server, *table.Service] {
	return func(yield func(directory.Server, *table.Service) bool) {
		snapshot := d.current.Load()
		if snapshot == nil {
			return
		}
		for _, server := range d.directory.All() {
			service := snapshot.Service(server.Service)
			if service != nil && service.HealthPath != "" && !yield(server, service) {
				return
			}
		}
	}
}

// ownTargets returns the servers that this instance checks. Each server is checked by
// an instance of its own data centre if one is alive, since traffic between data
// centres is expensive.
func (d *Daemon) ownTargets() []readings.Target {
	snapshot := d.current.Load()
	if d.leaving.Load() || snapshot == nil {
		return nil
	}
	var targets []readings.Target
	for dataCentre, servers := range d.directory.InDataCentres() {
		intervals := make(map[string]time.Duration)
		ids := d.checkers(dataCentre)
		if len(ids) == 0 {
			ids = d.checkers("")
		}
		if !slices.Contains(ids, d.self.ID) {
			continue
		}
		owners := membership.NewOwners(ids)
		for _, server := range servers {
			service := snapshot.Service(server.Service)
			if service == nil || service.HealthPath == "" || owners.Of(server.ID) != d.self.ID {
				continue
			}
			if intervals[server.Service] == 0 {
				intervals[server.Service] = d.checkInterval(server.Service, dataCentre)
			}
			targets = append(targets, readings.Target{
				Server: server.ID, DataCentre: dataCentre, Address: server.Address, Born: server.Born,
				Path: service.HealthPath, Connections: d.connLimit(service), Interval: intervals[server.Service],
			})
		}
	}
	return targets
}

// checkers returns the IDs of the live instances of a data centre that reach backend servers.
// An empty dataCentre selects all data centres.
func (d *Daemon) checkers(dataCentre string) []string {
	var ids []string
	for _, m := range d.exchange.Serving(dataCentre) {
		ids = append(ids, m.ID)
	}
	if !d.board.LinksLost() && (dataCentre == "" || dataCentre == d.self.DataCentre) {
		ids = append(ids, d.self.ID)
	}
	slices.Sort(ids)
	return ids
}

// connLimit returns how many connections this instance may open to each server of the
// service: its share of the limit for the fleet, or 0, which selects the default of the
// pool, if the table sets no limit.
func (d *Daemon) connLimit(service *table.Service) int {
	if service.Connections == 0 {
		return 0
	}
	return max(service.Connections/d.sharers(), minConnections)
}

// task is a background task that runs as long as the instance.
type task struct {
	name string
	run  func(ctx context.Context) error
}

func (d *Daemon) tasks() []task {
	tasks := []task{
		{"callers", func(context.Context) error { return d.callers.Serve(&chargedListener{d.callerListener, d.memory}) }},
		{"peers", func(context.Context) error { return d.delegates.Serve(&chargedListener{d.peerListener, d.memory}) }},
		{"readiness", func(context.Context) error { return listen.Serve(d.readyServer, d.readyListener) }},
		{"gossip", d.exchange.Run},
		{"feed", d.feed.Run},
		{"join", d.join},
		{"checks", d.checks.Run},
		{"start", d.awaitLoads},
		{"forward", d.forwarder.Run},
		{"quarantine", d.crashes.Run},
		{"quarantine archive", d.archiveCrashes},
		{"quota", d.followQuotas},
		{"links", d.watchLinks},
		{"cold servers", d.watchColdServers},
		{"sweep", d.sweep},
		{"memory", d.returnMemory},
		{"settings", d.followSettings},
	}
	if d.metricsListener != nil {
		tasks = append(tasks, task{"metrics", func(context.Context) error { return listen.Serve(d.metricsServer, d.metricsListener) }})
	}
	return tasks
}

// Run serves until ctx ends and then shuts down gracefully. It returns the error of the
// first task that fails.
func (d *Daemon) Run(ctx context.Context) error {
	taskCtx, endTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer endTasks()
	list := d.tasks()
	failed := make(chan error, len(list))
	var wg sync.WaitGroup
	for _, task := range list {
		wg.Go(func() {
			if err := task.run(taskCtx); err != nil && taskCtx.Err() == nil {
				failed <- fmt.Errorf("task %s: %w", task.name, err)
			}
		})
	}
	set := d.opts.Settings
	d.logger.Info("started", "instance", set.ID, "data_centre", set.DataCentre, "caller", set.Caller, "peer", set.Peer)
	var err error
	select {
	case <-ctx.Done():
		d.stop()
	case err = <-failed:
	}
	endTasks()
	d.callers.Close()
	d.delegates.Close()
	_ = d.readyServer.Close()
	_ = d.metricsServer.Close()
	wg.Wait()
	d.logger.Info("stopped", "in_flight", d.forwarder.Stats().InFlight, "error", err)
	return err
}

// sweep removes the connections and readings of servers that are no longer in the
// directory. Those of evacuated servers stay.
func (d *Daemon) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			addresses, keys := make(map[string]bool), make(map[readings.ServerKey]bool)
			servers := d.directory.All()
			for _, evacuated := range d.directory.EvacuatedServers() {
				servers = append(servers, evacuated...)
			}
			for _, server := range servers {
				addresses[server.Address], keys[readings.KeyOf(server.ID)] = true, true
			}
			d.pool.Sweep(now, func(address string) bool { return addresses[address] })
			d.peerPool.Sweep(now, func(string) bool { return true })
			d.board.Retain(func(key readings.ServerKey) bool { return keys[key] })
		}
	}
}
