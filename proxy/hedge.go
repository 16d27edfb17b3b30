package proxy

import (
	"context"
	"time"

	"github.com/pomelolock/pomelolock/loadbalancer"
	"github.com/pomelolock/pomelolock/table"
)

// attemptResult is the result of one of two hedged attempts.
type attemptResult struct {
	// index is 0 for the first attempt and 1 for the hedge.
	index   int
	resp    *response
	failure *failure
}

// runAttempt makes one attempt, and a second one as a hedge if the service
// allows it and the first is slow.
func (x *exchange) runAttempt(ctx context.Context, permit *loadbalancer.Permit) (*response, *failure) {
	x.attempts++
	delay, ok := x.hedgeDelay()
	if !ok {
		return x.newAttempt(permit).run(ctx)
	}
	return x.runHedged(ctx, permit, delay)
}

func (x *exchange) newAttempt(permit *loadbalancer.Permit) *attempt {
	return &attempt{x: x, permit: permit}
}

// hedgeDelay returns the time after which a hedge may start. It reports false if
// the request is not to be hedged.
func (x *exchange) hedgeDelay() (time.Duration, bool) {
	if x.service.Mode != table.ModeTail || x.service.HedgePercentile == 0 {
		return 0, false
	}
	if !x.route.Repeatable || !x.body.resendable() || x.attempts >= maxAttempts {
		return 0, false
	}
	return x.state.latencies.percentile(x.service.HedgePercentile)
}

// hedgeAcquireTimeout bounds the wait for a hedge's permit. A longer wait is a
// sign of high load, which a hedge would increase.
const hedgeAcquireTimeout = 10 * time.Millisecond

// hedgedCall is a first attempt and its hedge.
type hedgedCall struct {
	x       *exchange
	ctx     context.Context
	results chan attemptResult
	cancels []context.CancelFunc
	running int
	// firstFailure is the failure of the attempt that ended first.
	firstFailure *failure
}

// runHedged returns the first response of up to two attempts and cancels the
// other attempt. If both fail, it returns the earlier failure.
func (x *exchange) runHedged(ctx context.Context, permit *loadbalancer.Permit, delay time.Duration) (*response, *failure) {
	h := &hedgedCall{x: x, ctx: ctx, results: make(chan attemptResult, 2)}
	h.start(permit)
	acquireCtx, stopAcquire := context.WithCancel(ctx)
	defer stopAcquire()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var permits <-chan *loadbalancer.Permit
	for h.running > 0 {
		select {
		case <-timer.C:
			permits = x.acquireHedge(acquireCtx, permit.Server.Name)
		case hedge := <-permits:
			permits = nil
			if hedge != nil {
				x.attempts++
				x.p.counters.hedges.Add(1)
				h.start(hedge)
			}
		case result := <-h.results:
			if resp := h.finished(result); resp != nil {
				releaseUnused(stopAcquire, permits)
				return resp, nil
			}
		}
	}
	releaseUnused(stopAcquire, permits)
	for _, cancel := range h.cancels {
		cancel()
	}
	return nil, h.firstFailure
}

func (h *hedgedCall) start(permit *loadbalancer.Permit) {
	ctx, cancel := context.WithCancel(h.ctx)
	index := len(h.cancels)
	h.cancels = append(h.cancels, cancel)
	h.running++
	a := h.x.newAttempt(permit)
	go func() {
		resp, failed := a.run(ctx)
		h.results <- attemptResult{index, resp, failed}
	}()
}

// finished processes the result of an attempt and returns its response, if any.
func (h *hedgedCall) finished(result attemptResult) *response {
	h.running--
	if result.resp != nil {
		h.firstFailure.discard()
		cancelLoser(result, h.cancels, h.results, h.running)
		return result.resp
	}
	if h.firstFailure == nil {
		h.firstFailure = result.failure
		return nil
	}
	h.x.recordFailure(result.failure)
	result.failure.discard()
	return nil
}

// acquireHedge acquires a permit on a server other than first. The returned
// channel delivers the permit, or nil if none was available in time; the
// channel itself is nil if the retry budget is exhausted.
func (x *exchange) acquireHedge(ctx context.Context, first string) <-chan *loadbalancer.Permit {
	if !x.state.budget.take() {
		return nil
	}
	req := x.balanceRequest()
	req.Exclude = append(append([]string(nil), req.Exclude...), first)
	permits := make(chan *loadbalancer.Permit, 1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, hedgeAcquireTimeout)
		defer cancel()
		permit, err := x.p.opts.Balancer.Acquire(ctx, req)
		if err != nil {
			permit = nil
		}
		permits <- permit
	}()
	return permits
}

// releaseUnused stops the acquisition of a hedge's permit and releases the
// permit if it arrives anyway.
func releaseUnused(stopAcquire context.CancelFunc, permits <-chan *loadbalancer.Permit) {
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

// cancelLoser cancels the other attempt at once, and the winner's context when
// its response has been read to its end.
func cancelLoser(winner attemptResult, cancels []context.CancelFunc, results <-chan attemptResult, running int) {
	for i, cancel := range cancels {
		if i != winner.index {
			cancel()
		}
	}
	end := winner.resp.end
	winner.resp.end = func(err error) {
		end(err)
		cancels[winner.index]()
	}
	if running == 0 {
		return
	}
	go func() {
		loser := <-results
		loser.failure.discard()
		if loser.resp != nil {
			loser.resp.end(context.Canceled)
		}
	}()
}
