package forward

import (
	"context"
	"fmt"
	"log/slog"
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
	// dispatchInterval is the time between two looks for room: half of the
	// interval at which readings come.
	dispatchInterval = 25 * time.Millisecond
	// initialWork is the expected time of a request before any was measured. No
	// request is refused for it.
	initialWork = 100 * time.Millisecond
	// initialWithin is the time that a server may need for a request at least
	// before any was measured, in multiples of the work: that of a machine
	// without much other load.
	initialWithin = 2.0
	// workLasts is how long the expected time holds without an answer if requests
	// are refused for it.
	workLasts = 2 * time.Second
	// workMemory is the weight of a new measurement of that time.
	workMemory = 0.05
	// firstStep is the weight of the first measurements, divided by their
	// number.
	firstStep = 0.5
	// workQuantile is the quantile of the measured times that is taken for the
	// time on an idle machine without other load; more than half of the
	// requests run on such machines.
	workQuantile = 0.4
	// rateMemory is the weight of the last interval in the rate of sending; the
	// rate follows within half a second.
	rateMemory = 0.05
	// leastQueue is the number of requests that may wait whatever the rate is.
	leastQueue = 2
	// waitShare is the part of the time left that the estimated wait may take;
	// the rest allows for errors of the estimate.
	waitShare = 0.5
	// leastLateShare is the part of the rate at which late requests are sent at
	// least, as long as none have been measured.
	leastLateShare = 0.2
)

// queue holds the requests for one service that wait at this instance.
type queue struct {
	f       *Forwarder
	service string

	mu      sync.Mutex
	waiters []*waiter
	// open is set when the loads of servers are known; until then requests
	// wait.
	open bool
	// work is the time of a request on an idle machine without other load, as
	// the given number of answers told.
	work       time.Duration
	measured   int
	answeredAt time.Time
	// rate and lateRate are the requests sent a second from the queue, and
	// those among them that missed their target.
	rate, lateRate float64
	sent, sentLate int
}

// waiter is an attempt that waits for room.
type waiter struct {
	admission.Request
	x *exchange
	// granted receives one result.
	granted chan grant
}

type grant struct {
	placed placed
	failed *outcome.Error
}

// placed is room taken at a server for one attempt.
type placed struct {
	q      *queue
	server directory.Server
	// load is what the choice was based on.
	load  readings.Load
	began time.Time
}

// String tells what the choice was based on, for logs.
func (p placed) String() string {
	l := p.load
	return fmt.Sprintf("%s(running=%d waiting=%d unseen=%d slowness=%d age=%s failures=%.2f)",
		p.server.ID, l.Running, l.Waiting, l.Unseen, l.Slowness, l.Age.Round(time.Millisecond), l.FailureRate)
}

// servers returns the servers of the service that take new work.
func (q *queue) servers() []directory.Server { return q.f.opts.Directory.Servers(q.service) }

func newQueue(f *Forwarder, service string) *queue {
	return &queue{f: f, service: service, work: initialWork}
}

// done gives the room back.
func (p placed) done() {
	now := time.Now()
	p.q.f.opts.Board.Ended(p.server.ID, now)
	p.q.roomFreed(p.server.ID, now)
}

// answered measures the work of a request that was answered.
func (p placed) answered(now time.Time) {
	p.q.mu.Lock()
	defer p.q.mu.Unlock()
	took := now.Sub(p.began)
	q := p.q
	q.answeredAt = now
	q.measured++
	if q.measured == 1 {
		q.work = took
		return
	}
	// The step of a quantile estimate goes up by the quantile and down by the
	// rest, so that it settles where that part of the values lies below. The
	// first steps are longer: services differ by an order of magnitude.
	step := max(workMemory, firstStep/float64(q.measured)) * float64(q.work)
	if took > q.work {
		q.work += time.Duration(step * workQuantile)
	} else {
		q.work -= time.Duration(step * (1 - workQuantile))
	}
}

// doubtLocked forgets the expected work when a request is refused for it that no
// answer has confirmed lately: without requests it would never be measured again.
func (q *queue) doubtLocked(now time.Time) {
	if q.measured > 0 && now.Sub(q.answeredAt) > workLasts {
		q.work, q.measured = initialWork, 0
	}
}

// acquire takes room for an attempt, waiting for it if wait is set. It fails if
// the request can't be served in time. An exchange waits only while none of its
// attempts runs.
func (q *queue) acquire(ctx context.Context, x *exchange, wait bool) (placed, *outcome.Error) {
	now := time.Now()
	w := &waiter{
		Request: admission.Request{Priority: x.route.Priority, Target: x.began.Add(x.target()), Deadline: x.deadline},
		x:       x,
		granted: make(chan grant, 1),
	}
	q.mu.Lock()
	if !q.open && q.f.started() {
		q.openLocked(now)
	}
	if q.open && len(q.waiters) == 0 {
		if p, ok := q.placeLocked(w, now); ok {
			q.mu.Unlock()
			return p, nil
		}
	}
	if !wait {
		q.mu.Unlock()
		return placed{}, x.refusal(outcome.CodeOverload, "no room for a further attempt")
	}
	if failed := q.enqueueLocked(w, now); failed != nil {
		q.mu.Unlock()
		return placed{}, failed
	}
	q.mu.Unlock()
	select {
	case g := <-w.granted:
		return g.placed, g.failed
	case <-ctx.Done():
		q.leave(w)
		if x.mayHaveRun {
			return placed{}, x.late()
		}
		return placed{}, x.refusal(outcome.CodeOverload, "no room in time")
	}
}

// leave takes a waiter out that no longer waits.
func (q *queue) leave(w *waiter) {
	q.mu.Lock()
	q.waiters = slices.DeleteFunc(q.waiters, func(other *waiter) bool { return other == w })
	q.tellLocked(time.Now())
	q.mu.Unlock()
	select {
	case g := <-w.granted:
		if g.failed == nil {
			g.placed.done()
		}
	default:
	}
}

// placeLocked takes room for one request if its share of what is free allows.
func (q *queue) placeLocked(w *waiter, now time.Time) (placed, bool) {
	offers := q.offers(q.servers(), now).without(w.x.tried)
	own := counts([]*waiter{w}, now, q.work)
	if admission.Shares(placement.SpareCapacity(offers.assessed, q.within(w, now)), own, q.f.opts.Backlogs.Others(q.service, now)) != own {
		return placed{}, false
	}
	return q.takeLocked(w, offers, now)
}

// counts returns the number of waiters that can meet their target and of those
// that can't.
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

// tellLocked tells the other instances how many requests wait.
func (q *queue) tellLocked(now time.Time) {
	q.f.opts.Backlogs.Set(q.service, counts(q.waiters, now, q.work))
}

// within returns the time that a server may need for the request, in multiples
// of the work: what is left until its target or, if it is late, its deadline.
func (q *queue) within(w *waiter, now time.Time) float64 {
	until := w.Target
	if w.Late(now, q.work) {
		until = w.Deadline
	}
	within := float64(until.Sub(now)) / float64(q.work)
	if q.measured == 0 {
		within = max(within, initialWithin)
	}
	return within
}

// leastWork returns the time that a request needs at least, as far as it was
// measured.
func (q *queue) leastWork() time.Duration {
	if q.measured == 0 {
		return 0
	}
	return q.work
}

// takeLocked takes room at the best server for the request, which is then sent.
func (q *queue) takeLocked(w *waiter, offers offers, now time.Time) (placed, bool) {
	i := placement.Choose(offers.assessed, q.within(w, now))
	if i < 0 {
		return placed{}, false
	}
	server := offers.servers[i]
	load := q.f.opts.Board.Load(server.ID, now)
	q.f.opts.Board.Began(server.ID, now)
	q.countLocked(w, now)
	return placed{q: q, server: server, load: load, began: now}, true
}

// enqueueLocked lets a request wait, or refuses it if it can't be served in time.
func (q *queue) enqueueLocked(w *waiter, now time.Time) *outcome.Error {
	untried := func(s directory.Server) bool { return !slices.Contains(w.x.tried, s.ID) }
	if !slices.ContainsFunc(q.servers(), untried) {
		return w.x.refusal(outcome.CodeNoServer, "the service has no usable server")
	}
	late := w.Late(now, q.work)
	ahead, rate := 0, q.rate
	if late {
		rate = max(q.lateRate, leastLateShare*q.rate)
	}
	for _, other := range q.waiters {
		if admission.Compare(other.Request, w.Request, now, q.work) <= 0 && (!late || other.Late(now, q.work)) {
			ahead++
		}
	}
	wait := admission.EstimateWait(max(ahead-leastQueue, 0), rate)
	if !q.open {
		wait = 0
	}
	if w.MissesDeadline(now, q.leastWork()) {
		q.doubtLocked(now)
	}
	if w.MissesDeadline(now, q.leastWork()) || wait > time.Duration(waitShare*float64(w.Deadline.Sub(now)-q.leastWork())) {
		w.x.log("refused at once", slog.String("service", q.service), slog.Int("ahead", ahead),
			slog.Float64("rate", rate), slog.Bool("late", late), slog.Duration("work", q.work))
		return w.x.refusal(outcome.CodeOverload, "the request can't be served in time")
	}
	q.waiters = append(q.waiters, w)
	q.tellLocked(now)
	return nil
}

// openLocked begins to send. The rate is not measured yet: this instance is
// assumed to send an equal share of what the servers take.
func (q *queue) openLocked(now time.Time) {
	q.open = true
	for _, a := range q.offers(q.servers(), now).assessed {
		q.rate += float64(a.SpareCapacity) / (a.Time * q.work.Seconds()) / float64(max(q.f.opts.Instances(), 1))
	}
}

// tick sends what there is room for, refuses what can't be served any more and
// measures the rate.
func (q *queue) tick(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refuseLocked(now)
	if !q.open {
		if !q.f.started() {
			return
		}
		q.openLocked(now)
	}
	q.dispatchLocked(now)
	q.rate += rateMemory * (float64(q.sent)/dispatchInterval.Seconds() - q.rate)
	q.lateRate += rateMemory * (float64(q.sentLate)/dispatchInterval.Seconds() - q.lateRate)
	q.sent, q.sentLate = 0, 0
}

// roomFreed gives the room that an attempt of this instance has left to the next
// waiting request. Other instances don't know of it yet.
func (q *queue) roomFreed(server string, now time.Time) {
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
	offers := q.offers(servers[at:at+1], now)
	for i, w := range q.waiters {
		if slices.Contains(w.x.tried, server) {
			continue
		}
		if p, ok := q.takeLocked(w, offers, now); ok {
			w.granted <- grant{placed: p}
			q.waiters = slices.Delete(q.waiters, i, i+1)
			q.tellLocked(now)
			return
		}
	}
}

func (q *queue) sortLocked(now time.Time) {
	admission.Sort(q.waiters, func(w *waiter) admission.Request { return w.Request }, now, q.work)
}

// dispatchLocked sends waiting requests in their order, as many as are this
// instance's share of the room.
func (q *queue) dispatchLocked(now time.Time) {
	if len(q.waiters) == 0 {
		return
	}
	q.sortLocked(now)
	offers := q.offers(q.servers(), now)
	may := q.sharesLocked(offers, now)
	q.waiters = slices.DeleteFunc(q.waiters, func(w *waiter) bool {
		allowed := &may.InTime
		if w.Late(now, q.work) {
			allowed = &may.Late
		}
		if *allowed <= 0 {
			return false
		}
		p, ok := q.takeLocked(w, offers.without(w.x.tried), now)
		if !ok {
			return false
		}
		q.reassess(offers, p.server, now)
		*allowed--
		w.granted <- grant{placed: p}
		return true
	})
	q.tellLocked(now)
}

// sharesLocked returns how many waiting requests this instance may send now. The
// first of those in time tells which servers are fast enough for them.
func (q *queue) sharesLocked(offers offers, now time.Time) admission.Counts {
	assessed := offers.without(q.waiters[0].x.tried).assessed
	own, others := counts(q.waiters, now, q.work), q.f.opts.Backlogs.Others(q.service, now)
	inTime := admission.Shares(placement.SpareCapacity(assessed, q.within(q.waiters[0], now)), own, others)
	late := admission.Shares(placement.SpareCapacity(assessed, math.Inf(1)), own, others)
	return admission.Counts{InTime: inTime.InTime, Late: late.Late}
}

// countLocked counts a request that is sent.
func (q *queue) countLocked(w *waiter, now time.Time) {
	q.sent++
	if w.Late(now, q.work) {
		q.sentLate++
	}
}

// refuseLocked refuses waiting requests that would miss their deadline.
func (q *queue) refuseLocked(now time.Time) {
	before := len(q.waiters)
	q.waiters = slices.DeleteFunc(q.waiters, func(w *waiter) bool {
		if !w.MissesDeadline(now, q.leastWork()) {
			return false
		}
		w.granted <- grant{failed: w.x.refusal(outcome.CodeOverload, "no room in time")}
		return true
	})
	if len(q.waiters) != before {
		q.doubtLocked(now)
		q.tellLocked(now)
	}
}
