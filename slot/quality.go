package slot

import (
	"slices"
	"time"

	"github.com/pomelolock/pomelolock/slot/slotpb"
)

const (
	// slowFactor is the ratio to the median latency above which a server
	// counts as slow.
	slowFactor = 3
	// latencyWeight is the weight of one result in the latency average.
	latencyWeight = 0.1
	// windowStep is what one ok result adds to a server's window; maxSteps
	// is the maximum number of steps per report.
	windowStep = 0.5
	maxSteps   = 8
	// decreaseInterval is the minimum time between two decreases of a window.
	decreaseInterval = 50 * time.Millisecond
	// minTrialInterval and maxTrialInterval bound the time between two trial
	// grants of a server whose window is closed.
	minTrialInterval = 100 * time.Millisecond
	maxTrialInterval = 2 * time.Second
	// latencyFloor is the lower bound of latencies and medians in comparisons.
	latencyFloor = time.Millisecond
)

// quality is the coordinator's estimate of one server from the results of
// requests. Reports are treated as stale: each moves the server's concurrency
// window by a bounded step, and none makes the server the best one on its own.
type quality struct {
	// window is the limit of concurrent requests; below 1 it is closed.
	window float64
	// latency is the average over ok results; zero if there are none yet.
	latency time.Duration
	// failing is set when errors shrink the window, and reset when ok results
	// let it grow or their slowness shrinks it.
	failing  bool
	draining bool
	// trialInterval is the time until the next trial. It doubles up to
	// maxTrialInterval each time the window closes. It starts again at
	// minTrialInterval when the cause changes from errors to slowness, because one
	// slow result must not delay the recovery of a server that failed for long.
	trialInterval time.Duration
	nextTrialAt   time.Time
	lastDecrease  time.Time
	// ramp is the time over which the limit rises to the full number of slots
	// from rampStart on; with zero it is there at once.
	ramp      time.Duration
	rampStart time.Time
}

func newQuality(slots int, ramp time.Duration, now time.Time) quality {
	return quality{window: float64(slots), trialInterval: minTrialInterval, ramp: ramp, rampStart: now}
}

// observe applies one report. The median is that of the latencies of the group's
// servers.
func (q *quality) observe(now time.Time, r *slotpb.ServerReport, slots int, median time.Duration) {
	q.addLatency(r)
	bad := r.GetFailed() + r.GetRefused() + r.GetUnreachable()
	q.draining = r.GetDraining() || q.draining && r.GetOk() == 0
	switch {
	case q.draining:
		q.close(now)
	case bad > 0 && bad >= r.GetOk():
		q.failing = true
		q.decrease(now)
	case q.isSlow(median):
		if q.failing && r.GetOk() > 0 {
			q.failing = false
			q.trialInterval = minTrialInterval
		}
		q.decrease(now)
	case r.GetOverdue() > 0:
		q.shrink(float64(r.GetOverdue())-windowStep*float64(r.GetOk()), now)
	case r.GetOk() > 0:
		q.failing = false
		q.trialInterval = minTrialInterval
		q.window = min(q.window+windowStep*float64(min(r.GetOk(), maxSteps)), float64(slots))
	}
}

func (q *quality) addLatency(r *slotpb.ServerReport) {
	if r.GetOk() == 0 {
		return
	}
	sample := time.Duration(r.GetLatencyUs()/uint64(r.GetOk())) * time.Microsecond
	if q.latency == 0 || q.closed() {
		q.latency = sample
		return
	}
	weight := min(latencyWeight*float64(r.GetOk()), 0.5)
	q.latency += time.Duration(weight * float64(sample-q.latency))
}

func (q *quality) isSlow(median time.Duration) bool {
	return median > 0 && q.latency > slowFactor*max(median, latencyFloor)
}

func (q *quality) decrease(now time.Time) {
	if !q.lastDecrease.IsZero() && now.Sub(q.lastDecrease) < decreaseInterval {
		return
	}
	q.lastDecrease = now
	q.window /= 2
	if q.window < 1 {
		q.close(now)
	}
}

// shrink reduces the window by the given amount. Overdue requests shrink it one
// by one, so that the few of a healthy server have little effect and the many
// of a stalled one close it.
func (q *quality) shrink(by float64, now time.Time) {
	q.window -= max(by, 0)
	if q.window < 1 {
		q.close(now)
	}
}

// close closes the window: the server gets only trials, at growing intervals.
func (q *quality) close(now time.Time) {
	q.window = 0.5
	q.nextTrialAt = now.Add(q.trialInterval)
	q.trialInterval = min(2*q.trialInterval, maxTrialInterval)
}

func (q *quality) closed() bool { return q.window < 1 }

// wantsTrial reports whether the window of a server that is not draining is closed, by
// errors or for slowness.
func (q *quality) wantsTrial() bool { return q.closed() && !q.draining }

// failed reports whether errors closed the window of a server that is not
// draining.
func (q *quality) failed() bool { return q.closed() && q.failing && !q.draining }

// limit returns how many leases of the server may be granted at once now.
func (q *quality) limit(now time.Time, slots int) int {
	if q.closed() {
		if now.Before(q.nextTrialAt) {
			return 0
		}
		return min(1, slots)
	}
	limit := min(int(q.window), slots)
	if elapsed := now.Sub(q.rampStart); elapsed < q.ramp {
		opened := int(float64(slots) * float64(elapsed) / float64(q.ramp))
		limit = min(limit, max(1, opened))
	}
	return limit
}

// recordGrant records a grant. If it is a trial, the next one waits for the trial
// interval.
func (q *quality) recordGrant(now time.Time) {
	if q.closed() {
		q.nextTrialAt = now.Add(q.trialInterval)
	}
}

// score rates a server; lower is better. The latency of a failing server counts
// as the median at least, so that failing fast does not attract requests.
func (q *quality) score(leased, slots int, median time.Duration) float64 {
	latency := q.latency
	if latency == 0 || q.failing || q.closed() {
		latency = max(latency, median)
	}
	load := float64(leased+1) / float64(max(slots, 1))
	score := float64(max(latency, latencyFloor)) * (1 + load)
	if q.closed() {
		score *= slowFactor
	}
	return score
}

// medianLatency returns the lower median, or 0 of none. It sorts in place.
func medianLatency(latencies []time.Duration) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[(len(latencies)-1)/2]
}
