package quarantine

import (
	"time"

	"github.com/pomelolock/pomelolock/peer/peerpb"
)

// encode returns a record with ages in place of times, because clocks differ.
func encode(fp Fingerprint, r *record, now time.Time) *peerpb.Poison {
	msg := &peerpb.Poison{
		Fingerprint: fp[:],
		HoldMs:      milliseconds(r.until.Sub(now)),
		PeriodMs:    milliseconds(r.period),
	}
	for _, l := range r.losses {
		msg.Losses = append(msg.Losses, &peerpb.ServerLoss{Id: l.id, Server: l.server, AgeMs: milliseconds(now.Sub(l.at))})
	}
	return msg
}

func milliseconds(d time.Duration) uint64 { return uint64(max(0, d.Milliseconds())) }

// limited returns a duration of at most limit.
func limited(ms uint64, limit time.Duration) time.Duration {
	return time.Duration(min(ms, uint64(limit.Milliseconds()))) * time.Millisecond
}

// merge adds a peer's losses and takes over its hold if that is longer. Losses
// before the request's last answer are left out; stale tells that all were.
func (g *ledger) merge(fp Fingerprint, msg *peerpb.Poison, now time.Time) (stale bool) {
	losses := msg.GetLosses()
	answered := g.answered.last(fp)
	stale = !answered.IsZero()
	for _, l := range losses[:min(len(losses), maxLosses)] {
		at := now.Add(-limited(l.GetAgeMs(), forgetAfter))
		if at.After(answered) {
			stale = false
			g.addLoss(fp, loss{id: l.GetId(), server: l.GetServer(), at: at}, at)
		}
	}
	r := g.records[fp]
	if r == nil || stale {
		return stale
	}
	r.period = max(r.period, limited(msg.GetPeriodMs(), maxPeriod))
	if until := now.Add(limited(msg.GetHoldMs(), maxPeriod)); until.After(r.until) {
		r.until = until
	}
	return false
}
