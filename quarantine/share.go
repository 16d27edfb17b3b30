package quarantine

import (
	"time"

	"github.com/pomelolock/pomelolock/peer/peerpb"
)

// encode returns the wire form of a record. It carries ages in place of times,
// because the clocks of instances differ.
func encode(fp Fingerprint, r *record, now time.Time) *peerpb.Poison {
	msg := &peerpb.Poison{
		Fingerprint: fp[:],
		HoldMs:      millis(r.heldUntil.Sub(now)),
		PeriodMs:    millis(r.period),
	}
	for _, l := range r.losses {
		msg.Losses = append(msg.Losses, &peerpb.ServerLoss{Id: l.id, Server: l.server, AgeMs: millis(now.Sub(l.at))})
	}
	return msg
}

func millis(d time.Duration) uint64 { return uint64(max(0, d.Milliseconds())) }

// cappedDuration converts milliseconds to a duration of at most limit.
func cappedDuration(ms uint64, limit time.Duration) time.Duration {
	return time.Duration(min(ms, uint64(limit.Milliseconds()))) * time.Millisecond
}

// merge adds the losses of a peer's record and adopts its hold and quarantine
// period where they are longer. It ignores losses before the request's last
// response; stale reports that this applied to all of them.
func (g *ledger) merge(fp Fingerprint, msg *peerpb.Poison, now time.Time) (stale bool) {
	losses := msg.GetLosses()
	completedAt := g.completed.last(fp)
	stale = !completedAt.IsZero()
	for _, l := range losses[:min(len(losses), maxLosses)] {
		at := now.Add(-cappedDuration(l.GetAgeMs(), recordRetention))
		if at.After(completedAt) {
			stale = false
			g.addLoss(fp, loss{id: l.GetId(), server: l.GetServer(), at: at}, at)
		}
	}
	r := g.records[fp]
	if r == nil || stale {
		return stale
	}
	r.period = max(r.period, cappedDuration(msg.GetPeriodMs(), maxPeriod))
	if until := now.Add(cappedDuration(msg.GetHoldMs(), maxPeriod)); until.After(r.heldUntil) {
		r.heldUntil = until
	}
	return false
}
