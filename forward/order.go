package forward

import (
	"log/slog"
	"time"

	"github.com/pomelolock/pomelolock/admission"
	"github.com/pomelolock/pomelolock/outcome"
)

// queued returns what determines the place of the request in a queue.
func (x *exchange) queued() admission.Request {
	r := admission.Request{
		Priority: x.priority(), Target: x.firstSentAt.Add(x.target()), Deadline: x.deadline,
		Weight: x.identity.weight,
	}
	if w := x.identity.workspace; w != nil {
		r.Workspace = w.Name
	}
	return r
}

func (w *waiter) request() admission.Request { return w.Request }

// sortLocked sorts the waiting requests into the order in which they are sent.
func (q *queue) sortLocked(now time.Time) {
	admission.SortFair(&q.fair, q.waiters, (*waiter).request, now, q.serviceTime)
}

// countSentLocked counts a request that is sent.
func (q *queue) countSentLocked(w *waiter, now time.Time) {
	q.fair.Sent(w.Request, now, q.serviceTime)
	q.sent++
	if w.Late(now, q.serviceTime) {
		q.sentLate++
	}
}

// enqueueLocked queues a request, or refuses it if it can't be served in time.
func (q *queue) enqueueLocked(w *waiter, now time.Time) *outcome.Error {
	if !q.hasUntried(w) {
		return w.x.refusal(outcome.CodeNoServer, "the service has no usable server")
	}
	if until := q.quietUntil(w, now); until.After(now) && w.MissesDeadline(until, q.minServiceTime()) {
		q.logRefused(w, admission.Position{}, slog.String("reason", "all servers want quiet"), slog.Duration("quiet_for", until.Sub(now)))
		return w.x.refusalFor(outcome.CodeOverload, "all servers of the service want no requests", until.Sub(now))
	}
	late := w.Late(now, q.serviceTime)
	place := admission.Locate(&q.fair, q.waiters, (*waiter).request, w.Request, now, q.serviceTime)
	wait := q.estimateWaitLocked(place.Ahead, late, now)
	if w.MissesDeadline(now, q.minServiceTime()) {
		q.expireServiceTimeLocked(now)
	}
	if !q.fitsLocked(w, wait, now) {
		// A request that has no time left is not refused for the share of its workspace.
		if place.OverShare() && !w.MissesDeadline(now, q.minServiceTime()) {
			q.f.overShare.Add(1)
		}
		q.logRefused(w, place, slog.Int("ahead", place.Ahead), slog.Float64("rate", q.sendRateLocked(late, now)), slog.Bool("late", late),
			slog.Duration("work", q.serviceTime), slog.Bool("stopping", w.stopping))
		if w.stopping {
			return w.noRoom()
		}
		return w.x.refusal(outcome.CodeOverload, "the request can't be served in time")
	}
	q.waiters = append(q.waiters, w)
	q.publishBacklogLocked(now)
	return nil
}

// sendRateLocked returns the rate in requests a second at which this instance is expected to
// send waiting requests, or late ones among them.
func (q *queue) sendRateLocked(late bool, now time.Time) float64 {
	rate := q.rate
	if late {
		rate = max(q.lateRate, minLateShare*q.rate)
	}
	return min(rate, q.coldRate(now))
}

// estimateWaitLocked estimates the time until a request with the given number of requests ahead
// of it is sent.
func (q *queue) estimateWaitLocked(ahead int, late bool, now time.Time) time.Duration {
	if !q.open {
		return 0
	}
	return admission.EstimateWait(max(ahead-minQueue, 0), q.sendRateLocked(late, now))
}

// fitsLocked reports whether a request that is sent after the estimated wait meets its deadline.
func (q *queue) fitsLocked(w *waiter, wait time.Duration, now time.Time) bool {
	return !w.MissesDeadline(now, q.minServiceTime()) &&
		wait <= time.Duration(maxWaitShare*float64(w.Deadline.Sub(now)-q.minServiceTime()))
}

// logRefused logs a request that is refused when it arrives. place is the zero value if the
// refusal does not depend on the other waiting requests.
func (q *queue) logRefused(w *waiter, place admission.Position, attrs ...slog.Attr) {
	attrs = append([]slog.Attr{slog.String("service", q.service)}, attrs...)
	if w.Weight > 0 {
		attrs = append(attrs, slog.String("workspace", w.Workspace))
	}
	if place.QueueShare > 0 {
		attrs = append(attrs, slog.Float64("queue_share", place.QueueShare), slog.Float64("fair_share", place.FairShare))
	}
	w.x.log("refused at once", attrs...)
}
