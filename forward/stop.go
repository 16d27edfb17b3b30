package forward

import (
	"log/slog"
	"net/http"
	"slices"
	"time"

	"github.com/pomelolock/pomelolock/outcome"
)

// A planned stop has a fixed end. Requests that would not be answered by then are refused
// before they are sent to a server, so that their callers can go to another instance while
// there is time. Requests that run at servers are waited for until the end.

const (
	// slowestShare is the time, as a multiple of the usual service time, that the last
	// requests of a stop have beyond it: work on busy servers takes longer than usual.
	slowestShare = 2.0
	// maxSlowest bounds that time, so that services with long requests are served for most of
	// a stop.
	maxSlowest = time.Second
)

// Leave begins a planned stop. From then on, requests that are not expected to be answered by end
// are refused, those that wait now as well as those that arrive later. Those that are read whole
// after lateFrom, such as slow uploads, are refused if their deadline is after end: the usual time
// of the service doesn't exclude that a server still works on one then.
func (f *Forwarder) Leave(end, lateFrom time.Time) {
	f.lateFrom.Store(&lateFrom)
	f.stopEnd.Store(&end)
	now := time.Now()
	for _, q := range f.allQueues() {
		q.leave(now)
	}
}

// End gives the requests that still run at servers their final response, which promises
// nothing. It must be called at most once, at the end of a planned stop.
func (f *Forwarder) End() { close(f.ended) }

// boundLocked moves the deadline of a request forward to the end of a planned stop, if there is
// one.
func (q *queue) boundLocked(w *waiter) {
	if bound, ok := q.stopBoundLocked(); ok && bound.Before(w.Deadline) {
		w.Deadline, w.stopping = bound, true
	}
}

// stopBoundLocked returns the time by which a request of usual duration has to be answered so
// that slower ones are before the end of the planned stop; false if there is none.
func (q *queue) stopBoundLocked() (time.Time, bool) {
	end := q.f.stopEnd.Load()
	if end == nil {
		return time.Time{}, false
	}
	slowest := time.Duration(slowestShare * float64(q.minServiceTime()))
	return end.Add(-min(slowest, maxSlowest)), true
}

// stopsBefore reports whether a request for the service that is sent now, to a server or to a
// peer, is not expected to be answered before the end of the planned stop.
func (f *Forwarder) stopsBefore(service string, now time.Time) bool {
	if f.stopEnd.Load() == nil {
		return false
	}
	q := f.queue(service)
	q.mu.Lock()
	defer q.mu.Unlock()
	bound, ok := q.stopBoundLocked()
	return ok && now.Add(q.minServiceTime()).After(bound)
}

// checkStop refuses a request that was read late in a planned stop and may last beyond its end.
func (x *exchange) checkStop() *outcome.Error {
	end := x.f.stopEnd.Load()
	if end == nil || time.Now().Before(*x.f.lateFrom.Load()) || !x.deadline.After(*end) {
		return nil
	}
	return x.tooLong()
}

// leave refuses the waiting requests that are not expected to be answered by the end of the
// planned stop.
func (q *queue) leave(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, w := range q.waiters {
		q.boundLocked(w)
	}
	q.sortLocked(now)
	ahead := 0
	q.waiters = slices.DeleteFunc(q.waiters, func(w *waiter) bool {
		late := w.Late(now, q.serviceTime)
		wait := q.estimateWaitLocked(ahead, late, now)
		if !w.stopping || q.fitsLocked(w, wait, now) {
			ahead++
			return false
		}
		w.x.log("refused at once", slog.String("service", q.service), slog.String("reason", "the instance stops"),
			slog.Int("ahead", ahead), slog.Bool("late", late), slog.Duration("wait", wait), slog.Duration("work", q.serviceTime),
			slog.Duration("left", w.Deadline.Sub(now)))
		w.granted <- grant{failed: w.noRoom()}
		return true
	})
	q.publishBacklogLocked(now)
}

// noRoom returns the error for a request that waits and can't be served in time.
func (w *waiter) noRoom() *outcome.Error {
	if w.stopping {
		return w.x.refusal(outcome.CodeStopping, "the instance stops before the request can be served")
	}
	return w.x.refusal(outcome.CodeOverload, "no room in time")
}

// tooLong returns the error for a request that takes longer than the planned stop. Other
// instances may have room for it now.
func (x *exchange) tooLong() *outcome.Error {
	failed := x.refusal(outcome.CodeStopping, "the instance stops before a server can answer")
	if failed.Outcome == outcome.NotRun {
		failed.RetryAfter = rejectedRetryAfter()
	}
	return failed
}

// cutByStop logs a request that still runs at the end of a planned stop, and returns its error.
func (x *exchange) cutByStop() *outcome.Error {
	x.log("cut by the stop", append(x.timing(), slog.Any("tried", x.reservations), slog.Any("peers", x.peers))...)
	return &outcome.Error{
		Outcome: outcome.Unknown, Status: http.StatusBadGateway, Code: outcome.CodeStopping,
		Detail: "the instance stopped before a server answered",
	}
}
