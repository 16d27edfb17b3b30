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
	// pollPerEntry stretches the time between polls, so that the reads of
	// the whole fleet stay below a hundred a second.
	pollPerEntry = 10 * time.Millisecond
	// evaluateEvery is how often timeouts of the view are evaluated.
	evaluateEvery = 250 * time.Millisecond
	// listTimeout bounds one operation on the instance list.
	listTimeout = 2 * time.Second
	// absentPolls is how many reads of the list may miss the local row
	// before it is written again.
	absentPolls = 5
	// eventBuffer is the buffer of session events.
	eventBuffer = 64
)

// TargetSetter is told which instances to keep sessions with. [peer.Mesh]
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
	// Messenger carries notices.
	Messenger peer.Messenger
	// Targets follows the known instances; nil if sessions come by other
	// means.
	Targets TargetSetter
	// PollEvery is the time between reads of the list.
	PollEvery time.Duration
	// Logger receives events; nil discards them.
	Logger *slog.Logger
}

// Tracker maintains the view of the fleet. It is safe for concurrent use.
type Tracker struct {
	opts   Options
	events <-chan peer.Event

	mu       sync.RWMutex
	entries  *entries
	servers  *servers
	view     []storage.Instance
	targets  []storage.Instance
	leaving  bool
	changed  chan struct{}
	unsent   map[string]bool
	absences int
	// refreshed is when refreshOneLocked last picked a peer.
	refreshed time.Time
	// published is the generation of servers when the view last changed.
	published uint64
}

var _ View = (*Tracker)(nil)

// NewTracker returns a tracker and registers its handler with the messenger.
// Until Run is called the view holds the local instance alone.
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
		opts:    opts,
		events:  opts.Messenger.Subscribe(eventBuffer),
		entries: newEntries(opts.Self.ID),
		servers: newServers(),
		view:    []storage.Instance{opts.Self},
		changed: make(chan struct{}),
		unsent:  make(map[string]bool),
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

// DrainingServers returns the addresses of backend servers that were reported
// as leaving though the list holds them as live. Only a report or the list can
// return them to service, since they get no work.
func (t *Tracker) DrainingServers() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.servers.draining()
}

// ReportLeavingServer records that the backend server at the address drains
// and tells all peers at once.
func (t *Tracker) ReportLeavingServer(address string) {
	if !t.LeavingServer(address) {
		t.reportServer(address, true)
	}
}

// ReportServingServer records that the backend server at the address takes
// work again and tells all peers at once. It has no effect while the list
// holds the server as leaving.
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
		t.tellAllLocked(&peerpb.Notice{Servers: []*peerpb.ServerNotice{notice}})
		t.publishLocked()
	}
}

// Run follows the list and the sessions until ctx ends.
func (t *Tracker) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { t.followList(ctx) })
	wg.Go(func() { t.followSessions(ctx) })
	wg.Wait()
	return nil
}

// followSessions evaluates the view at each session event and regularly.
func (t *Tracker) followSessions(ctx context.Context) {
	ticker := time.NewTicker(evaluateEvery)
	defer ticker.Stop()
	for {
		t.evaluate()
		select {
		case <-ticker.C:
		case event := <-t.events:
			t.noteSession(event)
		case <-ctx.Done():
			return
		}
	}
}

// noteSession makes sure that the peer of a new session gets the whole state,
// also if the session replaces one whose end went unseen.
func (t *Tracker) noteSession(event peer.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if event.Up {
		t.unsent[event.InstanceID] = true
	}
}

// followList registers the local instance and polls the list.
func (t *Tracker) followList(ctx context.Context) {
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
	d := max(t.opts.PollEvery, time.Duration(len(t.view))*pollPerEntry)
	return d*3/4 + rand.N(d/2+1)
}

// register writes the local row unless the instance is leaving, and reports
// whether that is done.
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
		// Leave may have written its row before this one.
		return t.opts.List.SetInstance(ctx, self) == nil
	}
	return true
}

// poll reads the list once and reports whether the local row has to be written
// again.
func (t *Tracker) poll(ctx context.Context) (absent bool) {
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
	t.entries.setListed(rows, now)
	if notices := t.servers.setListed(rows, now); len(notices) > 0 {
		t.tellAllLocked(&peerpb.Notice{Servers: notices})
	}
	t.evaluateLocked(now)
	return t.absentLocked(rows)
}

func (t *Tracker) absentLocked(rows []storage.Instance) bool {
	if slices.ContainsFunc(rows, func(row storage.Instance) bool { return row.ID == t.opts.Self.ID }) {
		t.absences = 0
		return false
	}
	t.absences++
	if t.absences < absentPolls {
		return false
	}
	t.absences = 0
	return true
}

func (t *Tracker) evaluate() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evaluateLocked(time.Now())
}

// evaluateLocked follows the sessions and timeouts, introduces the local
// instance on new sessions and publishes the view.
func (t *Tracker) evaluateLocked(now time.Time) {
	for _, id := range t.entries.setConnected(t.opts.Messenger.Connected(), now) {
		t.unsent[id] = true
	}
	t.entries.forget(now)
	t.refreshOneLocked(now)
	t.introduceLocked()
	t.publishLocked()
}

// publishLocked updates targets and view and signals a change.
func (t *Tracker) publishLocked() {
	t.setTargetsLocked()
	view := t.entries.live(time.Now())
	if !t.leaving {
		view = append(view, t.opts.Self)
		slices.SortFunc(view, byID)
	}
	if slices.Equal(view, t.view) && t.servers.generation == t.published {
		return
	}
	t.view, t.published = view, t.servers.generation
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
