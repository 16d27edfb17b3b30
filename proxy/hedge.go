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

// tryHedged returns the first answer of up to two attempts and cancels the
// other. If both fail, it returns the first's failure.
func (x *exchange) tryHedged(ctx context.Context, permit *loadbalancer.Permit, delay time.Duration) (*answer, *failure) {
	ends := make(chan tried, 2)
	var cancels []context.CancelFunc
	start := func(permit *loadbalancer.Permit) {
		attemptCtx, cancel := context.WithCancel(ctx)
		index := len(cancels)
		cancels = append(cancels, cancel)
		a := x.newAttempt(permit)
		go func() {
			ans, fail := a.run(attemptCtx)
			ends <- tried{index, ans, fail}
		}()
	}
	start(permit)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var firstFailure *failure
	running := 1
	for running > 0 {
		select {
		case <-timer.C:
			if hedge := x.acquireHedge(ctx, permit.Server.Name); hedge != nil {
				start(hedge)
				running++
			}
		case end := <-ends:
			running--
			if end.ans != nil {
				firstFailure.discard()
				settle(end, cancels, ends, running)
				return end.ans, nil
			}
			if firstFailure != nil {
				x.note(end.fail)
				end.fail.discard()
				continue
			}
			firstFailure = end.fail
		}
	}
	for _, cancel := range cancels {
		cancel()
	}
	return nil, firstFailure
}

func (x *exchange) acquireHedge(ctx context.Context, first string) *loadbalancer.Permit {
	if !x.state.budget.take() {
		return nil
	}
	req := x.balanceRequest(true)
	req.Exclude = append(append([]string(nil), req.Exclude...), first)
	permit, err := x.p.opts.Balancer.Acquire(ctx, req)
	if err != nil {
		return nil
	}
	x.attempts++
	x.p.counters.hedges.Add(1)
	return permit
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
