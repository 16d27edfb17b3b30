package loadgen

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// maxRetryAfter limits the delay taken from a Retry-After header.
const maxRetryAfter = time.Second

// runner holds the state of one run.
type runner struct {
	opts     Options
	client   *http.Client
	balancer *balancer
	rng      *rand.Rand
	recorder *recorder
	group    sync.WaitGroup
	inFlight atomic.Int64
}

// Run sends the load, waits for all calls to end and returns the report. It
// stops sending if ctx ends. It returns an [*OptionsError] for unusable options,
// and an error if a step failed.
func Run(ctx context.Context, opts Options) (*Report, error) {
	if err := opts.validate(); err != nil {
		return nil, err
	}
	start := time.Now()
	r := &runner{
		opts:     opts,
		client:   newClient(),
		balancer: newBalancer(&opts),
		rng:      newRand(opts.Seed),
		recorder: newRecorder(opts, start),
	}
	defer r.client.CloseIdleConnections()
	backgroundCtx, stopBackground := context.WithCancel(ctx)
	stepsDone := make(chan error, 1)
	go func() { stepsDone <- runSteps(backgroundCtx, start, opts.Steps) }()
	balancerDone := make(chan struct{})
	go func() {
		defer close(balancerDone)
		r.balancer.run(backgroundCtx)
	}()
	r.dispatch(ctx, start)
	r.group.Wait()
	stopBackground()
	<-balancerDone
	if err := <-stepsDone; err != nil && !errors.Is(err, context.Canceled) {
		return nil, err
	}
	return r.recorder.report()
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// dispatch draws the calls and starts each at its intended time.
func (r *runner) dispatch(ctx context.Context, start time.Time) {
	offset := time.Duration(0)
	for number := 1; ; number++ {
		gap := r.rng.ExpFloat64() / r.rateAt(offset) * float64(time.Second)
		offset += time.Duration(gap)
		if offset >= r.opts.Duration || ctx.Err() != nil {
			return
		}
		c, duplicate := r.draw(number)
		intended := start.Add(offset)
		sleepUntil(intended)
		r.start(ctx, c, intended)
		if duplicate != nil {
			r.resend(ctx, *duplicate, intended.Add(r.opts.ResendAfter))
		}
	}
}

func (r *runner) rateAt(offset time.Duration) float64 {
	rate := r.opts.Rate
	for _, step := range r.opts.Steps {
		if step.Rate > 0 && step.at() <= offset {
			rate = step.Rate
		}
	}
	return rate
}

// draw chooses the next call and, for some keyed calls, a duplicate. It uses
// the same number of random values for every call, so that a seed always yields
// the same sequence of calls.
func (r *runner) draw(number int) (call, *call) {
	pick := r.rng.IntN(r.opts.totalWeight())
	target := r.rng.IntN(len(r.opts.Targets))
	resend := r.rng.IntN(100) < r.opts.ResendPercent
	c := call{
		id:     fmt.Sprintf("%d-%d", r.opts.Seed, number),
		target: r.balancer.pick(target),
	}
	for _, kind := range r.opts.Kinds {
		if pick < kind.Weight {
			c.kind = kind
			break
		}
		pick -= kind.Weight
	}
	if !c.kind.Keyed || !resend {
		return c, nil
	}
	duplicate := c
	duplicate.resent = true
	duplicate.target = r.nextTarget(c.target)
	return c, &duplicate
}

func (r *runner) start(ctx context.Context, c call, intended time.Time) {
	if r.inFlight.Add(1) > MaxInFlight {
		r.inFlight.Add(-1)
		r.recorder.record(c, intended, result{verdict: NotSent})
		return
	}
	r.group.Go(func() {
		defer r.inFlight.Add(-1)
		r.perform(ctx, c, intended)
	})
}

// perform sends a call until it receives a complete response or no retry is
// left.
func (r *runner) perform(ctx context.Context, c call, intended time.Time) {
	for retry := 0; ; retry++ {
		res := send(ctx, r.client, c, &r.opts)
		if res.verdict == Complete || retry >= r.opts.Retries || !r.waitRetry(ctx, res) {
			r.recorder.record(c, intended, res)
			return
		}
		r.recorder.recordRetried(c, res)
		c.target = r.nextTarget(c.target)
	}
}

// waitRetry waits for the delay before a retry. It returns false if ctx ends
// first.
func (r *runner) waitRetry(ctx context.Context, res result) bool {
	wait := r.opts.RetryPause
	if res.retryAfter > 0 {
		wait = min(res.retryAfter, maxRetryAfter)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *runner) nextTarget(target string) string {
	targets := r.opts.Targets
	return r.balancer.pick((slices.Index(targets, target) + 1) % len(targets))
}

func (r *runner) resend(ctx context.Context, c call, at time.Time) {
	r.group.Go(func() {
		timer := time.NewTimer(time.Until(at))
		defer timer.Stop()
		select {
		case <-timer.C:
			r.start(ctx, c, at)
		case <-ctx.Done():
		}
	})
}

// sleepUntil sleeps in a system call, which is more precise than the timers of
// the Go runtime.
func sleepUntil(t time.Time) {
	wait := time.Until(t)
	if wait <= 0 {
		return
	}
	spec := syscall.NsecToTimespec(int64(wait))
	// An interrupted sleep sends the call early by less than one gap.
	_ = syscall.Nanosleep(&spec, nil)
}
