package claim

import (
	"github.com/pomelolock/pomelolock/claim/claimpb"
)

// plan is a batch in the making: claims and ends decided against an index
// without changing it. The decisions hold once the batch has been appended to
// the head that the index reflects.
type plan struct {
	index       *index
	overlay     map[keyID]entry
	answers     map[keyID]*claimpb.Answer
	freed       map[keyID]bool
	nowMS       int64
	retentionMS int64
	batch       *claimpb.Batch
}

func newPlan(x *index, nowMS, retentionMS int64) *plan {
	return &plan{
		index:       x,
		overlay:     make(map[keyID]entry),
		answers:     make(map[keyID]*claimpb.Answer),
		freed:       make(map[keyID]bool),
		nowMS:       nowMS,
		retentionMS: retentionMS,
		batch:       &claimpb.Batch{TimeMs: nowMS},
	}
}

func (p *plan) lookup(id keyID) (entry, bool) {
	if e, ok := p.overlay[id]; ok {
		return e, true
	}
	if p.freed[id] {
		return entry{}, false
	}
	e, ok := p.index.lookup(id)
	return e, ok && !e.expired(p.nowMS, p.retentionMS)
}

func (p *plan) answer(id keyID) *claimpb.Answer {
	if answer, ok := p.answers[id]; ok {
		return answer
	}
	return p.index.answers.held[id]
}

// end adds the end of an attempt and reports whether it has an effect. Ends
// must be added before claims.
func (p *plan) end(end *claimpb.End) bool {
	id := keyID(end.GetKey())
	e, ok := p.lookup(id)
	if !ok || !e.endsWith(end) {
		return false
	}
	p.batch.Ends = append(p.batch.Ends, end)
	if end.GetState() == claimpb.State_STATE_NOT_RUN {
		delete(p.overlay, id)
		p.freed[id] = true
		return true
	}
	e.state = uint8(end.GetState())
	p.overlay[id] = e
	if end.GetAnswer() != nil {
		p.answers[id] = end.GetAnswer()
	}
	return true
}

// claim decides a claim and adds it to the batch if it takes the key.
func (p *plan) claim(c *claimpb.Claim) Decision {
	id := keyID(c.GetKey())
	if e, ok := p.lookup(id); ok {
		return e.decide(c, p.answer(id), p.nowMS)
	}
	taken := &claimpb.Claim{
		Key:         c.GetKey(),
		Fingerprint: c.GetFingerprint(),
		Attempt:     c.GetAttempt(),
		TimeMs:      p.nowMS,
		RunningMs:   c.GetRunningMs(),
	}
	p.batch.Claims = append(p.batch.Claims, taken)
	p.overlay[id] = entryOf(taken)
	return Decision{Verdict: Run}
}

// decideTaken decides a claim of a taken key.
func (p *plan) decideTaken(c *claimpb.Claim) (Decision, bool) {
	id := keyID(c.GetKey())
	e, ok := p.lookup(id)
	if !ok {
		return Decision{}, false
	}
	return e.decide(c, p.answer(id), p.nowMS), true
}

// empty reports whether nothing has to be written.
func (p *plan) empty() bool {
	return len(p.batch.Ends) == 0 && len(p.batch.Claims) == 0
}
