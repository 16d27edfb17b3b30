package slot

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pomelolock/pomelolock/loadbalancer"
	"github.com/pomelolock/pomelolock/membership"
	"github.com/pomelolock/pomelolock/peer"
	"github.com/pomelolock/pomelolock/peer/peerpb"
	"github.com/pomelolock/pomelolock/storage"
	"github.com/pomelolock/pomelolock/table"
)

const (
	// tickInterval is the interval of the periodic work.
	tickInterval = 10 * time.Millisecond
	// storeWorkers is the number of goroutines that access the table service.
	storeWorkers = 4
	// storeQueue is the capacity of the queue of table service jobs.
	storeQueue = 256
	// defaultByteBudget is the default of Options.ByteBudget.
	defaultByteBudget = 20_000
)

// Options are the settings of a [Manager]. All but Logger and ByteBudget are
// required.
type Options struct {
	Messenger peer.Messenger
	View      membership.View
	Tables    storage.TableService
	Current   *table.Current
	// Logger receives the log events; nil discards them.
	Logger *slog.Logger
	// ByteBudget is the target limit for the slot messages of this instance,
	// in payload bytes per second; 0 means 20,000. Near it, messages are
	// coalesced for longer and idle leases are kept for longer.
	ByteBudget int
}

// Manager leases slots for the requests of this instance and runs the
// coordinators of the groups that it owns. It implements
// [loadbalancer.Balancer] and is safe for concurrent use.
type Manager struct {
	opts    Options
	log     *slog.Logger
	self    string
	pacer   *pacer
	wakeups chan struct{}
	jobs    chan storeJob

	mu       sync.RWMutex
	services map[string]*service
	drivers  map[group]*driver
	// pendingJobs has the groups with a table service job that is queued or
	// running.
	pendingJobs map[group]bool
	// leaving is set by Handover; no coordinator starts here after that.
	leaving bool

	counters counters
}

var _ loadbalancer.Balancer = (*Manager)(nil)

// New returns a manager and registers its message handlers. Call [Manager.Run]
// to start it.
func New(opts Options) *Manager {
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	if opts.ByteBudget <= 0 {
		opts.ByteBudget = defaultByteBudget
	}
	m := &Manager{
		opts:        opts,
		log:         opts.Logger,
		self:        opts.Messenger.Self(),
		pacer:       newPacer(opts.ByteBudget),
		wakeups:     make(chan struct{}, 1),
		jobs:        make(chan storeJob, storeQueue),
		services:    make(map[string]*service),
		drivers:     make(map[group]*driver),
		pendingJobs: make(map[group]bool),
	}
	opts.Messenger.Handle(peerpb.Kind_KIND_SLOT_ASK, m.handleAsk)
	opts.Messenger.Handle(peerpb.Kind_KIND_SLOT_GRANT, m.handleGrant)
	opts.Messenger.Handle(peerpb.Kind_KIND_SLOT_HANDOVER, m.handleHandover)
	return m
}

// Acquire implements [loadbalancer.Balancer].
func (m *Manager) Acquire(ctx context.Context, req loadbalancer.Request) (*loadbalancer.Permit, error) {
	m.mu.RLock()
	s := m.services[req.Service]
	m.mu.RUnlock()
	if s == nil {
		return nil, &loadbalancer.NoServerError{Service: req.Service}
	}
	return s.acquire(ctx, req)
}

// Run runs the manager until ctx ends, then returns all leases to their
// coordinators. It returns ctx.Err().
func (m *Manager) Run(ctx context.Context) error {
	var workers sync.WaitGroup
	for range storeWorkers {
		workers.Go(func() { m.runStoreWorker(ctx) })
	}
	defer workers.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		tableChanged, viewChanged := m.opts.Current.Changed(), m.opts.View.Changed()
		m.configure(time.Now())
		if !m.handleEvents(ctx, ticker, pause, tableChanged, viewChanged) {
			m.returnAll()
			return ctx.Err()
		}
	}
}

// handleEvents handles events until the table or the membership view changes, and
// returns false once ctx has ended. Near the byte budget it pauses between
// wakeups.
func (m *Manager) handleEvents(ctx context.Context, ticker *time.Ticker, pause *time.Timer, changes ...<-chan struct{}) bool {
	tableChanged, viewChanged := changes[0], changes[1]
	wakeups := m.wakeups
	for {
		select {
		case <-ctx.Done():
			return false
		case <-tableChanged:
			return true
		case <-viewChanged:
			return true
		case <-ticker.C:
			m.tick(time.Now())
		case <-pause.C:
			wakeups = m.wakeups
		case <-wakeups:
			m.sendAsks(time.Now())
			if wait := m.pacer.interval(time.Now()); wait > 0 {
				wakeups = nil
				pause.Reset(wait)
			}
		}
	}
}

// wake makes Run send the Ask messages that are due. It never blocks.
func (m *Manager) wake() {
	select {
	case m.wakeups <- struct{}{}:
	default:
	}
}

func (m *Manager) tick(now time.Time) {
	idleTime := m.pacer.idleTime(now)
	for _, s := range m.allServices() {
		s.setIdleTime(idleTime)
		s.tick(now)
	}
	m.tickDrivers(now)
	m.sendAsks(now)
}

func (m *Manager) allServices() []*service {
	m.mu.RLock()
	defer m.mu.RUnlock()
	services := make([]*service, 0, len(m.services))
	for _, s := range m.services {
		services = append(services, s)
	}
	return services
}

func (m *Manager) returnAll() {
	for _, s := range m.allServices() {
		s.returnAll()
	}
	m.sendAsks(time.Now())
}

// configure applies the active table and the membership view.
func (m *Manager) configure(now time.Time) {
	snapshot := m.opts.Current.Load()
	if snapshot == nil {
		return
	}
	local := m.opts.View.Self().DataCentre
	m.mu.Lock()
	present := make(map[string]bool)
	for _, row := range snapshot.Document().Services {
		present[row.Name] = true
		s := m.services[row.Name]
		if s == nil {
			s = &service{name: row.Name, wake: m.wake, usable: m.usable, queue: newQueue(row.QueueLimit)}
			m.services[row.Name] = s
		}
		s.configure(serviceConfig{
			groups:     groupsOf(snapshot, row.Name, local),
			queueLimit: row.QueueLimit,
			maxRunTime: maxRunTimeOf(snapshot, row.Name),
		})
	}
	for name := range m.services {
		if !present[name] {
			delete(m.services, name)
		}
	}
	m.mu.Unlock()
	for g, d := range m.allDrivers() {
		d.configure(m.serverSpecs(snapshot, g), maxRunTimeOf(snapshot, g.service), now)
	}
}

// usable returns the table's row of a server and reports whether the server may
// take new requests.
func (m *Manager) usable(name string) (table.Server, bool) {
	server, ok := m.opts.Current.Load().Server(name)
	if !ok || server.State != table.ServerServing || m.opts.View.LeavingServer(server.Address) {
		return server, false
	}
	return server, true
}

// serverSpecs returns the configuration of a group's servers.
func (m *Manager) serverSpecs(snapshot *table.Snapshot, g group) []serverSpec {
	var specs []serverSpec
	for _, server := range snapshot.Servers(g.service) {
		if server.DataCentre != g.dataCentre {
			continue
		}
		_, usable := m.usable(server.Name)
		specs = append(specs, serverSpec{name: server.Name, slots: server.Slots, weight: server.Weight, usable: usable})
	}
	return specs
}

// groupsOf returns the service's groups, that of the local data centre first.
func groupsOf(snapshot *table.Snapshot, service, local string) []group {
	var groups []group
	seen := make(map[string]bool)
	for _, server := range snapshot.Servers(service) {
		if seen[server.DataCentre] {
			continue
		}
		seen[server.DataCentre] = true
		g := group{service, server.DataCentre}
		if server.DataCentre == local {
			groups = append([]group{g}, groups...)
			continue
		}
		groups = append(groups, g)
	}
	return groups
}

// candidate returns the instance that should coordinate the group: its owner
// among the instances of its data centre in the membership view, or among all
// if none is in that data centre. It leaves out the instance except.
func (m *Manager) candidate(g group, except string) string {
	var near, all []string
	for _, instance := range m.opts.View.Entries() {
		if instance.ID == except {
			continue
		}
		all = append(all, instance.ID)
		if instance.DataCentre == g.dataCentre {
			near = append(near, instance.ID)
		}
	}
	if len(near) > 0 {
		return membership.Owner(g.key(), near)
	}
	return membership.Owner(g.key(), all)
}
