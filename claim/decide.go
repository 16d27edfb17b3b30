package claim

// refuse answers the claims of keys that are known to be taken, which needs no
// write, and fails the rest. A taken key never becomes free without its holder,
// so that an index behind the head can only refuse too much.
func (p *partition) refuse(err error) {
	if p.store.loaded {
		plan, _ := p.planEnds()
		p.answerTaken(plan)
	}
	p.fail(err)
}

// answerTaken answers the claims that need no write. The plan holds ends only.
func (p *partition) answerTaken(plan *plan) {
	kept := p.claims[:0]
	for _, o := range p.claims {
		decision, ok := plan.decideTaken(o.claim)
		if !ok {
			kept = append(kept, o)
			continue
		}
		p.reply(o, decision)
	}
	clear(p.claims[len(kept):])
	p.claims = kept
}

func (p *partition) reply(o *op, decision Decision) {
	p.stats.decided(decision.Verdict)
	o.reply <- result{decision: decision}
}

// plan decides all waiting work. It reports stale if an end has no effect on
// an index that was not read after the end arrived.
func (p *partition) plan() (plan *plan, decisions []Decision, stale bool) {
	p.collect()
	p.dropDone()
	plan, stale = p.planEnds()
	if stale {
		return plan, nil, true
	}
	p.answerTaken(plan)
	if p.full() {
		p.fail(errKeysFull)
	}
	for _, o := range p.claims {
		decisions = append(decisions, plan.claim(o.claim))
	}
	return plan, decisions, false
}

// planEnds starts a plan with the waiting ends.
func (p *partition) planEnds() (plan *plan, stale bool) {
	plan = newPlan(p.store.index, p.store.nowMS(), p.opts.retentionMS())
	for _, pending := range p.pending {
		if !plan.end(pending.end) && !pending.checked {
			stale = true
		}
	}
	return plan, stale
}

func (p *partition) markChecked() {
	for i := range p.pending {
		p.pending[i].checked = true
	}
}

// dropDone drops the claims whose callers no longer wait.
func (p *partition) dropDone() {
	kept := p.claims[:0]
	for _, o := range p.claims {
		if o.ctx.Err() == nil {
			kept = append(kept, o)
		}
	}
	clear(p.claims[len(kept):])
	p.claims = kept
}

func (p *partition) answer(decisions []Decision) {
	for i, o := range p.claims {
		p.reply(o, decisions[i])
	}
	clear(p.claims)
	p.claims = p.claims[:0]
}

func (p *partition) fail(err error) {
	p.stats.failed(len(p.claims))
	for _, o := range p.claims {
		o.reply <- result{err: err}
	}
	clear(p.claims)
	p.claims = p.claims[:0]
}
