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

// maxRetryAfter bounds the wait that an answer may ask for.
const maxRetryAfter = time.Second

// runner holds one run.
type runner struct {
	opts     Options
	client   *http.Client
	balancer *balancer
	rng      *rand.Rand
	recorder *recorder
	group    sync.WaitGroup
	inFlight atomic.Int64
}

// Run sends the load and waits for all answers. It ends early if ctx ends.
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
	besideCtx, stopBeside := context.WithCancel(ctx)
	stepsDone := make(chan error, 1)
	go func() { stepsDone <- runSteps(besideCtx, start, opts.Steps) }()
	balancerDone := make(chan struct{})
	go func() {
		defer close(balancerDone)
		r.balancer.run(besideCtx)
	}()
	r.dispatch(ctx, start)
	r.group.Wait()
	stopBeside()
	<-balancerDone
	if err := <-stepsDone; err != nil && !errors.Is(err, context.Canceled) {
		return nil, err
	}
	return r.recorder.report()
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// dispatch starts each call at its intended time.
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

// draw chooses the next call and, for some keyed calls, its duplicate. It
// draws the same numbers for every call, so that a seed gives one sequence.
func (r *runner) draw(number int) (call, *call) {
	pick := r.rng.IntN(r.opts.totalWeight())
	target := r.rng.IntN(len(r.opts.Targets))
	resend := r.rng.IntN(100) < r.opts.ResendPercent
	c := call{
		mark:   fmt.Sprintf("%d-%d", r.opts.Seed, number),
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

// perform sends a call until it is answered whole or no retry is left.
func (r *runner) perform(ctx context.Context, c call, intended time.Time) {
	for retry := 0; ; retry++ {
		res := send(ctx, r.client, c, &r.opts)
		if res.verdict == Whole || retry >= r.opts.Retries || !r.waitRetry(ctx, res) {
			r.recorder.record(c, intended, res)
			return
		}
		r.recorder.recordRetried(c, res)
		c.target = r.nextTarget(c.target)
	}
}

// waitRetry waits until the caller sends again; it reports whether it shall.
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

// sleepUntil sleeps with the kernel's precision, which is finer than that of
// the runtime's timers.
func sleepUntil(t time.Time) {
	wait := time.Until(t)
	if wait <= 0 {
		return
	}
	spec := syscall.NsecToTimespec(int64(wait))
	// An interrupted sleep sends the call early by less than one gap.
	_ = syscall.Nanosleep(&spec, nil)
}
