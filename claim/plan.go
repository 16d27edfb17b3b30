package claim

import (
	"github.com/pomelolock/pomelolock/claim/claimpb"
)

// plan is a batch under construction: ends and claims are decided against an
// index without changing it. The decisions are valid only once the batch has
// been appended to the head that the index reflects.
type plan struct {
	index       *index
	overlay     map[keyID]entry
	responses   map[keyID]*claimpb.Answer
	freed       map[keyID]bool
	nowMS       int64
	retentionMS int64
	batch       *claimpb.Batch
}

func newPlan(x *index, nowMS, retentionMS int64) *plan {
	return &plan{
		index:       x,
		overlay:     make(map[keyID]entry),
		responses:   make(map[keyID]*claimpb.Answer),
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

func (p *plan) response(id keyID) *claimpb.Answer {
	if response, ok := p.responses[id]; ok {
		return response
	}
	return p.index.responses.byKey[id]
}

// end adds the end of an attempt and reports whether it has an effect. All ends
// must be added before the first claim.
func (p *plan) end(end *claimpb.End) bool {
	id := keyID(end.GetKey())
	e, ok := p.lookup(id)
	if !ok || !e.endedBy(end) {
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
		p.responses[id] = end.GetAnswer()
	}
	return true
}

// claim decides a claim and adds it to the batch if its key is free.
func (p *plan) claim(c *claimpb.Claim) Decision {
	id := keyID(c.GetKey())
	if e, ok := p.lookup(id); ok {
		return e.decide(c, p.response(id), p.nowMS)
	}
	taken := &claimpb.Claim{
		Key:         c.GetKey(),
		Fingerprint: c.GetFingerprint(),
		Attempt:     c.GetAttempt(),
		TimeMs:      p.nowMS,
		RunningMs:   c.GetRunningMs(),
	}
	p.batch.Claims = append(p.batch.Claims, taken)
	p.overlay[id] = newEntry(taken)
	return Decision{Verdict: Run}
}

// decideKnown decides a claim whose key has an unexpired entry. It returns
// false if there is none.
func (p *plan) decideKnown(c *claimpb.Claim) (Decision, bool) {
	id := keyID(c.GetKey())
	e, ok := p.lookup(id)
	if !ok {
		return Decision{}, false
	}
	return e.decide(c, p.response(id), p.nowMS), true
}

// empty reports whether there is nothing to write.
func (p *plan) empty() bool {
	return len(p.batch.Ends) == 0 && len(p.batch.Claims) == 0
}
