package membership

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pomelolock/pomelolock/peer"
	"github.com/pomelolock/pomelolock/peer/peerpb"
	"github.com/pomelolock/pomelolock/storage"
)

const (
	// DefaultPollEvery is the default of [Options.PollEvery].
	DefaultPollEvery = time.Second
	// pollIntervalPerEntry is the minimum time between polls per entry
	// instance. It limits the whole fleet to about 100 list reads per second.
	pollIntervalPerEntry = 10 * time.Millisecond
	// evaluateInterval is how often the timeouts of the view are checked.
	evaluateInterval = 250 * time.Millisecond
	// listTimeout bounds one operation on the instance list.
	listTimeout = 2 * time.Second
	// maxMissedPolls is the number of consecutive list reads without the
	// local row after which the row is written again.
	maxMissedPolls = 5
	// eventBuffer is the capacity of the session event channel.
	eventBuffer = 64
)

// TargetSetter receives the instances to maintain sessions with. [peer.Mesh]
// implements it.
type TargetSetter interface {
	SetTargets(instances []storage.Instance)
}

// Options configure a [Tracker]. Self, List and Messenger are required.
type Options struct {
	// Self is the local instance.
	Self storage.Instance
	// List is the platform's instance list.
	List storage.InstanceList
	// Messenger sends and receives notices and reports session events.
	Messenger peer.Messenger
	// Targets receives the known instances. It is nil if sessions are
	// established elsewhere.
	Targets TargetSetter
	// PollEvery is the mean time between list reads; zero means
	// [DefaultPollEvery]. It is raised in large fleets.
	PollEvery time.Duration
	// Logger receives events; nil discards them.
	Logger *slog.Logger
}

// Tracker maintains the view of the fleet. It is safe for concurrent use.
type Tracker struct {
	opts   Options
	events <-chan peer.Event

	mu      sync.RWMutex
	entries *entries
	servers *servers
	view    []storage.Instance
	targets []storage.Instance
	leaving bool
	changed chan struct{}
	// needFullState holds the IDs of peers that must get the full state.
	needFullState map[string]bool
	missedPolls   int
	// lastRefresh is when scheduleRefreshLocked last selected a peer.
	lastRefresh time.Time
	// publishedGeneration is the generation of servers at the last change of
	// the view.
	publishedGeneration uint64
}

var _ View = (*Tracker)(nil)

// NewTracker returns a tracker and registers its notice handler with the
// messenger. The view initially holds only the local instance.
func NewTracker(opts Options) *Tracker {
	if opts.PollEvery <= 0 {
		opts.PollEvery = DefaultPollEvery
	}
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	opts.Self.Role = storage.RoleEntry
	opts.Self.State = storage.StateLive
	t := &Tracker{
		opts:          opts,
		events:        opts.Messenger.Subscribe(eventBuffer),
		entries:       newEntries(opts.Self.ID),
		servers:       newServers(),
		view:          []storage.Instance{opts.Self},
		changed:       make(chan struct{}),
		needFullState: make(map[string]bool),
	}
	opts.Messenger.Handle(peerpb.Kind_KIND_NOTICE, t.handleNotice)
	return t
}

// Self implements [View].
func (t *Tracker) Self() storage.Instance {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.selfLocked()
}

func (t *Tracker) selfLocked() storage.Instance {
	self := t.opts.Self
	if t.leaving {
		self.State = storage.StateLeaving
	}
	return self
}

// Entries implements [View].
func (t *Tracker) Entries() []storage.Instance {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return slices.Clone(t.view)
}

// LeavingServer implements [View].
func (t *Tracker) LeavingServer(address string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.servers.isLeaving(address)
}

// Changed implements [View].
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.changed
}

// DrainingServers returns the sorted addresses of backend servers that were
// reported as leaving while the list still has them as live. They receive no
// requests, so only another report or the list can return them to service.
func (t *Tracker) DrainingServers() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.servers.draining()
}

// ReportLeavingServer records that the backend server at address is draining and
// notifies all peers immediately.
func (t *Tracker) ReportLeavingServer(address string) {
	if !t.LeavingServer(address) {
		t.reportServer(address, true)
	}
}

// ReportServingServer records that the backend server at address accepts requests
// again and notifies all peers immediately. It has no effect while the list has
// the server as leaving.
func (t *Tracker) ReportServingServer(address string) {
	if t.LeavingServer(address) {
		t.reportServer(address, false)
	}
}

func (t *Tracker) reportServer(address string, leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if notice := t.servers.report(address, leaving, time.Now()); notice != nil {
		t.opts.Logger.Info("server_state", "address", address, "leaving", leaving)
		t.broadcastLocked(&peerpb.Notice{Servers: []*peerpb.ServerNotice{notice}})
		t.publishLocked()
	}
}

// Run registers the local instance and tracks the list and the peer sessions
// until ctx is done. It always returns nil.
func (t *Tracker) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { t.pollList(ctx) })
	wg.Go(func() { t.followSessions(ctx) })
	wg.Wait()
	return nil
}

// followSessions evaluates the view at every session event and every
// evaluateInterval.
func (t *Tracker) followSessions(ctx context.Context) {
	ticker := time.NewTicker(evaluateInterval)
	defer ticker.Stop()
	for {
		t.evaluate()
		select {
		case <-ticker.C:
		case event := <-t.events:
			t.handleSessionEvent(event)
		case <-ctx.Done():
			return
		}
	}
}

// handleSessionEvent schedules the full state for the peer of a new session. It
// does so even if the session replaces one whose end was not observed.
func (t *Tracker) handleSessionEvent(event peer.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if event.Up {
		t.needFullState[event.InstanceID] = true
	}
}

// pollList registers the local instance and polls the list until ctx is done.
func (t *Tracker) pollList(ctx context.Context) {
	registered := false
	for {
		if !registered {
			registered = t.register(ctx)
		}
		if t.poll(ctx) {
			registered = false
		}
		timer := time.NewTimer(t.pollInterval())
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

func (t *Tracker) pollInterval() time.Duration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	d := max(t.opts.PollEvery, time.Duration(len(t.view))*pollIntervalPerEntry)
	return d*3/4 + rand.N(d/2+1)
}

// register writes the local row unless the instance is leaving. It reports false
// if the write has to be retried.
func (t *Tracker) register(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	if t.Self().State == storage.StateLeaving {
		return true
	}
	if err := t.opts.List.SetInstance(ctx, t.opts.Self); err != nil {
		t.opts.Logger.Debug("register_failed", "error", err)
		return false
	}
	if self := t.Self(); self.State == storage.StateLeaving {
		// Leave may have written the leaving row before the live row above
		// replaced it.
		return t.opts.List.SetInstance(ctx, self) == nil
	}
	return true
}

// poll reads the list once and reports whether the local row must be written
// again.
func (t *Tracker) poll(ctx context.Context) (reregister bool) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	rows, err := t.opts.List.ListInstances(ctx)
	if err != nil {
		t.opts.Logger.Debug("list_failed", "error", err)
		return false
	}
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries.applyList(rows, now)
	if notices := t.servers.applyList(rows, now); len(notices) > 0 {
		t.broadcastLocked(&peerpb.Notice{Servers: notices})
	}
	t.evaluateLocked(now)
	return t.needsRegistrationLocked(rows)
}

// needsRegistrationLocked counts consecutive list reads without the local row and
// reports whether there were maxMissedPolls of them.
func (t *Tracker) needsRegistrationLocked(rows []storage.Instance) bool {
	if slices.ContainsFunc(rows, func(row storage.Instance) bool { return row.ID == t.opts.Self.ID }) {
		t.missedPolls = 0
		return false
	}
	t.missedPolls++
	if t.missedPolls < maxMissedPolls {
		return false
	}
	t.missedPolls = 0
	return true
}

func (t *Tracker) evaluate() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evaluateLocked(time.Now())
}

// evaluateLocked applies the current sessions and the timeouts, sends the full
// state to the peers that need it and publishes the view.
func (t *Tracker) evaluateLocked(now time.Time) {
	for _, id := range t.entries.applySessions(t.opts.Messenger.Connected(), now) {
		t.needFullState[id] = true
	}
	t.entries.removeExpired(now)
	t.scheduleRefreshLocked(now)
	t.sendFullStateLocked()
	t.publishLocked()
}

// publishLocked updates the session targets and the view, and signals a change
// of the view.
func (t *Tracker) publishLocked() {
	t.setTargetsLocked()
	view := t.entries.live(time.Now())
	if !t.leaving {
		view = append(view, t.opts.Self)
		slices.SortFunc(view, byID)
	}
	if slices.Equal(view, t.view) && t.servers.generation == t.publishedGeneration {
		return
	}
	t.view, t.publishedGeneration = view, t.servers.generation
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *Tracker) setTargetsLocked() {
	targets := t.entries.targets()
	if t.opts.Targets == nil || slices.Equal(targets, t.targets) {
		return
	}
	t.targets = targets
	t.opts.Targets.SetTargets(targets)
}
