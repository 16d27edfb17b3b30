package proxy

import (
	"context"
	"time"

	"github.com/pomelolock/pomelolock/loadbalancer"
	"github.com/pomelolock/pomelolock/table"
)

// tried is the end of one of two hedged attempts.
type tried struct {
	// index is 0 for the first attempt and 1 for the hedge.
	index int
	ans   *answer
	fail  *failure
}

// try makes one attempt, hedged by a second one if the service allows it and
// the first is slow.
func (x *exchange) try(ctx context.Context, permit *loadbalancer.Permit) (*answer, *failure) {
	x.attempts++
	delay, ok := x.hedgeDelay()
	if !ok {
		return x.newAttempt(permit).run(ctx)
	}
	return x.tryHedged(ctx, permit, delay)
}

func (x *exchange) newAttempt(permit *loadbalancer.Permit) *attempt {
	return &attempt{x: x, permit: permit}
}

// hedgeDelay returns the time after which a hedge may start.
func (x *exchange) hedgeDelay() (time.Duration, bool) {
	if x.service.Mode != table.ModeTail || x.service.HedgePercentile == 0 {
		return 0, false
	}
	if !x.route.Repeatable || !x.body.whole() || x.attempts >= maxAttempts {
		return 0, false
	}
	return x.state.latencies.percentile(x.service.HedgePercentile)
}

// hedgeWait bounds the wait for a permit of a hedge. A longer wait is a sign of
// load that hedges would add to.
const hedgeWait = 10 * time.Millisecond

// race is a first attempt and its hedge.
type race struct {
	x       *exchange
	ctx     context.Context
	ends    chan tried
	cancels []context.CancelFunc
	running int
	// first is the failure of the attempt that ended first.
	first *failure
}

// tryHedged returns the first answer of up to two attempts and cancels the
// other. If both fail, it returns the first's failure.
func (x *exchange) tryHedged(ctx context.Context, permit *loadbalancer.Permit, delay time.Duration) (*answer, *failure) {
	r := &race{x: x, ctx: ctx, ends: make(chan tried, 2)}
	r.start(permit)
	acquireCtx, stopAcquire := context.WithCancel(ctx)
	defer stopAcquire()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var permits <-chan *loadbalancer.Permit
	for r.running > 0 {
		select {
		case <-timer.C:
			permits = x.acquireHedge(acquireCtx, permit.Server.Name)
		case hedge := <-permits:
			permits = nil
			if hedge != nil {
				x.attempts++
				x.p.counters.hedges.Add(1)
				r.start(hedge)
			}
		case end := <-r.ends:
			if ans := r.ended(end); ans != nil {
				releaseLate(stopAcquire, permits)
				return ans, nil
			}
		}
	}
	releaseLate(stopAcquire, permits)
	for _, cancel := range r.cancels {
		cancel()
	}
	return nil, r.first
}

func (r *race) start(permit *loadbalancer.Permit) {
	ctx, cancel := context.WithCancel(r.ctx)
	index := len(r.cancels)
	r.cancels = append(r.cancels, cancel)
	r.running++
	a := r.x.newAttempt(permit)
	go func() {
		ans, fail := a.run(ctx)
		r.ends <- tried{index, ans, fail}
	}()
}

// ended takes in the end of an attempt and returns the answer if it has one.
func (r *race) ended(end tried) *answer {
	r.running--
	if end.ans != nil {
		r.first.discard()
		settle(end, r.cancels, r.ends, r.running)
		return end.ans
	}
	if r.first == nil {
		r.first = end.fail
		return nil
	}
	r.x.note(end.fail)
	end.fail.discard()
	return nil
}

// acquireHedge asks for a permit on another server. The channel yields the
// permit, or nil if there is none in time; it is nil itself without budget.
func (x *exchange) acquireHedge(ctx context.Context, first string) <-chan *loadbalancer.Permit {
	if !x.state.budget.take() {
		return nil
	}
	req := x.balanceRequest()
	req.Exclude = append(append([]string(nil), req.Exclude...), first)
	permits := make(chan *loadbalancer.Permit, 1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, hedgeWait)
		defer cancel()
		permit, err := x.p.opts.Balancer.Acquire(ctx, req)
		if err != nil {
			permit = nil
		}
		permits <- permit
	}()
	return permits
}

// releaseLate gives back the permit of a hedge that is not needed any more.
func releaseLate(stopAcquire context.CancelFunc, permits <-chan *loadbalancer.Permit) {
	stopAcquire()
	if permits == nil {
		return
	}
	go func() {
		if permit := <-permits; permit != nil {
			permit.Release(loadbalancer.Result{Class: loadbalancer.ClassCancelled})
		}
	}()
}

// settle cancels the attempt that lost at once, and the winner's context when
// its answer has ended.
func settle(winner tried, cancels []context.CancelFunc, ends <-chan tried, running int) {
	for i, cancel := range cancels {
		if i != winner.index {
			cancel()
		}
	}
	end := winner.ans.end
	winner.ans.end = func(err error) {
		end(err)
		cancels[winner.index]()
	}
	if running == 0 {
		return
	}
	go func() {
		late := <-ends
		late.fail.discard()
		if late.ans != nil {
			late.ans.end(context.Canceled)
		}
	}()
}
