package slot

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pomelolock/pomelolock/loadbalancer"
	"github.com/pomelolock/pomelolock/slot/slotpb"
	"github.com/pomelolock/pomelolock/table"
)

const (
	// spillAfter is the wait of the oldest request from which leases of other
	// data centres are requested too.
	spillAfter = 5 * time.Millisecond
	// minIdleTime is how long an idle lease is kept while the byte rate of
	// messages is low.
	minIdleTime = 200 * time.Millisecond
	// maxIdleTime is how long an idle lease is kept at the byte budget.
	maxIdleTime = 2 * time.Second
	// remoteIdleTime is how long an idle lease of another data centre is kept.
	remoteIdleTime = 20 * time.Millisecond
)

// service leases slots for the requests of one service at this instance.
type service struct {
	name string
	// wake wakes the manager; it never blocks.
	wake func()
	// usable returns a server's row and whether it may take new requests.
	usable func(server string) (table.Server, bool)

	mu sync.Mutex
	// holders has one holder per group, that of the local data centre first.
	holders []*holder
	queue   *queue
	removed bool
}

// acquire takes an idle lease, or queues the request and requests leases.
func (s *service) acquire(ctx context.Context, req loadbalancer.Request) (*loadbalancer.Permit, error) {
	now := time.Now()
	skip := func(server string) bool { return s.excluded(server, req.Exclude) }
	s.mu.Lock()
	if s.removed {
		s.mu.Unlock()
		return nil, &loadbalancer.NoServerError{Service: s.name}
	}
	if s.queue.size == 0 || req.NoWait {
		if permit := s.takeIdle(skip, now); permit != nil {
			s.queue.countStarted(now)
			s.mu.Unlock()
			return permit, nil
		}
	}
	w, err := s.enqueue(ctx, req, now)
	s.mu.Unlock()
	if err != nil {
		return nil, err
	}
	s.wake()
	return s.wait(ctx, w)
}

func (s *service) excluded(server string, exclude []string) bool {
	if slices.Contains(exclude, server) {
		return true
	}
	_, ok := s.usable(server)
	return !ok
}

func (s *service) takeIdle(skip func(string) bool, now time.Time) *loadbalancer.Permit {
	for _, h := range s.holders {
		if l := h.take(skip, now); l != nil {
			if server, ok := s.usable(l.server); ok {
				return s.newPermit(h, l, server)
			}
			h.makeIdle(l, now)
		}
	}
	return nil
}

func (s *service) newPermit(h *holder, l *lease, server table.Server) *loadbalancer.Permit {
	return loadbalancer.NewPermit(server, func(result loadbalancer.Result) { s.release(h, l, result) })
}

func (s *service) enqueue(ctx context.Context, req loadbalancer.Request, now time.Time) (*waiter, error) {
	if len(s.holders) == 0 {
		return nil, &loadbalancer.NoServerError{Service: s.name}
	}
	if req.NoWait {
		return nil, &loadbalancer.OverloadError{Service: s.name, RetryAfter: s.queue.retryAfter()}
	}
	w := &waiter{flow: req.Flow, exclude: req.Exclude, enqueued: now, result: make(chan waitResult, 1)}
	w.deadline, _ = ctx.Deadline()
	if retryAfter, ok := s.queue.admit(w, now); !ok {
		return nil, &loadbalancer.OverloadError{Service: s.name, RetryAfter: retryAfter}
	}
	// A lease may be idle because the requests queued before exclude its server.
	s.serveQueue(now)
	return w, nil
}

func (s *service) wait(ctx context.Context, w *waiter) (*loadbalancer.Permit, error) {
	select {
	case r := <-w.result:
		return s.permitFrom(r)
	case <-ctx.Done():
	}
	s.mu.Lock()
	waiting := s.queue.remove(w)
	s.updateWant(time.Now())
	s.mu.Unlock()
	if waiting {
		return nil, ctx.Err()
	}
	permit, err := s.permitFrom(<-w.result)
	if permit != nil {
		permit.Release(loadbalancer.Result{Class: loadbalancer.ClassCancelled})
		return nil, ctx.Err()
	}
	return nil, err
}

func (s *service) permitFrom(r waitResult) (*loadbalancer.Permit, error) {
	if r.lease == nil {
		return nil, &loadbalancer.OverloadError{Service: s.name, RetryAfter: r.retryAfter}
	}
	return s.newPermit(r.holder, r.lease, r.server), nil
}

func (s *service) release(h *holder, l *lease, result loadbalancer.Result) {
	now := time.Now()
	s.mu.Lock()
	if result.Class == loadbalancer.ClassOK {
		s.queue.addLatency(result.Latency)
	}
	h.release(l, result, now)
	if s.queue.size > 0 {
		s.serveQueue(now)
	}
	due := h.askDue
	s.mu.Unlock()
	if due {
		s.wake()
	}
}

// serveQueue hands idle leases to queued requests.
func (s *service) serveQueue(now time.Time) {
	for s.queue.size > 0 && s.anyIdle(now) {
		var r waitResult
		w := s.queue.pop(func(w *waiter) bool {
			r = s.match(w, now)
			return r.lease != nil
		}, now)
		if w == nil {
			break
		}
		w.result <- r
	}
	s.updateWant(now)
}

func (s *service) anyIdle(now time.Time) bool {
	for _, h := range s.holders {
		if h.anyIdle(now) {
			return true
		}
	}
	return false
}

func (s *service) match(w *waiter, now time.Time) waitResult {
	for _, h := range s.holders {
		l := h.take(func(server string) bool { return s.excluded(server, w.exclude) }, now)
		if l == nil {
			continue
		}
		if server, ok := s.usable(l.server); ok {
			return waitResult{lease: l, holder: h, server: server}
		}
		h.makeIdle(l, now)
	}
	return waitResult{}
}

// updateWant sets how many leases to request from each data centre. Those of
// other data centres are requested only after the oldest request has waited for
// spillAfter, or while the local coordinator is suspected.
func (s *service) updateWant(now time.Time) {
	spill := s.queue.size > 0 && now.Sub(s.queue.oldestEnqueued()) >= spillAfter
	avoid := s.queue.excludedByAll()
	for i, h := range s.holders {
		switch {
		case i == 0:
			h.setWant(s.queue.size, avoid)
		case spill || s.holders[0].suspect(now):
			others := len(s.holders) - 1
			h.setWant((s.queue.size+others-1)/others, avoid)
		default:
			h.setWant(0, nil)
		}
	}
}

// tick rejects queued requests that can't meet their deadlines, does the
// periodic work of the holders and serves the queue.
func (s *service) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.queue.removeExpired(now) {
		w.result <- waitResult{retryAfter: s.queue.retryAfter()}
	}
	for _, h := range s.holders {
		h.tick(now)
	}
	s.serveQueue(now)
}

func (s *service) onGrant(from string, grant *slotpb.Grant, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.holders {
		if h.group == groupOf(grant.GetGroup()) {
			h.onGrant(from, grant, now)
		}
	}
	s.serveQueue(now)
}

// serviceConfig is the configuration of a service in the table.
type serviceConfig struct {
	groups     []group
	queueLimit int
	maxRunTime time.Duration
}

// configure applies the table's rows and removes the holders of groups that no
// longer exist.
func (s *service) configure(cfg serviceConfig) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removed = false
	s.queue.limit = cfg.queueLimit
	old := s.holders
	s.holders = nil
	for i, g := range cfg.groups {
		at := slices.IndexFunc(old, func(h *holder) bool { return h.group == g })
		h := newHolder(g, cfg.maxRunTime, remoteIdleTime)
		if at >= 0 {
			h = old[at]
		}
		h.maxRunTime = cfg.maxRunTime
		if i == 0 {
			h.idleTime = minIdleTime
		}
		s.holders = append(s.holders, h)
	}
}

func (s *service) setIdleTime(idleTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.holders) > 0 {
		s.holders[0].idleTime = idleTime
	}
}

// returnAll makes the next Ask messages return every lease.
func (s *service) returnAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.holders {
		if len(h.leases) > 0 {
			clear(h.leases)
			h.askDue = true
		}
		h.want = 0
	}
}
