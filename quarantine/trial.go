package quarantine

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// maxTrial is the longest time for which a trial excludes others, and trialSettleTime
	// the time after the deadline of its request in which its loss becomes known.
	maxTrial        = 30 * time.Second
	trialSettleTime = 2 * time.Second
	// trialSpread is the time over which instances spread their claims of a trial, so that
	// most hear of another's before they send their own.
	trialSpread = 150 * time.Millisecond
	// claimTime is the time for which a claim waits for those of others. It is several times
	// the transit of a message through a relay.
	claimTime = 150 * time.Millisecond
	// claimMessages is how often peers are told of a claim, since a message may be lost.
	claimMessages = 2
)

// trial is a request that runs although its content is held back. It excludes others until its
// outcome must be known. An instance claims a trial before it sends the request: of several that
// are claimed at about the same time, all instances keep the same one.
type trial struct {
	id           uint64
	began, until time.Time
}

func (t trial) runs(now time.Time) bool { return now.Before(t.until) }

// precedes reports whether t is kept in place of another trial: the earlier one, or the one with
// the higher ID if both began within the transit of a message.
func (t trial) precedes(other trial) bool {
	if lead := other.began.Sub(t.began); lead.Abs() > transitTolerance {
		return lead > 0
	}
	return t.id > other.id
}

// mergeTrial adopts the trial of a peer if it precedes the known one or is the same and has
// ended. It reports whether anything is new.
func (r *record) mergeTrial(t trial, now time.Time) (changed bool) {
	switch {
	case t.id == 0:
		return false
	case t.id == r.trial.id:
		ended := r.trial.until.Sub(t.until) > transitTolerance
		r.trial.until = earlier(r.trial.until, t.until)
		if ended {
			r.nextTrialAt = time.Time{}
		}
		return ended
	case !t.runs(now), r.trial.runs(now) && !t.precedes(r.trial):
		return false
	}
	r.trial, r.nextTrialAt = t, time.Time{}
	return true
}

// nextTrialLocked returns the time from which a request may claim a trial that has arrived at
// the given time and waits for at most longest. It is the same for all that wait here.
func (q *Quarantine) nextTrialLocked(fp Fingerprint, arrived time.Time, longest time.Duration) time.Time {
	r := q.ledger.records[fp]
	if r.nextTrialAt.Before(arrived) {
		r.nextTrialAt = time.Now().Add(q.trialDelay(min(trialSpread, longest/2)))
	}
	return r.nextTrialAt
}

// trialDelay returns the time for which a request waits before it claims a trial. The times
// of the instances are distributed so that few of them are near the shortest, however many
// begin to wait at the same time.
func (q *Quarantine) trialDelay(spread time.Duration) time.Duration {
	instances := q.opts.Instances()
	if instances <= 1 {
		return 0
	}
	growth := math.Log(float64(instances)) + 1
	return time.Duration(float64(spread) / growth * math.Log1p(q.opts.Rand()*math.Expm1(growth)))
}

// claimTrialLocked claims a trial for a request with the given deadline and returns its ID.
func (q *Quarantine) claimTrialLocked(fp Fingerprint, s standing, deadline, now time.Time) uint64 {
	r := q.ledger.records[fp]
	excludes := min(max(suspectHold, deadline.Sub(now)+trialSettleTime), maxTrial)
	r.trial, r.nextTrialAt = trial{id: rand.Uint64(), began: now, until: now.Add(excludes)}, time.Time{}
	q.opts.Logger.Info("quarantine_trial", "fingerprint", shortHex(fp), "standing", s.String(), "trial", r.trial.id, "for", excludes)
	for range claimMessages {
		q.shareRecordLocked(fp)
	}
	q.notifyLocked()
	return r.trial.id
}

// claimedUntil returns the time at which a trial that was claimed at the given time begins.
func (q *Quarantine) claimedUntil(claimedAt, giveUp time.Time) time.Time {
	if q.opts.Instances() <= 1 {
		return claimedAt
	}
	return earlier(claimedAt.Add(claimTime), giveUp)
}

// EndTrial ends a trial whose request did not run to an outcome: it received no response and
// was not lost either.
func (q *Quarantine) EndTrial(fp [32]byte, id uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.endTrialLocked(fp, id)
}

func (q *Quarantine) endTrialLocked(fp Fingerprint, id uint64) {
	now := time.Now()
	r := q.ledger.records[fp]
	if r == nil || r.trial.id != id || !r.trial.runs(now) {
		return
	}
	r.trial.until, r.nextTrialAt = now, time.Time{}
	q.shareRecordLocked(fp)
	q.notifyLocked()
}
