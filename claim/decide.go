package claim

// failUndecided replies to the claims of keys that the index contains, which
// needs no write, and fails the others with err. It is safe with an outdated
// index: only the attempt that holds a key can release it, so an outdated index
// can reject too many claims but never admit one wrongly.
func (p *partition) failUndecided(err error) {
	if p.store.loaded {
		plan, _ := p.planEnds()
		p.replyKnown(plan)
	}
	p.failAll(err)
}

// replyKnown replies to the claims that need no write, because the plan or its
// index contains their key. The plan must hold ends only.
func (p *partition) replyKnown(plan *plan) {
	kept := p.pendingClaims[:0]
	for _, pc := range p.pendingClaims {
		decision, ok := plan.decideKnown(pc.claim)
		if !ok {
			kept = append(kept, pc)
			continue
		}
		p.reply(pc, decision)
	}
	clear(p.pendingClaims[len(kept):])
	p.pendingClaims = kept
}

func (p *partition) reply(pc *pendingClaim, decision Decision) {
	p.stats.addVerdict(decision.Verdict)
	pc.reply <- result{decision: decision}
}

// buildPlan decides all pending work. It returns stale if an end has no effect
// and the index has not been read since the end arrived.
func (p *partition) buildPlan() (plan *plan, decisions []Decision, stale bool) {
	p.collect()
	p.dropAbandoned()
	plan, stale = p.planEnds()
	if stale {
		return plan, nil, true
	}
	p.replyKnown(plan)
	if p.keyMemoryFull() {
		p.failAll(errKeysFull)
	}
	for _, pc := range p.pendingClaims {
		decisions = append(decisions, plan.claim(pc.claim))
	}
	return plan, decisions, false
}

// planEnds starts a plan with the pending ends.
func (p *partition) planEnds() (plan *plan, stale bool) {
	plan = newPlan(p.store.index, p.store.nowMS(), p.opts.retentionMS())
	for _, pending := range p.pendingEnds {
		if !plan.end(pending.end) && !pending.checked {
			stale = true
		}
	}
	return plan, stale
}

func (p *partition) markChecked() {
	for i := range p.pendingEnds {
		p.pendingEnds[i].checked = true
	}
}

// dropAbandoned drops the claims whose callers have stopped waiting.
func (p *partition) dropAbandoned() {
	kept := p.pendingClaims[:0]
	for _, pc := range p.pendingClaims {
		if pc.ctx.Err() == nil {
			kept = append(kept, pc)
		}
	}
	clear(p.pendingClaims[len(kept):])
	p.pendingClaims = kept
}

func (p *partition) replyAll(decisions []Decision) {
	for i, pc := range p.pendingClaims {
		p.reply(pc, decisions[i])
	}
	clear(p.pendingClaims)
	p.pendingClaims = p.pendingClaims[:0]
}

func (p *partition) failAll(err error) {
	p.stats.addFailures(len(p.pendingClaims))
	for _, pc := range p.pendingClaims {
		pc.reply <- result{err: err}
	}
	clear(p.pendingClaims)
	p.pendingClaims = p.pendingClaims[:0]
}
