package quarantine

import (
	"slices"
	"time"

	"github.com/pomelolock/pomelolock/peer/peerpb"
)

// transitTolerance is the difference between two instances' times of the same event that the
// transit of a message may cause.
const transitTolerance = 100 * time.Millisecond

// encode returns the wire form of a record. It carries ages in place of times,
// because the clocks of instances differ.
func (g *ledger) encode(fp Fingerprint, now time.Time) *peerpb.Poison {
	r := g.records[fp]
	msg := &peerpb.Poison{
		Fingerprint: fp[:],
		HoldMs:      millis(r.heldUntil.Sub(now)),
		PeriodMs:    millis(r.period),
		Trial:       r.trial.id,
		TrialMs:     millis(r.trial.until.Sub(now)),
		TrialAgeMs:  millis(now.Sub(r.trial.began)),
	}
	if last := g.answers.lastOwn(fp); !last.IsZero() && now.Sub(last) < recordRetention {
		msg.AnswerAgeMs = max(1, millis(now.Sub(last)))
	}
	for _, l := range r.losses {
		msg.Losses = append(msg.Losses, g.encodeLoss(fp, l, now))
	}
	return msg
}

func (g *ledger) encodeLoss(fp Fingerprint, l loss, now time.Time) *peerpb.ServerLoss {
	return &peerpb.ServerLoss{
		Id: l.id, Server: l.server.server, StartedMs: l.server.started,
		AgeMs: millis(now.Sub(l.at)), RunMs: millis(l.at.Sub(l.sent)),
		Turn: uint32(l.turn), Explained: g.explained(fp, g.records[fp], l),
	}
}

// encodeAnswer returns the message that tells of a response to the request.
func encodeAnswer(fp Fingerprint, at, now time.Time) *peerpb.Poison {
	return &peerpb.Poison{Fingerprint: fp[:], Answered: true, AnswerAgeMs: millis(now.Sub(at))}
}

func millis(d time.Duration) uint64 { return uint64(max(0, d.Milliseconds())) }

// cappedDuration converts milliseconds to a duration of at most limit.
func cappedDuration(ms uint64, limit time.Duration) time.Duration {
	return time.Duration(min(ms, uint64(limit.Milliseconds()))) * time.Millisecond
}

// merged is the effect of a peer's record.
type merged struct {
	// answeredAt is set if the request received a response here since the losses of the record.
	answeredAt time.Time
	// changed is set if the record said anything new, trialIgnored if it named a claim of a trial
	// that another one precedes.
	changed, trialIgnored bool
}

// merge adds the losses of a peer's record and adopts its hold, quarantine period and trial.
// It ignores losses before the request's last response.
func (g *ledger) merge(fp Fingerprint, msg *peerpb.Poison, now time.Time) merged {
	losses := msg.GetLosses()
	if age := msg.GetAnswerAgeMs(); age > 0 {
		g.answered(fp, now.Add(-cappedDuration(age, recordRetention)), now, true)
	}
	answeredAt := g.answers.last(fp)
	m, stale := merged{}, !answeredAt.IsZero()
	for _, wire := range losses[:min(len(losses), maxLosses)] {
		l := decodeLoss(wire, now)
		if l.at.After(answeredAt) {
			stale = false
		}
		m.changed = g.addLoss(fp, l, now) != nil || m.changed
	}
	if stale {
		m.answeredAt = g.answers.lastOwn(fp)
	}
	r := g.records[fp]
	if r == nil || stale {
		return m
	}
	if period := cappedDuration(msg.GetPeriodMs(), maxPeriod); period > r.period {
		r.period, r.periodTurn = period, r.turns()
	}
	if until := now.Add(cappedDuration(msg.GetHoldMs(), maxPeriod)); until.After(r.heldUntil) {
		r.heldUntil = until
	}
	told := trial{
		id: msg.GetTrial(), began: now.Add(-cappedDuration(msg.GetTrialAgeMs(), recordRetention)),
		until: now.Add(cappedDuration(msg.GetTrialMs(), maxTrial)),
	}
	m.changed = r.mergeTrial(told, now) || m.changed
	m.trialIgnored = told.id != r.trial.id && told.runs(now) && now.Sub(told.began) < claimTime
	return m
}

// decodeLoss converts a loss of a peer's record. An earlier version of the peer doesn't send
// its turn; the loss then counts as one of the first moment.
func decodeLoss(wire *peerpb.ServerLoss, now time.Time) loss {
	return decodeLossWithin(wire, now, recordRetention)
}

// decodeLossWithin is like decodeLoss for a loss that may be as old as oldest.
func decodeLossWithin(wire *peerpb.ServerLoss, now time.Time, oldest time.Duration) loss {
	at := now.Add(-cappedDuration(wire.GetAgeMs(), oldest))
	return loss{
		id: wire.GetId(), server: process{wire.GetServer(), wire.GetStartedMs()},
		sent: at.Add(-cappedDuration(wire.GetRunMs(), recordRetention)), at: at, knownAt: now,
		turn: max(1, int(min(wire.GetTurn(), maxTurn))), toldExplained: wire.GetExplained(),
	}
}

// maxTurn bounds the turns in a peer's message.
const maxTurn = 1 << 16

// worthSharing reports whether the request is held back by as many losses as confirm one, so that
// peers need its record to act alike. A server that fails leaves many other records behind.
func (g *ledger) worthSharing(fp Fingerprint, now time.Time) bool {
	r := g.records[fp]
	return r != nil && len(r.losses) >= g.threshold && g.standing(fp, r, now) != unsuspected
}

// shared returns the fingerprints of the records worth sharing, at most maxShared.
func (g *ledger) shared(now time.Time) []Fingerprint {
	var list []Fingerprint
	for fp := range g.records {
		if g.worthSharing(fp, now) {
			list = append(list, fp)
		}
		if len(list) == maxShared {
			break
		}
	}
	return slices.Clip(list)
}
