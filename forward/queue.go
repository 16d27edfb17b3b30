package forward

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/pomelolock/pomelolock/admission"
	"github.com/pomelolock/pomelolock/directory"
	"github.com/pomelolock/pomelolock/outcome"
	"github.com/pomelolock/pomelolock/placement"
	"github.com/pomelolock/pomelolock/readings"
)

const (
	// dispatchInterval is the interval at which queues look for spare capacity:
	// half of the interval of load reports.
	dispatchInterval = 25 * time.Millisecond
	// initialServiceTime is the assumed service time before any was measured. No
	// request is refused because of it.
	initialServiceTime = 100 * time.Millisecond
	// initialMaxTime is the lower bound of maxTime until a service time has been
	// measured. It admits servers on machines without much other load.
	initialMaxTime = 2.0
	// serviceTimeTTL is how long the measured service time is used without a new
	// response if requests are refused because of it.
	serviceTimeTTL = 2 * time.Second
	// minStep is the minimum relative step by which a measurement moves the
	// estimated service time.
	minStep = 0.05
	// initialStep divided by the number of measurements is the relative step
	// while that is larger than minStep.
	initialStep = 0.5
	// serviceTimeQuantile is the quantile of the measured times that estimates the
	// time on an idle machine without other load; more than half of the requests
	// run on such machines.
	serviceTimeQuantile = 0.4
	// rateSmoothing is the weight of the last dispatch interval in the send rate,
	// so that the rate adapts within half a second.
	rateSmoothing = 0.05
	// minQueue is the number of requests that may wait at any send rate.
	minQueue = 2
	// maxWaitShare is the share of the remaining time that the estimated wait may
	// take; the rest allows for errors of the estimate.
	maxWaitShare = 0.5
	// minLateShare is the lower bound of the send rate assumed for late requests,
	// as a share of the whole send rate. Without it, the rate would be zero until
	// late requests have been sent.
	minLateShare = 0.2
)

// queue holds the requests for one service that are queued at this instance.
type queue struct {
	f       *Forwarder
	service string

	mu      sync.Mutex
	waiters []*waiter
	// fair divides the capacity among the workspaces.
	fair admission.Fair
	// open is set once startup no longer waits for the loads of servers; until
	// then requests wait.
	open bool
	// serviceTime is the estimated time of a request on an idle machine without
	// other load, samples the number of responses that it is based on.
	serviceTime  time.Duration
	samples      int
	lastResponse time.Time
	// rate and lateRate are the smoothed numbers of requests, and of late requests,
	// sent per second; sent and sentLate count those of the present interval.
	rate, lateRate float64
	sent, sentLate int
	// arriving is the smoothed number of requests that arrive in a second, arrived the
	// number in the present interval, intervals the number of intervals.
	arriving  float64
	arrived   int
	intervals int
	// checks is the number of checks that this instance may make on demand, as of
	// checksAt.
	checks   float64
	checksAt time.Time
	// dispatching is set while a round of dispatching waits for the loads of servers.
	dispatching bool
	usual       usualCache
	local       localState
}

// waiter is an attempt that waits for spare capacity.
type waiter struct {
	admission.Request
	x *exchange
	// stopping is set if the deadline is the end of a planned stop.
	stopping bool
	// granted receives one grant.
	granted chan grant
}

// grant is the end of a wait: a reservation, or an error.
type grant struct {
	reservation reservation
	failed      *outcome.Error
}

// reservation is capacity reserved at a server for one attempt.
type reservation struct {
	q      *queue
	server directory.Server
	// load is the load on which the choice was based.
	load       readings.Load
	reservedAt time.Time
}

// String returns the server and the load on which the choice was based, for logs.
func (r reservation) String() string {
	l := r.load
	limit := ""
	if l.Limit.Named {
		limit = " limit=" + l.Limit.String()
	}
	if l.Cold {
		limit += " cold"
	}
	return fmt.Sprintf("%s(running=%d waiting=%d unseen=%d slowness=%d age=%s failures=%.2f%s)",
		r.server.ID, l.Running, l.Waiting, l.UnreportedInFlight, l.SlowdownPercent, l.Age.Round(time.Millisecond), l.FailureRate, limit)
}

// servers returns the servers of the service that accept new requests.
func (q *queue) servers() []directory.Server { return q.f.opts.Directory.Servers(q.service) }

func newQueue(f *Forwarder, service string) *queue {
	return &queue{f: f, service: service, serviceTime: initialServiceTime}
}

// release returns the reserved capacity.
func (r reservation) release() {
	now := time.Now()
	r.q.f.opts.Board.Ended(r.server.ID, now)
	r.q.capacityFreed(r.server.ID, now)
}

// recordResponse updates the estimated service time after a response.
// bytes is its size.
func (r reservation) recordResponse(now time.Time, bytes int64) {
	r.q.mu.Lock()
	defer r.q.mu.Unlock()
	took := now.Sub(r.reservedAt)
	q := r.q
	q.lastResponse = now
	smooth(&q.local.responseBytes, float64(bytes))
	q.samples++
	if q.samples == 1 {
		q.serviceTime = took
		return
	}
	// Steps up are weighted with the quantile and steps down with its complement,
	// so that the estimate converges to the quantile. The first steps are larger
	// because services differ by an order of magnitude.
	step := max(minStep, initialStep/float64(q.samples)) * float64(q.serviceTime)
	if took > q.serviceTime {
		q.serviceTime += time.Duration(step * serviceTimeQuantile)
	} else {
		q.serviceTime -= time.Duration(step * (1 - serviceTimeQuantile))
	}
}

// expireServiceTimeLocked resets the estimated service time if it is older than
// serviceTimeTTL. It is called when requests are refused because of the estimate:
// if all are refused, it would never be measured again.
func (q *queue) expireServiceTimeLocked(now time.Time) {
	if q.samples > 0 && now.Sub(q.lastResponse) > serviceTimeTTL {
		q.serviceTime, q.samples = initialServiceTime, 0
	}
}

// acquire reserves capacity for an attempt and, if wait is set, waits for it. It
// fails if the request can't be served in time. An exchange waits only while none
// of its attempts is running.
func (q *queue) acquire(ctx context.Context, x *exchange, wait bool) (reservation, *outcome.Error) {
	w := &waiter{
		Request: x.queued(),
		x:       x,
		granted: make(chan grant, 1),
	}
	q.f.opts.AwaitCurrent(ctx)
	fresh := q.refresh(ctx, w)
	now := time.Now()
	q.mu.Lock()
	q.arrived++
	smooth(&q.local.target, x.target().Seconds())
	q.boundLocked(w)
	if !q.open && q.f.started() {
		q.openLocked(now)
	}
	if q.open && len(q.waiters) == 0 {
		if r, ok := q.tryReserveLocked(w, fresh, now); ok {
			q.mu.Unlock()
			return r, nil
		}
	}
	if !wait {
		q.mu.Unlock()
		return reservation{}, x.refusal(outcome.CodeOverload, "no room for a further attempt")
	}
	if failed := q.enqueueLocked(w, now); failed != nil {
		q.mu.Unlock()
		return reservation{}, failed
	}
	q.mu.Unlock()
	select {
	case g := <-w.granted:
		return g.reservation, g.failed
	case <-ctx.Done():
		q.remove(w)
		if x.mayHaveRun {
			return reservation{}, x.deadlineExceeded()
		}
		return reservation{}, x.refusal(outcome.CodeOverload, "no room in time")
	case <-x.held.upload.Evicted():
		q.remove(w)
		return reservation{}, x.noMemory(x.held.upload.Full())
	case <-q.f.ended:
		q.remove(w)
		return reservation{}, w.noRoom()
	}
}

// remove removes a waiter that no longer waits and releases its reservation, if it
// got one in the meantime.
func (q *queue) remove(w *waiter) {
	q.mu.Lock()
	q.waiters = slices.DeleteFunc(q.waiters, func(other *waiter) bool { return other == w })
	q.publishBacklogLocked(time.Now())
	q.mu.Unlock()
	select {
	case g := <-w.granted:
		if g.failed == nil {
			g.reservation.release()
		}
	default:
	}
}

// tryReserveLocked reserves capacity for one request if this instance's share of the
// spare capacity allows it. It prefers the servers whose loads are fresh.
func (q *queue) tryReserveLocked(w *waiter, fresh []string, now time.Time) (reservation, bool) {
	others := q.f.opts.Backlogs.Others(q.service, now)
	if others == (admission.Counts{}) {
		if r, ok := q.reserveFreshLocked(w, fresh, now); ok {
			return r, true
		}
	}
	candidates := q.assess(q.servers(), now).excluding(w.x.tried)
	own := counts([]*waiter{w}, now, q.serviceTime)
	if admission.Shares(placement.SpareCapacity(candidates.assessed, q.maxTime(w, now)), own, others) != own {
		return q.reserveLocked(w, candidates.limited(), now)
	}
	if r, ok := q.reserveFreshLocked(w, fresh, now); ok {
		return r, true
	}
	return q.reserveLocked(w, candidates, now)
}

// reserveFreshLocked reserves capacity at one of the servers whose loads are fresh. A server
// that is known to be busy is better than one that an old report shows as idle.
func (q *queue) reserveFreshLocked(w *waiter, fresh []string, now time.Time) (reservation, bool) {
	if len(fresh) == 0 {
		return reservation{}, false
	}
	return q.reserveLocked(w, q.assess(q.named(fresh), now), now)
}

// counts returns the numbers of waiters that can meet their target and of those that
// can't.
func counts(waiters []*waiter, now time.Time, expected time.Duration) admission.Counts {
	var c admission.Counts
	for _, w := range waiters {
		if w.Late(now, expected) {
			c.Late++
		} else {
			c.InTime++
		}
	}
	return c
}

// publishBacklogLocked updates the backlog that is published to other instances.
func (q *queue) publishBacklogLocked(now time.Time) {
	q.f.opts.Backlogs.Set(q.service, counts(q.waiters, now, q.serviceTime))
}

// maxTime returns the time that a server may need for the request, as a multiple of
// the service time: the time left until its target or, if it is late, until its
// deadline.
func (q *queue) maxTime(w *waiter, now time.Time) float64 {
	until := w.Target
	if w.Late(now, q.serviceTime) {
		until = w.Deadline
	}
	maxTime := float64(until.Sub(now)) / float64(q.serviceTime)
	if q.samples == 0 {
		maxTime = max(maxTime, initialMaxTime)
	}
	return maxTime
}

// minServiceTime returns the estimated service time, or zero if none was measured.
func (q *queue) minServiceTime() time.Duration {
	if q.samples == 0 {
		return 0
	}
	return q.serviceTime
}

// reserveLocked reserves capacity at a server for the request and counts it as sent.
// It reports false if no server qualifies.
func (q *queue) reserveLocked(w *waiter, candidates candidateSet, now time.Time) (reservation, bool) {
	i := placement.Choose(candidates.assessed, q.maxTime(w, now))
	if i < 0 {
		return reservation{}, false
	}
	server := candidates.servers[i]
	load := q.f.opts.Board.Load(server.ID, now)
	q.f.opts.Board.Began(server.ID, now)
	q.countSentLocked(w, now)
	if server.DataCentre != q.f.opts.DataCentre {
		q.f.remote.Add(1)
	}
	return reservation{q: q, server: server, load: load, reservedAt: now}, true
}

// hasUntried reports whether there is a server that the request was not sent to.
func (q *queue) hasUntried(w *waiter) bool {
	return slices.ContainsFunc(q.servers(), func(s directory.Server) bool { return !slices.Contains(w.x.tried, s.ID) })
}

// quietUntil returns the earliest time at which a server that the request was not sent to
// wants requests: now, unless all of them want quiet.
func (q *queue) quietUntil(w *waiter, now time.Time) time.Time {
	var earliest time.Time
	for _, s := range q.servers() {
		if slices.Contains(w.x.tried, s.ID) {
			continue
		}
		until := q.f.opts.Board.Load(s.ID, now).NoneUntil(now)
		if !until.After(now) {
			return now
		}
		if earliest.IsZero() || until.Before(earliest) {
			earliest = until
		}
	}
	return earliest
}

// coldRate returns the number of requests a second that this instance may send if all servers
// of the service are cold. Otherwise, that is not bounded.
func (q *queue) coldRate(now time.Time) float64 {
	rate := 0.0
	for _, s := range q.servers() {
		load := q.f.opts.Board.Load(s.ID, now)
		if !load.Cold {
			return math.Inf(1)
		}
		rate += load.ColdRate
	}
	return rate
}

// openLocked starts sending. The send rate is not yet measured; it is initialised
// with this instance's equal share of the servers' throughput.
func (q *queue) openLocked(now time.Time) {
	q.open = true
	candidates := q.assess(q.servers(), now)
	for i, a := range candidates.assessed {
		if load := q.f.opts.Board.Load(candidates.servers[i].ID, now); load.Cold {
			q.rate += load.ColdRate
			continue
		}
		q.rate += float64(a.SpareCapacity) / (a.Time * q.serviceTime.Seconds()) / float64(max(q.f.opts.Instances(), 1))
	}
}

// tick refuses requests that can no longer be served, sends others as far as there
// is spare capacity, and updates the send rates.
func (q *queue) tick(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refuseExpiredLocked(now)
	q.refuseEvacuatedLocked(now)
	q.decideSharesLocked(now)
	if len(q.waiters) == 0 {
		q.fair.Forget(now)
	}
	if len(q.waiters) > 0 && q.f.opts.Board.LinksLost() {
		q.releaseLocked(now)
	}
	if !q.open {
		if !q.f.started() {
			return
		}
		q.openLocked(now)
	}
	q.startDispatchLocked(now)
	q.rate += rateSmoothing * (float64(q.sent)/dispatchInterval.Seconds() - q.rate)
	q.lateRate += rateSmoothing * (float64(q.sentLate)/dispatchInterval.Seconds() - q.lateRate)
	q.intervals++
	q.arriving += max(arrivalSmoothing, 1/float64(q.intervals)) * (float64(q.arrived)/dispatchInterval.Seconds() - q.arriving)
	q.sent, q.sentLate, q.arrived = 0, 0, 0
}

// capacityFreed gives the capacity released by an attempt of this instance to the
// next waiting request. Other instances don't know of this capacity yet. If only late requests
// wait here while others could still meet their targets there, it is left to those.
func (q *queue) capacityFreed(server string, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiters) == 0 {
		return
	}
	servers := q.servers()
	at := slices.IndexFunc(servers, func(s directory.Server) bool { return s.ID == server })
	if at < 0 {
		return
	}
	q.sortLocked(now)
	candidates := q.assess(servers[at:at+1], now)
	leaveToOthers := q.wantedElsewhereLocked(candidates.assessed[0], now)
	for i, w := range q.waiters {
		if leaveToOthers && w.Late(now, q.serviceTime) {
			return
		}
		if slices.Contains(w.x.tried, server) {
			continue
		}
		if r, ok := q.reserveLocked(w, candidates, now); ok {
			w.granted <- grant{reservation: r}
			q.waiters = slices.Delete(q.waiters, i, i+1)
			q.publishBacklogLocked(now)
			return
		}
	}
}

// wantedElsewhereLocked reports whether requests at other instances could still meet their targets
// at the server. Without checks, these instances would all send requests there at once.
func (q *queue) wantedElsewhereLocked(server placement.Assessment, now time.Time) bool {
	return q.f.opts.Backlogs.Others(q.service, now).InTime > 0 && server.Slowdown <= placement.DefaultSlowdown &&
		q.waiters[0].x.service.HealthPath != "" && q.checksAvailableLocked(now)
}

// refuseEvacuatedLocked refuses the waiting requests for which evacuations left no server.
// Without an evacuation, requests wait, since a server that restarts is back soon.
func (q *queue) refuseEvacuatedLocked(now time.Time) {
	if len(q.waiters) == 0 || !q.f.opts.Directory.AnyEvacuated() {
		return
	}
	before := len(q.waiters)
	q.waiters = slices.DeleteFunc(q.waiters, func(w *waiter) bool {
		if q.hasUntried(w) {
			return false
		}
		w.granted <- grant{failed: w.x.refusal(outcome.CodeNoServer, "the service has no usable server")}
		return true
	})
	if len(q.waiters) != before {
		q.publishBacklogLocked(now)
	}
}

// releaseLocked ends the wait of all requests, because this instance has lost its links to the
// servers, if a peer can serve them.
func (q *queue) releaseLocked(now time.Time) {
	if _, ok := q.f.opts.Peer(nil); !ok {
		return
	}
	for _, w := range q.waiters {
		w.granted <- grant{failed: w.x.refusal(outcome.CodeServerUnreached, "this instance reaches no server")}
	}
	q.waiters = nil
	q.publishBacklogLocked(now)
}

// refuseExpiredLocked refuses waiting requests that would miss their deadline.
func (q *queue) refuseExpiredLocked(now time.Time) {
	before := len(q.waiters)
	q.waiters = slices.DeleteFunc(q.waiters, func(w *waiter) bool {
		if !w.MissesDeadline(now, q.minServiceTime()) {
			return false
		}
		w.granted <- grant{failed: w.noRoom()}
		return true
	})
	if len(q.waiters) != before {
		q.expireServiceTimeLocked(now)
		q.publishBacklogLocked(now)
	}
}
