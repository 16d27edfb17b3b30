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
	// tickInterval is the distance of the periodic work.
	tickInterval = 10 * time.Millisecond
	// storeWorkers is the number of goroutines that use the table service.
	storeWorkers = 4
	// storeQueue is the length of the queue of table service jobs.
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
	// Logger receives one event a line; nil discards them.
	Logger *slog.Logger
	// ByteBudget is the number of payload bytes per second that the slot
	// messages of this instance should stay below; 0 stands for 20,000. Near
	// it, messages are coalesced for longer and idle leases kept for longer.
	ByteBudget int
}

// Manager leases slots for the requests of this instance and coordinates the
// groups that it owns. It implements [loadbalancer.Balancer] and is safe for
// concurrent use.
type Manager struct {
	opts  Options
	log   *slog.Logger
	self  string
	pacer *pacer
	kicks chan struct{}
	jobs  chan storeJob

	mu       sync.RWMutex
	services map[string]*service
	duties   map[group]*duty
	// pendingJobs are the groups with a table service job under way.
	pendingJobs map[group]bool
	leaving     bool

	counters counters
}

var _ loadbalancer.Balancer = (*Manager)(nil)

// New returns a manager and registers its handlers. It does nothing before Run.
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
		kicks:       make(chan struct{}, 1),
		jobs:        make(chan storeJob, storeQueue),
		services:    make(map[string]*service),
		duties:      make(map[group]*duty),
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

// Run works until ctx ends and then returns all leases.
func (m *Manager) Run(ctx context.Context) error {
	var workers sync.WaitGroup
	for range storeWorkers {
		workers.Go(func() { m.runStore(ctx) })
	}
	defer workers.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		tableChanged, viewChanged := m.opts.Current.Changed(), m.opts.View.Changed()
		m.configure(time.Now())
		if !m.work(ctx, ticker, pause, tableChanged, viewChanged) {
			m.returnAll()
			return ctx.Err()
		}
	}
}

// work runs until the table or the view changes; it returns false at the end.
func (m *Manager) work(ctx context.Context, ticker *time.Ticker, pause *time.Timer, changes ...<-chan struct{}) bool {
	tableChanged, viewChanged := changes[0], changes[1]
	kicks := m.kicks
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
			kicks = m.kicks
		case <-kicks:
			m.sendAsks(time.Now())
			if wait := m.pacer.interval(time.Now()); wait > 0 {
				kicks = nil
				pause.Reset(wait)
			}
		}
	}
}

// kick makes the manager send what is due.
func (m *Manager) kick() {
	select {
	case m.kicks <- struct{}{}:
	default:
	}
}

func (m *Manager) tick(now time.Time) {
	idleTime := m.pacer.idleTime(now)
	for _, s := range m.allServices() {
		s.setIdleTime(idleTime)
		s.tick(now)
	}
	m.tickDuties(now)
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

// configure takes over the table and the view.
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
			s = &service{name: row.Name, kick: m.kick, usable: m.usable, queue: newQueue(row.QueueLimit)}
			m.services[row.Name] = s
		}
		s.configure(serviceConfig{
			groups:     groupsOf(snapshot, row.Name, local),
			queueLimit: row.QueueLimit,
			drain:      drainTime(snapshot, row.Name),
		})
	}
	for name := range m.services {
		if !present[name] {
			delete(m.services, name)
		}
	}
	m.mu.Unlock()
	for g, d := range m.allDuties() {
		d.configure(m.specs(snapshot, g), drainTime(snapshot, g.service), now)
	}
}

// usable returns the table's row of a server that may take new work.
func (m *Manager) usable(name string) (table.Server, bool) {
	server, ok := m.opts.Current.Load().Server(name)
	if !ok || server.State != table.ServerServing || m.opts.View.LeavingServer(server.Address) {
		return server, false
	}
	return server, true
}

// specs returns the rows of a group's servers.
func (m *Manager) specs(snapshot *table.Snapshot, g group) []serverSpec {
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

// groupsOf returns the service's groups, the local data centre first.
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

// candidate returns the instance that should coordinate the group: the owner
// among the live instances of its data centre, or of all if it has none.
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
